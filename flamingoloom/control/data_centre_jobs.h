// Schedules the recorded requests of one owned data centre. It loads their
// records after a takeover, queues, places and starts them, and stores each
// change of state before it acts on it. Not thread-safe.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "flamingoloom/control/accelerator_table.h"
#include "flamingoloom/control/attempt_runner.h"
#include "flamingoloom/control/context.h"
#include "flamingoloom/control/data_centre_ownership.h"
#include "flamingoloom/control/record_store.h"
#include "flamingoloom/control/slot_table.h"
#include "flamingoloom/dispatch/failure_tracker.h"

namespace flamingoloom::control {

template <platform::Ports P>
class DataCentreJobs
{
public:
  DataCentreJobs(Context<P>& aContext,
                 RecordStore<P>& aStore,
                 DataCentreOwnership<P>& aOwnership)
    : mContext(aContext)
    , mStore(aStore)
    , mOwnership(aOwnership)
    , mSlots(aContext.mOptions.mRecordedSlots)
    , mFailures(MakeFailureOptions())
  {
  }

  // Sets the callbacks that relocate queued requests. aChoose returns the data
  // centre to relocate a record to, or nothing if there is none; aOnRelocated
  // is called once the relocated record is stored.
  void SetRelocationCallbacks(
    std::function<std::optional<base::DataCentreId>(const ledger::Record&)>
      aChoose,
    std::function<void(const base::RequestId&, const base::DataCentreId&)>
      aOnRelocated)
  {
    mChooseRelocationTarget = std::move(aChoose);
    mOnRelocated = std::move(aOnRelocated);
  }

  // Must be called when the instance acquires a new epoch of the data centre.
  // Loads the open requests that previous owners left.
  void OnEpochAcquired()
  {
    if (!mOwned) {
      mOwned = true;
      ++mGeneration;
      OnConfigChange();
      Load();
    }
  }

  // Must be called when the instance loses its ownership. Abandons all attempts
  // without stopping their tasks, so that the next owner can adopt them, and
  // responds to all waiters with eUnavailable.
  void OnOwnershipLost()
  {
    mOwned = false;
    mLoaded = false;
    ++mGeneration;
    for (auto& [request, job] : mJobs) {
      if (job->mRunner) {
        job->mRunner->Abandon();
      }
      RespondToWaiters(
        *job,
        base::MakeError(base::ErrorCode::eUnavailable,
                        "await request",
                        mContext.mIdentity.mId.Value(),
                        "the data centre is owned by another instance"));
    }
    mJobs.clear();
    mSlots.Clear();
    mAccelerators.Clear();
  }

  bool IsLoaded() const { return mOwned && mLoaded; }

  // Reads and queues the record of aRequest unless it is already loaded.
  void LoadIfUnknown(const base::RequestId& aRequest)
  {
    if (!mOwned || mJobs.contains(aRequest)) {
      return;
    }
    mStore.Find(aRequest,
                [this, generation = mGeneration](
                  const base::Expected<std::optional<StoredRecord>>& aFound) {
                  if (generation == mGeneration && aFound && *aFound &&
                      Add(**aFound)) {
                    AdoptPlacements({ **aFound });
                    RunSchedulingPass();
                  }
                });
  }

  void CancelRequest(const base::RequestId& aRequest)
  {
    auto found = mJobs.find(aRequest);
    if (found == mJobs.end()) {
      return;
    }
    Job& job = *found->second;
    job.mCancelled = true;
    if (job.mRunner) {
      job.mRunner->Stop(platform::TaskAction::eStop);
    } else if (!job.mWriting) {
      CompleteWithoutStart(
        found->second,
        ledger::Cancel(job.mStored.mRecord, "cancelled by the caller"));
    }
  }

  // Calls aDone when the record becomes terminal, or with an empty progress
  // after aWait. Responds with eNotFound if the request is not open here.
  void Await(const base::RequestId& aRequest,
             base::Duration aWait,
             platform::Done<platform::RequestProgress> aDone)
  {
    auto found = mJobs.find(aRequest);
    if (found == mJobs.end()) {
      aDone(base::MakeError(base::ErrorCode::eNotFound,
                            "await request",
                            mContext.mIdentity.mId.Value(),
                            "the request is not open here"));
      return;
    }
    std::uint64_t id = ++mLastWaiterId;
    found->second->mWaiters[id] = std::move(aDone);
    mContext.mPorts.After(aWait, [this, aRequest, id] {
      auto job = mJobs.find(aRequest);
      if (job == mJobs.end() || !job->second->mWaiters.contains(id)) {
        return;
      }
      auto done = std::move(job->second->mWaiters[id]);
      job->second->mWaiters.erase(id);
      done(platform::RequestProgress{});
    });
  }

