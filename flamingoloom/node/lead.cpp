#include "flamingoloom/node/lead.h"

#include <algorithm>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

using base::ServerId;
using base::Time;
using std::chrono::milliseconds;

namespace {

constexpr const char* kLoadedTables[] = { jobs::kStateTable, jobs::kRunTable };
constexpr auto kReadTimeout = milliseconds(1000);
// Far beyond any objective.
constexpr base::Duration kLongestAge = std::chrono::minutes(10);
constexpr auto kReadRetry = milliseconds(150);

} // namespace

Lead::Lead(Ports aPorts,
           LeadTiming aTiming,
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

Time Lead::EarlierLeasesEndBy() const
{
  // The servers' clocks may be 2% slow.
  const auto bound = std::chrono::duration_cast<base::Duration>(
    mTiming.mLeaseBeyondLead / mTiming.mLink.mSlowestClock);
  return mStartedAt + bound;
}

void Lead::Start()
{
  Load(0, "");
}

void Lead::Stop()
{
  mPhase = Phase::eStopped;
  if (mJobWatch) {
    mJobWatch->Stop();
  }
  for (auto& [id, link] : mLinks) {
    link->Close();
  }
}

void Lead::Lose(const char* aReason)
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

// Taking over -----------------------------------------------------------------

void Lead::Load(std::size_t aTable, const std::string& aFrom)
{
  mPorts.mStore->Read(
    kLoadedTables[aTable],
    jobs::kSchedulerPart,
    aFrom,
    "",
    kReadTimeout,
    [self = shared_from_this(), aTable, aFrom](base::Expected<Rows> aPage) {
      if (self->mPhase != Phase::eLoading) {
        return;
      }
      if (!aPage) {
        self->mPorts.mLoop->After(kReadRetry, [self, aTable, aFrom] {
          if (self->mPhase == Phase::eLoading) {
            self->Load(aTable, aFrom);
          }
        });
        return;
      }
      self->mStoreMs = aPage->mStoreNowMs;
      self->mStoreMsReadAt = self->mPorts.mLoop->Now();
      auto& rows = aTable == 0 ? self->mLoadedStates : self->mLoadedSteps;
      rows.insert(rows.end(), aPage->mRows.begin(), aPage->mRows.end());
      if (aPage->mMore && !aPage->mRows.empty()) {
        self->Load(aTable, aPage->mRows.back().mKey + '\0');
      } else if (aTable + 1 < std::size(kLoadedTables)) {
        self->Load(aTable + 1, "");
      } else {
        self->FinishLoading();
      }
    });
}

void Lead::FinishLoading()
{
  // Jobs are read last, so that each state that was read has its job; only a
  // cleaning that was cut short leaves states alone.
  std::weak_ptr<Lead> weak = shared_from_this();
  mJobWatch =
    std::make_shared<TableWatch>(mPorts,
                                 jobs::kJobTable,
                                 jobs::JobParts(),
                                 TableWatchTiming{},
                                 [weak](const std::vector<Row>& aRows) {
                                   if (const auto self = weak.lock()) {
                                     self->OnJobRows(aRows);
                                   }
                                 });
  mJobWatch->Start();
}

void Lead::OnJobRows(const std::vector<Row>& aRows)
{
  if (mPhase == Phase::eStopped) {
    return;
  }
  const Time now = mPorts.mLoop->Now();
  for (const auto& row : aRows) {
    if (!row.mValue || jobs::IsCancelKey(row.mKey)) {
      continue;
    }
    auto job = jobs::DecodeJob(row.mKey, *row.mValue);
    if (!job) {
      mPorts.mLog->Write(
        "row_unreadable",
        { { "key", row.mKey }, { "error", job.error().ToString() } });
      continue;
    }
    mPorts.mLog->Write(
      "job_seen",
      { { "job", row.mKey },
        { "queue", job->mRules.mQueue },
        { "priority", std::to_string(job->mRules.mPriority) },
        { "estimate_ms",
          std::to_string(base::ToMilliseconds(job->LongestChain())) },
        { "version", std::to_string(row.mVersion) } });
    // A successor counts the job's time from its acceptance, not from the
    // take-over; clocks that jump must not make it absurd.
    const auto age =
      std::clamp<std::int64_t>(mPorts.mLoop->UnixMs() - job->mAcceptedMs,
                               0,
                               base::ToMilliseconds(kLongestAge));
    mScheduler.AddJob(now - milliseconds(age), std::move(*job));
  }
  if (mPhase == Phase::eLoading) {
    for (const auto& row : mLoadedStates) {
      const auto state = jobs::DecodeState(row.mValue.value_or(""));
      if (state && !mScheduler.RestoreState(row.mKey, *state, row.mVersion)) {
        mLeftovers.push_back(
          { jobs::kStateTable, row.mKey, std::nullopt, std::nullopt });
      }
    }
    for (const auto& row : mLoadedSteps) {
      const auto step = jobs::DecodeStep(row.mValue.value_or(""));
      if (step) {
        if (!mScheduler.RestoreStep(jobs::JobOfKey(row.mKey),
                                    *step,
                                    row.mVersion,
                                    EarlierLeasesEndBy())) {
          mLeftovers.push_back(
            { jobs::kRunTable, row.mKey, std::nullopt, std::nullopt });
        }
      } else {
        mPorts.mLog->Write(
          "row_unreadable",
          { { "key", row.mKey }, { "error", step.error().ToString() } });
      }
    }
    mScheduler.Resume(now);
    mPorts.mLog->Write(
      "jobs_loaded",
      { { "jobs", std::to_string(mScheduler.Jobs().size()) },
        { "steps", std::to_string(mLoadedSteps.size()) },
        { "after_ms",
          std::to_string(base::ToMilliseconds(now - mStartedAt)) } });
    mLoadedStates.clear();
    mLoadedSteps.clear();
    mPhase = Phase::eScheduling;
    PollServerList("", {});
    Clean();
  }
  for (const auto& row : aRows) {
    if (row.mValue && jobs::IsCancelKey(row.mKey) &&
        !mScheduler.Cancel(jobs::JobOfKey(row.mKey))) {
      mLoneCancels.emplace(jobs::JobOfKey(row.mKey), now);
    }
  }
  Poke();
}

void Lead::SetConfiguration(const Configuration& aConfiguration)
{
  std::map<base::AccountId, std::int64_t> guarantees;
  for (const auto& account : aConfiguration.mAccounts) {
    guarantees[account.mId] = account.mGuaranteedAccelerators;
  }
  mScheduler.SetGuarantees(std::move(guarantees));
  Poke();
}

void Lead::SetDataCentresOut(const std::set<base::DataCentreId>& aOut)
{
  mScheduler.SetDataCentresOut(aOut);
  Poke();
}

// Servers
// ----------------------------------------------------------------------

void Lead::PollServerList(const std::string& aFrom,
                          std::vector<scheduler::ServerInfo> aSoFar)
{
  mPorts.mStore->Read(
    mPorts.mForeign->ServerTable(),
    "",
    aFrom,
    "",
    kReadTimeout,
    [self = shared_from_this(),
     servers = std::move(aSoFar)](base::Expected<Rows> aPage) mutable {
      if (self->mPhase != Phase::eScheduling) {
        return;
      }
      if (aPage) {
        self->mStoreMs = aPage->mStoreNowMs;
        self->mStoreMsReadAt = self->mPorts.mLoop->Now();
        for (const auto& row : aPage->mRows) {
          auto server = self->mPorts.mForeign->ReadServer(
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

void Lead::TakeServerList(const std::vector<scheduler::ServerInfo>& aServers)
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
    if (mScheduler.Servers().Find(link->first) == nullptr) {
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

ServerLink* Lead::LinkTo(const ServerId& aServer)
{
  const auto known = mLinks.find(aServer);
  if (known != mLinks.end()) {
    return known->second.get();
  }
  const auto* server = mScheduler.Servers().Find(aServer);
  if (server == nullptr || server->mInfo.mAddress.empty()) {
    return nullptr;
  }
  auto link = std::make_shared<ServerLink>(
    mPorts, server->mInfo, mEpoch, mTiming.mLink, LinkEvents(aServer));
  return mLinks.emplace(aServer, std::move(link)).first->second.get();
}

ServerLink::Events Lead::LinkEvents(const ServerId& aServer)
{
  // A link is owned by the lead and closed before it goes.
  ServerLink::Events events;
  events.mOnReport = [this, aServer](const scheduler::ServerReport& aReport,
                                     Time aSentAt) {
    mScheduler.OnReport(mPorts.mLoop->Now(), aServer, aReport, aSentAt);
    Poke();
  };
  events.mOnSilence = [this, aServer] {
    mScheduler.OnSilence(mPorts.mLoop->Now(), aServer);
  };
  events.mOnReplaced = [this, aServer] {
    mScheduler.OnReplaced(mPorts.mLoop->Now(), aServer);
    Poke();
  };
  events.mOnFenced = [this] { Lose("a server saw a higher epoch"); };
  events.mOnStart = [this, aServer](const scheduler::StartOrder& aOrder,
                                    scheduler::StartAnswer aAnswer,
                                    bool aEarlierUnknown) {
    mScheduler.OnStart(mPorts.mLoop->Now(), aOrder, aAnswer, aEarlierUnknown);
    if (ServerLink* link = LinkTo(aServer)) {
      link->Ask();
    }
    Poke();
  };
  events.mOnStop = [this](const scheduler::StopOrder& aOrder, bool aAnswered) {
    mScheduler.OnStop(mPorts.mLoop->Now(), aOrder, aAnswered);
    Poke();
  };
  events.mOnLease = [this, aServer](Time aEndsBy) {
    mScheduler.NoteLease(aServer, aEndsBy);
  };
  events.mNeedsReports = [this, aServer] {
    return mPhase == Phase::eScheduling && mScheduler.NeedsReports(aServer);
  };
  events.mAckThrough = [this, aServer] {
    return mScheduler.AcknowledgedEnds(aServer);
  };
  events.mHasUnstoredEnds = [this, aServer] {
    const auto* server = mScheduler.Servers().Find(aServer);
    return server != nullptr && !server->mUnstoredEnds.empty();
  };
  events.mLeaseLimit = [this] {
    return mLeadValidUntil() + mTiming.mLeaseBeyondLead;
  };
  return events;
}

void Lead::AskServers()
{
  std::vector<ServerId> ids;
  for (const auto& [id, server] : mScheduler.Servers().Servers()) {
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

void Lead::Poke()
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

void Lead::Pass()
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

void Lead::CommitNext()
{
  if (mCommitting || mPhase != Phase::eScheduling || !mScheduler.HasChanges()) {
    return;
  }
  SendCommit(mScheduler.TakeBatch(StoreNowMs()), false);
}

void Lead::SendCommit(scheduler::Batch aBatch, bool aRetry)
{
  mCommitting = true;
  const Transaction transaction{ jobs::kSchedulerPart,
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

bool Lead::IsOwnEarlierWrite(const scheduler::Batch& aBatch,
                             const CommitResult& aResult,
                             std::int64_t& aVersion) const
{
  bool found = false;
  for (const auto& current : aResult.mCurrent) {
    if (current.mTable == kLeadTable) {
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

void Lead::OnCommit(const scheduler::Batch& aBatch,
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

void Lead::SendOrders()
{
  const auto orders = mScheduler.TakeOrders();
  for (const auto& stop : orders.mStops) {
    if (ServerLink* link = LinkTo(stop.mServer)) {
      link->Stop(stop);
    }
  }
  for (const auto& start : orders.mStarts) {
    ServerLink* link = LinkTo(start.mServer);
    if (link == nullptr) {
      mScheduler.OnStart(
        mPorts.mLoop->Now(), start, scheduler::StartAnswer::eTooLate, false);
      continue;
    }
    link->Start(start);
  }
}

std::int64_t Lead::StoreNowMs() const
{
  return mStoreMs + base::ToMilliseconds(mPorts.mLoop->Now() - mStoreMsReadAt);
}

std::optional<jobs::QueueLengths> Lead::QueueLengths() const
{
  if (mPhase != Phase::eScheduling) {
    return std::nullopt;
  }
  return mScheduler.QueueLengths();
}

void Lead::Clean()
{
  if (mPhase != Phase::eScheduling) {
    return;
  }
  if (!mUncleaned.empty()) {
    CleanNext(std::exchange(mUncleaned, {}), 0);
    return;
  }
  std::map<std::string, std::vector<scheduler::RowChange>> jobRows;
  auto rows = std::move(mLeftovers);
  mLeftovers.clear();
  const auto remove = [](std::vector<scheduler::RowChange>& aRows,
                         const char* aTable,
                         const std::string& aKey) {
    aRows.push_back({ aTable, aKey, std::nullopt, std::nullopt });
  };
  for (const auto& expired : mScheduler.TakeExpired(
         StoreNowMs() - base::ToMilliseconds(mTiming.mKeepFinal))) {
    auto& ofPart = jobRows[jobs::PartOfJob(expired.mJob)];
    remove(ofPart, jobs::kJobTable, expired.mJob);
    if (expired.mCancelled) {
      remove(ofPart, jobs::kJobTable, jobs::CancelKey(expired.mJob));
    }
    for (const auto& key : expired.mRunKeys) {
      remove(rows, jobs::kRunTable, key);
    }
    remove(rows, jobs::kStateTable, expired.mJob);
  }
  for (auto cancel = mLoneCancels.begin(); cancel != mLoneCancels.end();) {
    if (mPorts.mLoop->Now() - cancel->second < mTiming.mKeepFinal) {
      ++cancel;
      continue;
    }
    remove(jobRows[jobs::PartOfJob(cancel->first)],
           jobs::kJobTable,
           jobs::CancelKey(cancel->first));
    cancel = mLoneCancels.erase(cancel);
  }
  // The jobs go first: one that outlived its state would be taken for queued
  // and run again.
  std::vector<Transaction> transactions;
  for (auto& [part, changes] : jobRows) {
    transactions.push_back({ part, {}, std::move(changes) });
  }
  constexpr std::ptrdiff_t kRowsAtOnce = 90;
  for (auto from = rows.begin(); from != rows.end();) {
    const auto to = from + std::min(kRowsAtOnce, rows.end() - from);
    transactions.push_back(
      { jobs::kSchedulerPart, { mEpochCondition }, { from, to } });
    from = to;
  }
  CleanNext(std::move(transactions), 0);
}

void Lead::CleanNext(std::vector<Transaction> aTransactions, std::size_t aNext)
{
  if (aNext == aTransactions.size()) {
    mPorts.mLoop->After(mTiming.mCleanEvery,
                        [self = shared_from_this()] { self->Clean(); });
    return;
  }
  const Transaction transaction = aTransactions[aNext];
  mPorts.mStore->Commit(
    transaction,
    mTiming.mCommitTimeout,
    [self = shared_from_this(), transactions = std::move(aTransactions), aNext](
      const base::Expected<CommitResult>& aResult) mutable {
      if (self->mPhase != Phase::eScheduling) {
        return;
      }
      if (!aResult) {
        self->mPorts.mLog->Write("clean_failed",
                                 { { "error", aResult.error().ToString() } });
        self->mUncleaned.assign(transactions.begin() +
                                  static_cast<std::ptrdiff_t>(aNext),
                                transactions.end());
        transactions.clear();
        aNext = 0;
      } else {
        ++aNext;
      }
      self->CleanNext(std::move(transactions), aNext);
    });
}

} // namespace flamingoloom::node
