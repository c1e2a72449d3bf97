#include "flamingoloom/node/leader.h"

#include <algorithm>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

using base::Time;
using std::chrono::milliseconds;

namespace {

scheduler::SchedulerSettings WithMaxLease(
  scheduler::SchedulerSettings aSettings,
  const LeaderTiming& aTiming)
{
  aSettings.mMaxServerLease = std::chrono::duration_cast<base::Duration>(
    aTiming.mSession.mMaxServerLease / aTiming.mSession.mMinClockRate);
  return aSettings;
}

} // namespace

Leader::Leader(Ports aPorts,
               LeaderTiming aTiming,
               scheduler::SchedulerSettings aSettings,
               RowCondition aEpochCondition,
               std::int64_t aEpoch,
               std::function<Time()> aLeadershipValidUntil,
               std::function<void()> aOnLost)
  : mPorts(aPorts)
  , mTiming(aTiming)
  , mEpochCondition(std::move(aEpochCondition))
  , mEpoch(aEpoch)
  , mLeadershipValidUntil(std::move(aLeadershipValidUntil))
  , mOnLost(std::move(aOnLost))
  , mStartedAt(aPorts.mLoop->Now())
  , mCommitBackoff(aTiming.mCommitRetryDelay)
  , mEarlierLeases(EarlierLeasesExpireBy())
  , mScheduler(WithMaxLease(aSettings, aTiming),
               [log = aPorts.mLog](const scheduler::Decision& aDecision) {
                 EventLog::Fields fields;
                 fields.reserve(aDecision.mFields.size() + 1);
                 if (!aDecision.mJob.empty()) {
                   fields.emplace_back("job", aDecision.mJob);
                 }
                 fields.insert(fields.end(),
                               aDecision.mFields.begin(),
                               aDecision.mFields.end());
                 log->Write(aDecision.mEvent, fields);
               })
{
}

void Leader::Start()
{
  mCommandsInFlight.emplace(mTiming.mCommandBudget, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->OnCommandEnded();
    }
  });
  LoadLeaseBounds();
}

void Leader::Stop()
{
  mPhase = Phase::eStopped;
  if (mJobWatch) {
    mJobWatch->Stop();
  }
  for (auto& [id, session] : mSessions) {
    session->Close();
  }
}

void Leader::LoseLeadership(const char* aReason)
{
  if (mPhase == Phase::eStopped) {
    return;
  }
  mPorts.mLog->Write(
    "lead_lost",
    { { "epoch", std::to_string(mEpoch) }, { "reason", aReason } });
  Stop();
  mOnLost();
}

void Leader::SetConfiguration(const Configuration& aConfiguration)
{
  scheduler::AccountTermsMap terms;
  for (const auto& account : aConfiguration.mAccounts) {
    terms[account.mId] = account.mTerms;
  }
  mHasConfiguration = true;
  mScheduler.SetAccountTerms(std::move(terms));
  RequestPass();
}

void Leader::SetConfigurationValidUntil(Time aUntil)
{
  mScheduler.SetAccountTermsValidUntil(aUntil);
}

void Leader::SetOutOfServiceDataCentres(
  const std::set<base::DataCentreId>& aDataCentres)
{
  mScheduler.SetOutOfServiceDataCentres(aDataCentres);
  RequestPass();
}

// Scheduling passes and commits
// -------------------------------------------------------------

void Leader::RequestPass()
{
  if (mPassPending || mPhase != Phase::eScheduling) {
    return;
  }
  mPassPending = true;
  const auto delay = std::max(mTiming.mPassDelay, mPassCooldown);
  mPorts.mLoop->After(delay, [self = shared_from_this()] {
    self->mPassPending = false;
    if (self->mPhase == Phase::eScheduling) {
      self->RunPass();
    }
  });
}

void Leader::RunPass()
{
  const Time now = mPorts.mLoop->Now();
  const auto unixMs = mPorts.mLoop->UnixMs();
  mLastPass = now;
  LogFencing();
  if (mHasConfiguration) {
    mScheduler.Schedule(now, unixMs);
  }
  mPassCooldown = (mPorts.mLoop->Now() - now) * mTiming.mPassCooldownFactor;
  SendCommands();
  CommitNext();
  auto next = mTiming.mMaxPassInterval;
  if (const auto due = mScheduler.MillisecondsToNextDue(unixMs)) {
    next = std::min<base::Duration>(next, milliseconds(*due + 1));
  }
  mPorts.mLoop->After(next, [self = shared_from_this(), now] {
    if (self->mLastPass == now) {
      self->RequestPass();
    }
  });
}

void Leader::LogFencing()
{
  // Servers that are gone or silent do not respond at all.
  constexpr base::Duration kMaxWait = std::chrono::seconds(3);
  if (mFencingLogged) {
    return;
  }
  int listed = 0;
  int fenced = 0;
  for (const auto& [id, server] : mScheduler.ServerFleet().Servers()) {
    listed += server.mListed ? 1 : 0;
    fenced += server.mListed && server.mFenced ? 1 : 0;
  }
  const auto elapsed = mPorts.mLoop->Now() - mStartedAt;
  if ((listed == 0 || fenced < listed) && elapsed < kMaxWait) {
    return;
  }
  mFencingLogged = true;
  mPorts.mLog->Write(
    "servers_fenced",
    { { "servers", std::to_string(listed) },
      { "fenced", std::to_string(fenced) },
      { "after_ms", std::to_string(base::ToMilliseconds(elapsed)) } });
}