  // Applies the active configuration; must be called when it has changed.
  void OnConfigChange()
  {
    if (mOwned) {
      mAccelerators.Configure(*mContext.mConfig, mOwnership.Name());
    }
  }

  // Runs a scheduling pass, and rescans the open records if that is due. Must
  // be called at each tick.
  void OnTick()
  {
    if (!mOwned) {
      return;
    }
    if (mContext.Now() >= mNextRescan) {
      Load();
    }
    RunSchedulingPass();
  }

  // Returns true if no record is being written and no start command is in
  // flight. The ownership can then be released, because the stored records show
  // the next owner the state of each request.
  bool HasNothingInFlight() const
  {
    base::Time now = mContext.Now();
    return std::none_of(mJobs.begin(), mJobs.end(), [&](const auto& aEntry) {
      const Job& job = *aEntry.second;
      return job.mWriting || (job.mRunner && now - job.mRunner->LaunchedAt() <
                                               kStartInFlightTimeout);
    });
  }

  std::size_t OpenCount() const { return mJobs.size(); }

  const AcceleratorTable& Accelerators() const { return mAccelerators; }

  // Returns the open records, for views.
  std::vector<ledger::Record> Records() const
  {
    std::vector<ledger::Record> records;
    for (const auto& [request, job] : mJobs) {
      records.push_back(job->mStored.mRecord);
    }
    return records;
  }

private:
  struct Job
  {
    StoredRecord mStored;
    std::uint64_t mArrival = 0;
    base::Time mWaitingSince{};
    bool mWriting = false;
    bool mCancelled = false;
    // Set when the job is preempted for a guarantee. If its start is still
    // being written, the action follows once the start has been sent.
    std::optional<platform::TaskAction> mPreemptionAction;
    // The job is not scheduled before this time.
    base::Time mRetryAfter{};
    // Servers and accelerators that the job holds until it starts. It starts
    // when all requests in mPendingVictims have released their accelerators.
    std::vector<ledger::TaskPlacement> mPlacements;
    bool mWithinGuarantee = false;
    std::set<base::RequestId> mPendingVictims;
    std::shared_ptr<AttemptRunner<P>> mRunner;
    std::map<std::uint64_t, platform::Done<platform::RequestProgress>> mWaiters;
  };
  using JobPtr = std::shared_ptr<Job>;

  static constexpr base::Duration kStoreRetryDelay =
    std::chrono::milliseconds(300);
  static constexpr base::Duration kRequeueDelay =
    std::chrono::milliseconds(300);
  // A start command that was sent longer ago than this has reached its server
  // or is lost.
  static constexpr base::Duration kStartInFlightTimeout =
    std::chrono::seconds(1);
  // A job that the servers in service cannot run is relocated if they have not
  // returned to service after this time.
  static constexpr base::Duration kUnplaceableRelocationDelay =
    std::chrono::seconds(5);
  // A waiting job is relocated after this time if the data centre has lost half
  // of its servers, or half of its places for such a job.
  static constexpr base::Duration kWaitingRelocationDelay =
    std::chrono::seconds(10);
  static constexpr std::size_t kMaxAnswerBytesInRow = 4096;

  // Recorded requests are rare and long, so a single failure ejects a server,
  // which then gets only probes.
  static dispatch::FailureOptions MakeFailureOptions()
  {
    dispatch::FailureOptions options;
    options.mMinimumResults = 1;
    return options;
  }

  std::function<bool()> MayWrite()
  {
    return [this, generation = mGeneration] {
      return generation == mGeneration && mOwnership.IsOwner();
    };
  }

  // --- Loading -----------------------------------------------------------

  void Load()
  {
    mNextRescan = mContext.Now() + mContext.mOptions.mRescanInterval;
    mStore.FindOpen(
      mOwnership.Name(),
      [this](const base::RequestId& aRequest) {
        return mJobs.contains(aRequest);
      },
      [this, generation = mGeneration](
        const base::Expected<std::vector<StoredRecord>>& aFound) {
        if (generation != mGeneration) {
          return;
        }
        if (aFound) {
          AddLoaded(*aFound);
        } else {
          mNextRescan = mContext.Now() + kStoreRetryDelay;
        }
      });
  }

