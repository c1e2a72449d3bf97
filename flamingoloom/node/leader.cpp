#include "flamingoloom/node/leader.h"

#include <algorithm>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

using base::ServerId;
using base::Time;
using std::chrono::milliseconds;

Leader::Leader(Ports aPorts,
               LeaderTiming aTiming,
               scheduler::SchedulerSettings aSettings,
               RowCondition aEpochCondition,
               std::int64_t aEpoch,
               std::function<Time()> aLeadValidUntil,
               std::function<void()> aOnLost)
  : mPorts(aPorts)
  , mTiming(aTiming)
  , mEpochCondition(std::move(aEpochCondition))
  , mEpoch(aEpoch)
  , mLeadValidUntil(std::move(aLeadValidUntil))
  , mOnLost(std::move(aOnLost))
  , mStartedAt(aPorts.mLoop->Now())
  , mCommitPause(aTiming.mCommitRetry)
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

Time Leader::EarlierLeasesEndBy() const
{
  // The servers' clocks may be 2% slow.
  const auto bound = std::chrono::duration_cast<base::Duration>(
    mTiming.mLeaseBeyondLead / mTiming.mLink.mMinClockRate);
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
  for (auto& [id, link] : mLinks) {
    link->Close();
  }
}

void Leader::Lose(const char* aReason)
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
  Poke();
}

void Leader::SetOutOfServiceDataCentres(
  const std::set<base::DataCentreId>& aDataCentres)
{
  mScheduler.SetOutOfServiceDataCentres(aDataCentres);
  Poke();
}

// Servers
// ----------------------------------------------------------------------

void Leader::PollServerList(const std::string& aFrom,
                            std::vector<scheduler::ServerInfo> aSoFar)
{
  mPorts.mStore->Read(
    mPorts.mRowDecoder->ServerTable(),
    "",
    aFrom,
    "",
    mTiming.mReadTimeout,
    [self = shared_from_this(),
     servers = std::move(aSoFar)](base::Expected<Rows> aPage) mutable {
      if (self->mPhase != Phase::eScheduling) {
        return;
      }
      if (aPage) {
        self->mStoreMs = aPage->mStoreNowMs;
        self->mStoreMsReadAt = self->mPorts.mLoop->Now();
        for (const auto& row : aPage->mRows) {
          auto server = self->mPorts.mRowDecoder->ReadServer(
            row.mKey, row.mValue.value_or(""));
          // Other writers leave entries that name no server to use.
          if (server) {
            servers.push_back(std::move(*server));
          }
        }
        if (aPage->mMore && !aPage->mRows.empty()) {
          self->PollServerList(aPage->mRows.back().mKey + '\0',
                               std::move(servers));
          return;
        }
        self->TakeServerList(servers);
      }
      self->mPorts.mLoop->After(self->mTiming.mServerListEvery, [self] {
        if (self->mPhase == Phase::eScheduling) {
          self->PollServerList("", {});
        }
      });
    });
}

void Leader::TakeServerList(const std::vector<scheduler::ServerInfo>& aServers)
{
  const auto fresh = mScheduler.UpdateServers(
    mPorts.mLoop->Now(), aServers, EarlierLeasesEndBy());
  for (const auto& info : aServers) {
    const auto link = mLinks.find(info.mId);
    if (link != mLinks.end()) {
      link->second->Update(info);
    }
  }
  for (auto link = mLinks.begin(); link != mLinks.end();) {
    if (mScheduler.ServerFleet().Find(link->first) == nullptr) {
      link->second->Close();
      link = mLinks.erase(link);
    } else {
      ++link;
    }
  }
  for (const auto& id : fresh) {
    mPorts.mLog->Write("server_found", { { "server", id.Value() } });
  }
  AskServers();
  Poke();
}

ServerLink* Leader::LinkTo(const ServerId& aServer)
{
  const auto known = mLinks.find(aServer);
  if (known != mLinks.end()) {
    return known->second.get();
  }
  const auto* server = mScheduler.ServerFleet().Find(aServer);
  if (server == nullptr || server->mInfo.mAddress.empty()) {
    return nullptr;
  }
  auto link = std::make_shared<ServerLink>(
    mPorts, server->mInfo, mEpoch, mTiming.mLink, LinkEvents(aServer));
  return mLinks.emplace(aServer, std::move(link)).first->second.get();
}

ServerLink::Events Leader::LinkEvents(const ServerId& aServer)
{
  // A link is owned by the lead and closed before it goes.
  ServerLink::Events events;
  events.mOnReport = [this, aServer](const scheduler::ServerReport& aReport,
                                     Time aSentAt) {
    mScheduler.OnReport(mPorts.mLoop->Now(), aServer, aReport, aSentAt);
    Poke();
  };
  events.mOnSilence = [this, aServer] {
    mScheduler.OnServerUnresponsive(mPorts.mLoop->Now(), aServer);
  };
  events.mOnReplaced = [this, aServer] {
    mScheduler.OnServerReplaced(mPorts.mLoop->Now(), aServer);
    Poke();
  };
  events.mOnFenced = [this] { Lose("a server saw a higher epoch"); };
  events.mOnStart = [this, aServer](const scheduler::StartCommand& aCommand,
                                    scheduler::StartResult aResult,
                                    bool aEarlierUnknown) {
    mScheduler.OnStart(mPorts.mLoop->Now(), aCommand, aResult, aEarlierUnknown);
    if (ServerLink* link = LinkTo(aServer)) {
      link->Ask();
    }
    Poke();
  };
  events.mOnStop = [this](const scheduler::StopCommand& aCommand,
                          bool aAnswered) {
    mScheduler.OnStop(mPorts.mLoop->Now(), aCommand, aAnswered);
    Poke();
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
    return mLeadValidUntil() + mTiming.mLeaseBeyondLead;
  };
  return events;
}