void Leader::CommitNext()
{
  if (mCommitting || mPhase != Phase::eScheduling || !mScheduler.HasChanges()) {
    return;
  }
  ++mBatchNumber;
  SendCommit(mScheduler.TakeBatch(StoreNowMs()), false);
}

void Leader::SendCommit(scheduler::Batch aBatch, bool aRetry)
{
  mCommitting = true;
  Transaction transaction{ jobs::kSchedulerPartition,
                           { mEpochCondition },
                           aBatch.mRows };
  transaction.mChanges.push_back(
    { jobs::kBatchTable, jobs::kBatchKey, BatchName(), mBatchVersion });
  mPorts.mStore->Commit(transaction,
                        mTiming.mCommitTimeout,
                        [self = shared_from_this(),
                         batch = std::move(aBatch),
                         aRetry](base::Expected<CommitResult> aResult) {
                          if (self->mPhase == Phase::eScheduling) {
                            self->OnCommit(batch, aRetry, std::move(aResult));
                          }
                        });
}

std::string Leader::BatchName() const
{
  return std::to_string(mEpoch) + " " + std::to_string(mBatchNumber);
}

std::optional<std::int64_t> Leader::VersionOfEarlierCall(
  const CommitResult& aResult) const
{
  std::optional<std::int64_t> version;
  for (const auto& current : aResult.mCurrent) {
    if (current.mTable == kLeaderTable &&
        current.mRow.mVersion != mEpochCondition.mVersion) {
      return std::nullopt;
    }
    if (current.mTable == jobs::kBatchTable &&
        current.mRow.mValue == BatchName()) {
      version = current.mRow.mVersion;
    }
  }
  return version;
}

void Leader::OnCommit(const scheduler::Batch& aBatch,
                      bool aRetry,
                      base::Expected<CommitResult> aResult)
{
  if (!aResult) {
    const bool unknown =
      aResult.error().mCode == base::ErrorCode::eOutcomeUnknown;
    mPorts.mLog->Write("commit_failed",
                       { { "rows", std::to_string(aBatch.mRows.size()) },
                         { "error", aResult.error().ToString() } });
    if (aResult.error().mCode == base::ErrorCode::eDenied) {
      LoseLeadership("the store rejected a batch");
      return;
    }
    mCommitBackoff = std::min(mTiming.mMaxCommitRetryDelay, mCommitBackoff * 2);
    mPorts.mLoop->After(
      mCommitBackoff,
      [self = shared_from_this(), aBatch, retry = aRetry || unknown] {
        if (self->mPhase == Phase::eScheduling) {
          self->SendCommit(aBatch, retry);
        }
      });
    return;
  }
  mBatchVersion = aResult->mVersion;
  if (!aResult->mApplied) {
    const auto earlier = aRetry ? VersionOfEarlierCall(*aResult) : std::nullopt;
    if (!earlier) {
      LoseLeadership("the store has newer rows");
      return;
    }
    mBatchVersion = *earlier;
  }
  mCommitting = false;
  mCommitBackoff = mTiming.mCommitRetryDelay;
  if (aResult->mStoreNowMs > 0) {
    mStoreMs = aResult->mStoreNowMs;
    mStoreMsReadAt = mPorts.mLoop->Now();
  }
  for (const auto& server : mScheduler.OnStored(mPorts.mLoop->Now(), aBatch)) {
    if (ServerSession* session = SessionFor(server)) {
      session->RequestReport();
    }
  }
  SendCommands();
  CommitNext();
}

void Leader::OnLeadershipRenewed()
{
  if (mScheduler.HasCommands()) {
    RequestPass();
  }
}

void Leader::SendCommands()
{
  const auto left = mLeadershipValidUntil() - mPorts.mLoop->Now();
  if (left < mTiming.mSession.mMinCommandTimeout) {
    // Another instance may lead by now, so that these would be orders of a
    // deposed leader. A server that has restarted does not know that yet.
    return;
  }
  const auto commands = mScheduler.TakeCommands(mCommandsInFlight->Left());
  for (const auto& stop : commands.mStops) {
    if (ServerSession* session = SessionFor(stop.mServer)) {
      session->Stop(stop,
                    mCommandsInFlight->Count(scheduler::kStopCommandMemory));
    }
  }
  for (const auto& start : commands.mStarts) {
    ServerSession* session = SessionFor(start.mServer);
    if (session == nullptr) {
      mScheduler.OnStart(
        mPorts.mLoop->Now(), start, scheduler::StartResult::eTooLate, false);
      continue;
    }
    session->Start(start,
                   mCommandsInFlight->Count(scheduler::CommandMemory(start)));
  }
}

void Leader::OnCommandEnded()
{
  if (mSendPending || mPhase != Phase::eScheduling ||
      !mScheduler.HasCommands()) {
    return;
  }
  mSendPending = true;
  mPorts.mLoop->After(base::Duration(0), [self = shared_from_this()] {
    self->mSendPending = false;
    if (self->mPhase == Phase::eScheduling) {
      self->SendCommands();
    }
  });
}

std::int64_t Leader::StoreNowMs() const
{
  return mStoreMs + base::ToMilliseconds(mPorts.mLoop->Now() - mStoreMsReadAt);
}

std::optional<jobs::QueueLengths> Leader::QueueLengths() const
{
  if (mPhase != Phase::eScheduling) {
    return std::nullopt;
  }
  return mScheduler.QueueLengths();
}

std::optional<admission::MemoryUse> Leader::Memory() const
{
  if (mPhase != Phase::eScheduling) {
    return std::nullopt;
  }
  auto use = mScheduler.Memory();
  use.Add(mCancelMemory);
  return use;
}

} // namespace flamingoloom::node