  void AddLoaded(std::vector<StoredRecord> aFound)
  {
    std::erase_if(
      aFound, [this](const StoredRecord& aStored) { return !Add(aStored); });
    AdoptPlacements(aFound);
    mLoaded = true;
    RunSchedulingPass();
  }

  // Adds the record if it is open, belongs to this data centre and is not
  // loaded yet. Returns whether it was added.
  bool Add(const StoredRecord& aStored)
  {
    const ledger::Record& record = aStored.mRecord;
    if (record.IsTerminal() || record.mDataCentre != mOwnership.Name() ||
        mJobs.contains(record.mRequest)) {
      return false;
    }
    auto job = std::make_shared<Job>();
    job->mStored = aStored;
    job->mArrival = ++mLastArrival;
    job->mWaitingSince = mContext.Now();
    mJobs[record.mRequest] = job;
    return true;
  }

  // Counts the slots and accelerators that running attempts hold. Sets the
  // listed servers first, because allocations refer to them.
  void AdoptPlacements(const std::vector<StoredRecord>& aStored)
  {
    mAccelerators.SetServers(mContext.mMembers.ListedServers(mOwnership.Name()),
                             {});
    std::vector<RunningJob> running;
    for (const StoredRecord& stored : aStored) {
      const ledger::Record& record = stored.mRecord;
      const config::JobKind* kind = FindKind(record);
      if (record.mState != ledger::RecordState::eStarting) {
        continue;
      }
      if (kind && kind->mAcceleratorsPerTask > 0) {
        running.push_back({ &record, kind });
      } else {
        mSlots.Adopt(record.mRequest, record.mAttempt->mPlacements);
      }
    }
    mAccelerators.Adopt(running, mContext.Now());
  }

  const config::JobKind* FindKind(const ledger::Record& aRecord) const
  {
    return mContext.mConfig ? mContext.mConfig->Kind(aRecord.mKind) : nullptr;
  }

  void ReleasePlacements(const base::RequestId& aRequest)
  {
    mSlots.Finish(aRequest);
    mAccelerators.Finish(aRequest);
    auto job = mJobs.find(aRequest);
    if (job != mJobs.end()) {
      job->second->mPlacements.clear();
      job->second->mPendingVictims.clear();
    }
    for (auto& [request, waiting] : mJobs) {
      waiting->mPendingVictims.erase(aRequest);
    }
  }

  // --- Starting ----------------------------------------------------------

  void RunSchedulingPass()
  {
    if (!mLoaded || !mContext.mConfig || mInSchedulingPass) {
      return;
    }
    mInSchedulingPass = true;
    SetServers();
    std::vector<JobPtr> jobs = JobsInSchedulingOrder();
    for (const JobPtr& job : jobs) {
      ScheduleJob(job);
    }
    PlaceGangs(jobs);
    mInSchedulingPass = false;
  }

  // Updates the servers that may get new work. Ejected servers are left out
  // unless a probe is due.
  void SetServers()
  {
    std::vector<platform::Member> usable = mOwnership.StartableServers();
    mEjectedServers.clear();
    std::erase_if(usable, [this](const platform::Member& aServer) {
      base::ServerId id(aServer.mId);
      if (!mFailures.IsEjected(id)) {
        return false;
      }
      mEjectedServers.push_back(id);
      return !mFailures.MayProbe(id, mContext.Now());
    });
    mUsableServers = static_cast<int>(usable.size());
    mSlots.SetServers(usable);
    mAccelerators.SetServers(mContext.mMembers.ListedServers(mOwnership.Name()),
                             usable);
  }

  bool CanStart()
  {
    return !mContext.IsShuttingDown() &&
           mOwnership.MayStart(mOwnership.State().HeldEpoch());
  }

  // Places all waiting jobs that need accelerators in one decision, so that a
  // large gang can get a reservation.
  void PlaceGangs(const std::vector<JobPtr>& aJobs)
  {
    if (!CanStart()) {
      return;
    }
    std::vector<placement::Job> waiting;
    for (const JobPtr& job : aJobs) {
      const config::JobKind* kind = FindKind(job->mStored.mRecord);
      if (kind && kind->mAcceleratorsPerTask > 0 && IsWaiting(*job)) {
        waiting.push_back(MakeJob(
          job->mStored.mRecord.mRequest, *kind, kind->mDeclaredRunTime));
      }
    }
    for (PlacedJob& placed : mAccelerators.Decide(waiting, mContext.Now())) {
      OnPlaced(placed);
    }
  }