void Leader::AskServers()
{
  std::vector<ServerId> ids;
  for (const auto& [id, server] : mScheduler.ServerFleet().Servers()) {
    if (mScheduler.NeedsReports(id)) {
      ids.push_back(id);
    }
  }
  for (const auto& id : ids) {
    if (ServerLink* link = LinkTo(id)) {
      link->Ask();
    }
  }
}

// Passes and commits
// -------------------------------------------------------------

void Leader::Poke()
{
  if (mPassPending || mPhase != Phase::eScheduling) {
    return;
  }
  mPassPending = true;
  const auto delay = std::max(mTiming.mPassDelay, mPassPause);
  mPorts.mLoop->After(delay, [self = shared_from_this()] {
    self->mPassPending = false;
    if (self->mPhase == Phase::eScheduling) {
      self->Pass();
    }
  });
}

void Leader::Pass()
{
  const Time now = mPorts.mLoop->Now();
  const auto unixMs = mPorts.mLoop->UnixMs();
  mLastPass = now;
  mScheduler.Schedule(now, unixMs);
  mPassPause = (mPorts.mLoop->Now() - now) * mTiming.mPassPauseFactor;
  SendOrders();
  CommitNext();
  auto next = mTiming.mPassEvery;
  if (const auto due = mScheduler.MillisecondsToNextDue(unixMs)) {
    next = std::min<base::Duration>(next, milliseconds(*due + 1));
  }
  mPorts.mLoop->After(next, [self = shared_from_this(), now] {
    if (self->mLastPass == now) {
      self->Poke();
    }
  });
}

void Leader::CommitNext()
{
  if (mCommitting || mPhase != Phase::eScheduling || !mScheduler.HasChanges()) {
    return;
  }
  SendCommit(mScheduler.TakeBatch(StoreNowMs()), false);
}

void Leader::SendCommit(scheduler::Batch aBatch, bool aRetry)
{
  mCommitting = true;
  const Transaction transaction{ jobs::kSchedulerPartition,
                                 { mEpochCondition },
                                 aBatch.mRows };
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

bool Leader::IsOwnEarlierWrite(const scheduler::Batch& aBatch,
                               const CommitResult& aResult,
                               std::int64_t& aVersion) const
{
  bool found = false;
  for (const auto& current : aResult.mCurrent) {
    if (current.mTable == kLeaderTable) {
      if (current.mRow.mVersion != mEpochCondition.mVersion) {
        return false;
      }
      continue;
    }
    for (const auto& row : aBatch.mRows) {
      if (row.mTable != current.mTable || row.mKey != current.mRow.mKey) {
        continue;
      }
      if (row.mValue != current.mRow.mValue) {
        return false;
      }
      aVersion = std::max(aVersion, current.mRow.mVersion);
      found = true;
    }
  }
  return found;
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
      Lose("the store refuses a batch");
      return;
    }
    mCommitPause = std::min(mTiming.mMaxCommitRetry, mCommitPause * 2);
    mPorts.mLoop->After(
      mCommitPause,
      [self = shared_from_this(), aBatch, retry = aRetry || unknown] {
        if (self->mPhase == Phase::eScheduling) {
          self->SendCommit(aBatch, retry);
        }
      });
    return;
  }
  std::int64_t version = aResult->mVersion;
  if (!aResult->mApplied) {
    version = 0;
    if (!aRetry || !IsOwnEarlierWrite(aBatch, *aResult, version)) {
      Lose("the store has newer rows");
      return;
    }
  }
  mCommitting = false;
  mCommitPause = mTiming.mCommitRetry;
  if (aResult->mStoreNowMs > 0) {
    mStoreMs = aResult->mStoreNowMs;
    mStoreMsReadAt = mPorts.mLoop->Now();
  }
  mScheduler.OnStored(mPorts.mLoop->Now(), aBatch, version);
  SendOrders();
  AskServers();
  CommitNext();
}

void Leader::SendOrders()
{
  const auto commands = mScheduler.TakeCommands();
  for (const auto& stop : commands.mStops) {
    if (ServerLink* link = LinkTo(stop.mServer)) {
      link->Stop(stop);
    }
  }
  for (const auto& start : commands.mStarts) {
    ServerLink* link = LinkTo(start.mServer);
    if (link == nullptr) {
      mScheduler.OnStart(
        mPorts.mLoop->Now(), start, scheduler::StartResult::eTooLate, false);
      continue;
    }
    link->Start(start);
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
