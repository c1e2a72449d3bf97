#include "flamingoloom/node/leader.h"

#include <algorithm>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

namespace {

// The store limits the rows of a response. After one with this many, more
// changes may be known to the store already.
constexpr std::size_t kManyServerRows = 200;

} // namespace

using base::ServerId;
using base::Time;
using std::chrono::milliseconds;

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
  , mScheduler(aSettings,
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

Time Leader::EarlierLeasesExpireBy() const
{
  // A lease lasts longer by this instance's clock if the server's clock is
  // slow, which may be by 2%.
  const auto bound = std::chrono::duration_cast<base::Duration>(
    mTiming.mLeaseBeyondLeadership / mTiming.mSession.mMinClockRate);
  return mStartedAt + bound;
}

void Leader::Start()
{
  Load(0, "");
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
  std::map<base::AccountId, std::int64_t> guarantees;
  for (const auto& account : aConfiguration.mAccounts) {
    guarantees[account.mId] = account.mGuaranteedAccelerators;
  }
  mScheduler.SetGuarantees(std::move(guarantees));
  RequestPass();
}

void Leader::SetOutOfServiceDataCentres(
  const std::set<base::DataCentreId>& aDataCentres)
{
  mScheduler.SetOutOfServiceDataCentres(aDataCentres);
  RequestPass();
}

// Servers
// ----------------------------------------------------------------------

void Leader::PollServerList()
{
  if (mServerListVersion == 0) {
    mListedServers.clear();
    ReadServerPage("");
    return;
  }
  mPorts.mStore->Watch(
    mPorts.mRowDecoder->ServerTable(),
    mServerListVersion,
    base::Duration(0),
    [self = shared_from_this()](const base::Expected<Rows>& aChanges) {
      if (self->mPhase != Phase::eScheduling) {
        return;
      }
      if (aChanges) {
        self->ApplyServerRows(*aChanges);
        self->mServerListVersion =
          std::max(self->mServerListVersion, aChanges->mVersion);
        const bool more = aChanges->mRows.size() >= kManyServerRows;
        if (!more || self->mPorts.mLoop->Now() - self->mServerListAppliedAt >=
                       self->mTiming.mServerListInterval) {
          self->ApplyServerList();
        }
        if (more) {
          self->PollServerList();
          return;
        }
      } else if (aChanges.error().mCode == base::ErrorCode::eNotFound) {
        // The store has forgotten the changes.
        self->mServerListVersion = 0;
        self->PollServerList();
        return;
      }
      self->PollServerListLater();
    });
}

void Leader::ReadServerPage(const std::string& aFrom)
{
  mPorts.mStore->Read(mPorts.mRowDecoder->ServerTable(),
                      "",
                      aFrom,
                      "",
                      mTiming.mReadTimeout,
                      [self = shared_from_this(), first = aFrom.empty()](
                        const base::Expected<Rows>& aPage) {
                        if (self->mPhase != Phase::eScheduling) {
                          return;
                        }
                        if (!aPage) {
                          self->mServerListVersion = 0;
                          self->PollServerListLater();
                          return;
                        }
                        if (first) {
                          // Changes after the first page was read are read by
                          // the next poll.
                          self->mServerListVersion = aPage->mVersion;
                        }
                        self->ApplyServerRows(*aPage);
                        if (aPage->mMore && !aPage->mRows.empty()) {
                          self->ReadServerPage(aPage->mRows.back().mKey + '\0');
                          return;
                        }
                        self->ApplyServerList();
                        self->PollServerListLater();
                      });
}

void Leader::PollServerListLater()
{
  mPorts.mLoop->After(mTiming.mServerListInterval, [self = shared_from_this()] {
    if (self->mPhase == Phase::eScheduling) {
      self->PollServerList();
    }
  });
}

void Leader::ApplyServerRows(const Rows& aRows)
{
  mStoreMs = aRows.mStoreNowMs;
  mStoreMsReadAt = mPorts.mLoop->Now();
  if (aRows.mUnreadable > 0 && aRows.mUnreadable != mUnreadableRows) {
    mUnreadableRows = aRows.mUnreadable;
    mPorts.mLog->Write("rows_unreadable",
                       { { "table", mPorts.mRowDecoder->ServerTable() },
                         { "rows", std::to_string(aRows.mUnreadable) } });
  }
  for (const auto& row : aRows.mRows) {
    if (!row.mValue) {
      mListedServers.erase(row.mKey);
      continue;
    }
    auto server = mPorts.mRowDecoder->ReadServer(row.mKey, *row.mValue);
    if (server) {
      mListedServers.insert_or_assign(row.mKey, std::move(*server));
    } else {
      mListedServers.erase(row.mKey);
      LogUnreadableServer(row, server.error());
    }
  }
}

void Leader::LogUnreadableServer(const Row& aRow, const base::Error& aError)
{
  // Entries of other writers may stay for good. Their number is bounded, since
  // keys of past entries are not kept.
  constexpr std::size_t kMaxEntries = 1000;
  if (mUnreadableServers.size() >= kMaxEntries) {
    mUnreadableServers.clear();
  }
  auto& version = mUnreadableServers[aRow.mKey];
  if (version != aRow.mVersion) {
    version = aRow.mVersion;
    mPorts.mLog->Write(
      "server_unreadable",
      { { "server", aRow.mKey }, { "error", aError.ToString() } });
  }
}

void Leader::ApplyServerList()
{
  std::vector<scheduler::ServerInfo> servers;
  servers.reserve(mListedServers.size());
  mServerListAppliedAt = mPorts.mLoop->Now();
  for (const auto& [key, info] : mListedServers) {
    servers.push_back(info);
  }
  const auto added = mScheduler.UpdateServers(
    mPorts.mLoop->Now(), servers, EarlierLeasesExpireBy());
  for (const auto& info : servers) {
    const auto session = mSessions.find(info.mId);
    if (session != mSessions.end()) {
      session->second->Update(info);
    }
  }
  for (auto session = mSessions.begin(); session != mSessions.end();) {
    if (mScheduler.ServerFleet().Find(session->first) == nullptr) {
      session->second->Close();
      session = mSessions.erase(session);
    } else {
      ++session;
    }
  }
  for (const auto& id : added) {
    mPorts.mLog->Write("server_found", { { "server", id.Value() } });
  }
  RequestReports();
  RequestPass();
}

ServerSession* Leader::SessionFor(const ServerId& aServer)
{
  const auto known = mSessions.find(aServer);
  if (known != mSessions.end()) {
    return known->second.get();
  }
  const auto* server = mScheduler.ServerFleet().Find(aServer);
  if (server == nullptr || server->mInfo.mAddress.empty()) {
    return nullptr;
  }
  auto session = std::make_shared<ServerSession>(
    mPorts, server->mInfo, mEpoch, mTiming.mSession, SessionEvents(aServer));
  return mSessions.emplace(aServer, std::move(session)).first->second.get();
}

ServerSession::Events Leader::SessionEvents(const ServerId& aServer)
{
  // Capturing `this` is safe: this object owns the session and closes it before
  // it is destroyed.
  ServerSession::Events events;
  events.mOnReport = [this, aServer](const scheduler::ServerReport& aReport,
                                     Time aSentAt) {
    if (mScheduler.OnReport(mPorts.mLoop->Now(), aServer, aReport, aSentAt)) {
      RequestPass();
    }
  };
  events.mOnUnresponsive = [this, aServer] {
    mScheduler.OnServerUnresponsive(mPorts.mLoop->Now(), aServer);
  };
  events.mOnReplaced = [this, aServer] {
    mScheduler.OnServerReplaced(mPorts.mLoop->Now(), aServer);
    RequestPass();
  };
  events.mOnFenced = [this] { LoseLeadership("a server saw a higher epoch"); };
  events.mOnStart = [this, aServer](const scheduler::StartCommand& aCommand,
                                    scheduler::StartResult aResult,
                                    bool aEarlierUnknown) {
    mScheduler.OnStart(mPorts.mLoop->Now(), aCommand, aResult, aEarlierUnknown);
    if (ServerSession* session = SessionFor(aServer)) {
      session->RequestReport();
    }
    if (aResult != scheduler::StartResult::eStarted ||
        mScheduler.HasCommands()) {
      RequestPass();
    }
  };
  events.mOnStop = [this](const scheduler::StopCommand& aCommand,
                          bool aResponded) {
    mScheduler.OnStop(mPorts.mLoop->Now(), aCommand, aResponded);
    if (mScheduler.HasCommands()) {
      RequestPass();
    }
  };
  events.mOnLease = [this, aServer](Time aEndsBy) {
    mScheduler.RecordLease(aServer, aEndsBy);
  };
  events.mNeedsReports = [this, aServer] {
    return mPhase == Phase::eScheduling && mScheduler.NeedsReports(aServer);
  };
  events.mAckThrough = [this, aServer] {
    return mScheduler.AcknowledgedCompletions(aServer);
  };
  events.mHasUnstoredCompletions = [this, aServer] {
    const auto* server = mScheduler.ServerFleet().Find(aServer);
    return server != nullptr && !server->mUnstoredCompletions.empty();
  };
  events.mLeaseLimit = [this] {
    return mLeadershipValidUntil() + mTiming.mLeaseBeyondLeadership;
  };
  return events;
}

void Leader::RequestReports()
{
  std::vector<ServerId> ids;
  for (const auto& [id, server] : mScheduler.ServerFleet().Servers()) {
    if (mScheduler.NeedsReports(id)) {
      ids.push_back(id);
    }
  }
  for (const auto& id : ids) {
    if (ServerSession* session = SessionFor(id)) {
      session->RequestReport();
    }
  }
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
  mScheduler.Schedule(now, unixMs);
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

void Leader::SendCommands()
{
  const auto commands = mScheduler.TakeCommands();
  for (const auto& stop : commands.mStops) {
    if (ServerSession* session = SessionFor(stop.mServer)) {
      session->Stop(stop);
    }
  }
  for (const auto& start : commands.mStarts) {
    ServerSession* session = SessionFor(start.mServer);
    if (session == nullptr) {
      mScheduler.OnStart(
        mPorts.mLoop->Now(), start, scheduler::StartResult::eTooLate, false);
      continue;
    }
    session->Start(start);
  }
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

} // namespace flamingoloom::node