  bool IsWaiting(const Job& aJob)
  {
    return aJob.mStored.mRecord.mState == ledger::RecordState::eAccepted &&
           !aJob.mWriting && !aJob.mRunner && aJob.mPlacements.empty() &&
           mContext.Now() >= aJob.mRetryAfter;
  }

  void OnPlaced(PlacedJob& aPlaced)
  {
    JobPtr job = mJobs.at(aPlaced.mRequest);
    job->mPlacements = std::move(aPlaced.mPlacements);
    job->mWithinGuarantee = aPlaced.mWithinGuarantee;
    for (const placement::Preemption& victim : aPlaced.mPreempted) {
      Preempt(job, victim);
    }
    if (job->mPendingVictims.empty()) {
      Start(job, std::exchange(job->mPlacements, {}));
    }
  }

  void Preempt(const JobPtr& aFor, const placement::Preemption& aVictim)
  {
    auto victim = mJobs.find(aVictim.mRequest);
    if (victim == mJobs.end()) {
      return;
    }
    ++mContext.mCounters.mPreemptions;
    Job& job = *victim->second;
    if (!job.mRunner && !job.mWriting) {
      // The victim holds accelerators, but its start has neither been written
      // nor sent.
      job.mPlacements.clear();
      job.mPendingVictims.clear();
      mAccelerators.Finish(aVictim.mRequest);
      return;
    }
    aFor->mPendingVictims.insert(aVictim.mRequest);
    job.mPreemptionAction =
      aVictim.mMethod == placement::PreemptionMethod::eCheckpoint
        ? platform::TaskAction::eCheckpoint
        : platform::TaskAction::eStop;
    if (job.mRunner) {
      job.mRunner->Stop(*job.mPreemptionAction);
    }
  }

  // Returns the jobs without a write or an attempt in progress, by descending
  // priority of their kind and then by arrival.
  std::vector<JobPtr> JobsInSchedulingOrder() const
  {
    std::vector<JobPtr> jobs;
    for (const auto& [request, job] : mJobs) {
      if (!job->mWriting && !job->mRunner) {
        jobs.push_back(job);
      }
    }
    auto order = [this](const JobPtr& aJob) {
      const config::JobKind* kind = FindKind(aJob->mStored.mRecord);
      int priority = kind ? static_cast<int>(kind->mPriority) : 0;
      return std::tuple(-priority, aJob->mArrival);
    };
    std::sort(jobs.begin(), jobs.end(), [&](const auto& aA, const auto& aB) {
      return order(aA) < order(aB);
    });
    return jobs;
  }

  void ScheduleJob(const JobPtr& aJob)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    if (record.mState == ledger::RecordState::eStarting) {
      TryAdopt(aJob);
      return;
    }
    if (mContext.Now() < aJob->mRetryAfter || mContext.IsShuttingDown()) {
      return;
    }
    const config::JobKind* kind = FindKind(record);
    if (!kind) {
      RefuseOrCancel(aJob, "the job kind is not in the configuration any more");
    } else if (mOwnership.State().IsOutOfService()) {
      RelocateJob(aJob);
    } else if (kind->mDeadline > base::Duration{} &&
               mContext.Now() - aJob->mWaitingSince > kind->mDeadline) {
      RefuseOrCancel(aJob,
                     "the request could not be started within its deadline");
    } else if (!CanStart()) {
      return;
    } else if (mContext.Now() - aJob->mWaitingSince >
                 kUnplaceableRelocationDelay &&
               (CanNeverRun(*kind) || (HasLostHalfOf(*kind) && !aJob->mRunner &&
                                       aJob->mPlacements.empty() &&
                                       mContext.Now() - aJob->mWaitingSince >
                                         kWaitingRelocationDelay))) {
      aJob->mWaitingSince = mContext.Now();
      RelocateJob(aJob);
    } else if (kind->mAcceleratorsPerTask == 0) {
      std::vector<base::ServerId> excluded = record.mFailedServers;
      if (!kind->mIdempotent) {
        // A probe may fail, and only idempotent requests can be retried then.
        excluded.insert(
          excluded.end(), mEjectedServers.begin(), mEjectedServers.end());
      }
      auto placements = mSlots.Place(record.mRequest, kind->mTasks, excluded);
      if (placements) {
        Start(aJob, std::move(*placements));
      }
    } else if (!aJob->mPlacements.empty() && aJob->mPendingVictims.empty()) {
      Start(aJob, std::exchange(aJob->mPlacements, {}));
    }
  }

  // Returns true if at most half of the configured servers, or of the places
  // for an adjacent gang of this kind, may get new work: one lost server can
  // take away a place of several. Waiting jobs are then likely to start sooner
  // in another data centre.
  bool HasLostHalfOf(const config::JobKind& aKind) const
  {
    if (mAccelerators.HasLostHalfOfPlaces(aKind)) {
      return true;
    }
    const config::DataCentre* dataCentre =
      mContext.mConfig->FindDataCentre(mOwnership.Name());
    return dataCentre && 2 * mUsableServers <=
                           dataCentre->mRacks * dataCentre->mServersPerRack;
  }

  // Returns true if the servers in service could not run the kind even if all
  // of them were free.
  bool CanNeverRun(const config::JobKind& aKind) const
  {
    return aKind.Accelerators() == 0 ? !mSlots.HasServers()
                                     : !mAccelerators.CouldFit(aKind);
  }

  // Stores the request as refused if no attempt can have run, and as cancelled
  // otherwise.
  void RefuseOrCancel(const JobPtr& aJob, const std::string& aReason)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    if (record.mMayHaveRun) {
      WriteRecord(aJob, ledger::Cancel(record, aReason));
      return;
    }
    CompleteWithoutStart(aJob, ledger::Refuse(record, aReason));
  }

  // Responds that the request did not run, after that state has been stored.
  void CompleteWithoutStart(const JobPtr& aJob,
                            const base::Expected<ledger::Record>& aTerminal)
  {
    if (!mContext.mOptions.mMechanisms.mPersistRefusals && aTerminal) {
      RespondToWaiters(
        *aJob, platform::RequestProgress{ true, ledger::Encode(*aTerminal) });
      return;
    }
    WriteRecord(aJob, aTerminal);
  }

  void TryAdopt(const JobPtr& aJob)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    // Until the servers are fenced, delayed messages of the previous owner can
    // still start tasks. A server that is no longer listed cannot be fenced;
    // polling it fails, and the attempt counts as lost.
    for (const ledger::TaskPlacement& taskPlacement :
         record.mAttempt->mPlacements) {
      if (mContext.mMembers.Find(taskPlacement.mServer.mId.Value()) &&
          !mOwnership.IsFenced(taskPlacement.mServer.mId)) {
        return;
      }
    }
    MakeRunner(aJob)->Adopt();
  }

  // The caller of MakeRunner must hold the returned pointer while it calls the
  // runner, because the outcome may be reported synchronously and reset
  // aJob->mRunner.
  std::shared_ptr<AttemptRunner<P>> MakeRunner(const JobPtr& aJob)
  {
    aJob->mRunner = std::make_shared<AttemptRunner<P>>(
      mContext,
      aJob->mStored.mRecord,
      [this, generation = mGeneration](base::Epoch aEpoch) {
        return generation == mGeneration && mOwnership.MayStart(aEpoch);
      },
      [this, generation = mGeneration, aJob](const AttemptOutcome& aOutcome) {
        if (generation == mGeneration) {
          OnOutcome(aJob, aOutcome);
        }
      });
    return aJob->mRunner;
  }

  void Start(const JobPtr& aJob, std::vector<ledger::TaskPlacement> aPlacements)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    ledger::Attempt attempt{ base::AttemptId(mContext.UniqueId()),
                             mOwnership.State().HeldEpoch(),
                             std::move(aPlacements),
                             aJob->mWithinGuarantee };
    auto next = ledger::Start(record, std::move(attempt));
    if (!mContext.mOptions.mMechanisms.mPersistBeforeDispatch && next) {
      aJob->mStored.mRecord = *next;
      MakeRunner(aJob)->Launch();
      return;
    }
    WriteRecord(aJob, next, [this, aJob] {
      auto runner = MakeRunner(aJob);
      runner->Launch();
      if (aJob->mPreemptionAction && aJob->mRunner) {
        runner->Stop(*aJob->mPreemptionAction);
      }
    });
  }

  // --- Outcomes ----------------------------------------------------------

  void OnOutcome(const JobPtr& aJob, const AttemptOutcome& aOutcome)
  {
    aJob->mRunner.reset();
    aJob->mPreemptionAction.reset();
    ReleasePlacements(aJob->mStored.mRecord.mRequest);
    RecordServerResult(aOutcome);
    using Kind = AttemptOutcome::Kind;
    if (aJob->mCancelled && aOutcome.mKind != Kind::eFinished) {
      WriteRecord(
        aJob, ledger::Cancel(aJob->mStored.mRecord, "cancelled by the caller"));
      return;
    }
    switch (aOutcome.mKind) {
      case Kind::eFinished:
        StoreAnswer(aJob, aOutcome.mAnswer);
        return;
      case Kind::eNotRun:
        RequeueJob(aJob, aOutcome, true);
        return;
      case Kind::eStopped:
        RequeueJob(aJob, aOutcome, false);
        return;
      case Kind::eFailed:
        OnFailed(aJob, aOutcome);
        return;
      case Kind::eLost:
        ++mContext.mCounters.mAttemptsLost;
        OnUnknownOutcome(aJob, aOutcome);
        return;
    }
  }

  void RecordServerResult(const AttemptOutcome& aOutcome)
  {
    using Kind = AttemptOutcome::Kind;
    if (!aOutcome.mServer) {
      return;
    }
    if (aOutcome.mKind == Kind::eFinished) {
      mFailures.OnSuccess(*aOutcome.mServer);
    } else if (aOutcome.mKind != Kind::eStopped) {
      mFailures.OnFailure(*aOutcome.mServer, mContext.Now());
    }
  }

  bool IsIdempotent(const ledger::Record& aRecord) const
  {
    const config::JobKind* kind = FindKind(aRecord);
    return kind && kind->mIdempotent;
  }

  void OnFailed(const JobPtr& aJob, const AttemptOutcome& aOutcome)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    std::size_t failures = record.mFailedServers.size() + 1;
    bool attemptsLeft =
      failures < static_cast<std::size_t>(mContext.mOptions.mMaxAttempts);
    if (IsIdempotent(record) && attemptsLeft) {
      RequeueJob(aJob, aOutcome, false);
    } else {
      WriteRecord(aJob, ledger::Fail(record, aOutcome.mReason));
    }
  }

  void OnUnknownOutcome(const JobPtr& aJob, const AttemptOutcome& aOutcome)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    if (IsIdempotent(record)) {
      RequeueJob(aJob, aOutcome, false);
    } else if (!mContext.mOptions.mMechanisms.mNoRetryOnUnknownOutcome) {
      RequeueJob(aJob, aOutcome, true);
    } else {
      ++mContext.mCounters.mUnknownOutcomes;
      WriteRecord(aJob, ledger::MarkUnknown(record, aOutcome.mReason));
    }
  }

  void RequeueJob(const JobPtr& aJob,
                  const AttemptOutcome& aOutcome,
                  bool aCertainlyNotRun)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    ledger::Requeue requeue;
    requeue.mCertainlyNotRun = aCertainlyNotRun;
    requeue.mIdempotent = IsIdempotent(record);
    requeue.mReason = aOutcome.mReason;
    // The server counts as failed for this job only if the task ran there; an
    // unreachable server is no evidence against the job.
    if (aOutcome.mKind == AttemptOutcome::Kind::eFailed) {
      requeue.mFailedServer = aOutcome.mServer;
    }
    aJob->mRetryAfter = mContext.Now() + kRequeueDelay;
    WriteRecord(aJob, ledger::Apply(record, requeue));
  }

  void StoreAnswer(const JobPtr& aJob, const std::string& aAnswer)
  {
    auto next = ledger::Finish(aJob->mStored.mRecord, aAnswer);
    if (!next || aAnswer.size() <= kMaxAnswerBytesInRow) {
      WriteRecord(aJob, next);
      return;
    }
    aJob->mWriting = true;
    mContext.mPorts.PutObject(
      aAnswer,
      [this, generation = mGeneration, aJob, aAnswer, next](
        const base::Expected<std::string>& aDigest) mutable {
        if (generation != mGeneration) {
          return;
        }
        if (!aDigest) {
          ++mContext.mCounters.mStoreFailures;
          mContext.mPorts.After(kStoreRetryDelay,
                                [this, aJob, aAnswer, generation] {
                                  if (generation == mGeneration) {
                                    StoreAnswer(aJob, aAnswer);
                                  }
                                });
          return;
        }
        next->mAnswer.clear();
        next->mAnswerInStore = true;
        WriteRecord(aJob, next);
      });
  }

  // --- Relocating --------------------------------------------------------

  void RelocateJob(const JobPtr& aJob)
  {
    if (!mChooseRelocationTarget) {
      return;
    }
    auto to = mChooseRelocationTarget(aJob->mStored.mRecord);
    if (!to) {
      return;
    }
    ++mContext.mCounters.mRelocatedRequests;
    base::RequestId request = aJob->mStored.mRecord.mRequest;
    WriteRecord(aJob,
                ledger::Relocate(aJob->mStored.mRecord, *to),
                [this, request, to = *to] { mOnRelocated(request, to); });
  }

  // --- Writing -----------------------------------------------------------

  // Stores aNext and then calls aThen. Drops the job if another writer has
  // changed the record.
  void WriteRecord(const JobPtr& aJob,
                   const base::Expected<ledger::Record>& aNext,
                   std::function<void()> aThen = {})
  {
    if (!aNext) {
      // The ledger forbids the transition; the record stays unchanged.
      aJob->mRetryAfter = mContext.Now() + mContext.mOptions.mRescanInterval;
      return;
    }
    aJob->mWriting = true;
    mStore.Replace(aJob->mStored,
                   *aNext,
                   MayWrite(),
                   [this, generation = mGeneration, aJob, aThen](
                     const base::Expected<StoredRecord>& aStored) {
                     if (generation == mGeneration) {
                       OnWritten(aJob, aStored, aThen);
                     }
                   });
  }

  void OnWritten(const JobPtr& aJob,
                 const base::Expected<StoredRecord>& aStored,
                 const std::function<void()>& aThen)
  {
    aJob->mWriting = false;
    if (!aStored) {
      base::RequestId request = aJob->mStored.mRecord.mRequest;
      Drop(aJob);
      // A late write of another owner has changed the record; its current state
      // is loaded again.
      if (mOwned) {
        LoadIfUnknown(request);
      }
      return;
    }
    aJob->mStored = *aStored;
    const ledger::Record& record = aJob->mStored.mRecord;
    if (record.IsTerminal()) {
      RespondToWaiters(
        *aJob, platform::RequestProgress{ true, ledger::Encode(record) });
      Drop(aJob);
    } else if (record.mDataCentre != mOwnership.Name()) {
      Drop(aJob);
    } else if (record.mState == ledger::RecordState::eAccepted) {
      ReleasePlacements(record.mRequest);
    }
    if (aThen) {
      aThen();
    }
    if (aJob->mCancelled && !record.IsTerminal()) {
      CancelRequest(record.mRequest);
    }
    RunSchedulingPass();
  }

  void Drop(const JobPtr& aJob)
  {
    ReleasePlacements(aJob->mStored.mRecord.mRequest);
    RespondToWaiters(*aJob,
                     base::MakeError(base::ErrorCode::eNotFound,
                                     "await request",
                                     mContext.mIdentity.mId.Value(),
                                     "the request is no longer open here"));
    mJobs.erase(aJob->mStored.mRecord.mRequest);
  }

  void RespondToWaiters(
    Job& aJob,
    const base::Expected<platform::RequestProgress>& aProgress)
  {
    auto waiters = std::exchange(aJob.mWaiters, {});
    for (auto& [id, done] : waiters) {
      done(aProgress);
    }
  }

  Context<P>& mContext;
  RecordStore<P>& mStore;
  DataCentreOwnership<P>& mOwnership;
  SlotTable mSlots;
  AcceleratorTable mAccelerators;
  dispatch::FailureTracker mFailures;
  std::map<base::RequestId, JobPtr> mJobs;
  std::function<std::optional<base::DataCentreId>(const ledger::Record&)>
    mChooseRelocationTarget;
  std::function<void(const base::RequestId&, const base::DataCentreId&)>
    mOnRelocated;
  // Servers that are ejected, including those that may get a probe now.
  std::vector<base::ServerId> mEjectedServers;
  int mUsableServers = 0;
  bool mOwned = false;
  bool mLoaded = false;
  bool mInSchedulingPass = false;
  // Incremented with each change of ownership, so that callbacks of an earlier
  // ownership are ignored.
  std::uint64_t mGeneration = 0;
  std::uint64_t mLastArrival = 0;
  std::uint64_t mLastWaiterId = 0;
  base::Time mNextRescan{};
};

} // namespace flamingoloom::control
