// The recorded requests of one owned data centre: loads them after a
// take-over, queues, places and starts them, and writes each change of state
// before acting on it. Not thread-safe.
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

  // aChoose names another data centre for a queued record; aOnMoved is called
  // after the record has moved there.
  void SetMover(
    std::function<std::optional<base::DataCentreId>(const ledger::Record&)>
      aChoose,
    std::function<void(const base::RequestId&, const base::DataCentreId&)>
      aOnMoved)
  {
    mChooseOther = std::move(aChoose);
    mOnMoved = std::move(aOnMoved);
  }

  // A new epoch is held: requests that other owners left are loaded.
  void OnEpoch()
  {
    if (!mOwned) {
      mOwned = true;
      ++mGeneration;
      OnConfigChange();
      Load();
    }
  }

  // The data centre has another owner, or none: everything is left as it is.
  void OnLost()
  {
    mOwned = false;
    mLoaded = false;
    ++mGeneration;
    for (auto& [request, job] : mJobs) {
      if (job->mRunner) {
        job->mRunner->Abandon();
      }
      Answer(*job,
             base::MakeError(base::ErrorCode::eUnavailable,
                             "await request",
                             mContext.mIdentity.mId.Value(),
                             "the data centre has another owner"));
    }
    mJobs.clear();
    mSlots.Clear();
    mAccelerators.Clear();
  }

  bool IsLoaded() const { return mOwned && mLoaded; }

  // A record may be new; reads it if it is not known.
  void Notice(const base::RequestId& aRequest)
  {
    if (!mOwned || mJobs.contains(aRequest)) {
      return;
    }
    mStore.Find(aRequest,
                [this, generation = mGeneration](
                  const base::Expected<std::optional<StoredRecord>>& aFound) {
                  if (generation == mGeneration && aFound && *aFound &&
                      Add(**aFound)) {
                    AdoptPlaces({ **aFound });
                    Pump();
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
      EndUnstarted(
        found->second,
        ledger::Cancel(job.mStored.mRecord, "cancelled by the caller"));
    }
  }

  // Answers when the record is terminal or after aWait.
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
    std::uint64_t id = ++mWaiterIds;
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

  // The configuration in force has changed.
  void OnConfigChange()
  {
    if (mOwned) {
      mAccelerators.Configure(*mContext.mConfig, mOwnership.Name());
    }
  }

  // Does what is due now.
  void Step()
  {
    if (!mOwned) {
      return;
    }
    if (mContext.Now() >= mNextScan) {
      Load();
    }
    Pump();
  }

  // No record is being written and no start is on its way, so that a new
  // owner finds each request as it is.
  bool IsQuiet() const
  {
    base::Time now = mContext.Now();
    return std::none_of(mJobs.begin(), mJobs.end(), [&](const auto& aEntry) {
      const Job& job = *aEntry.second;
      return job.mWriting ||
             (job.mRunner && now - job.mRunner->LaunchedAt() < kStartArrives);
    });
  }

  std::size_t OpenCount() const { return mJobs.size(); }

  const AcceleratorTable& Accelerators() const { return mAccelerators; }

  // Open records with the states that views show.
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
    base::Time mSince{};
    bool mWriting = false;
    bool mCancelled = false;
    // How it is to be stopped for a guarantee. Its start may still be being
    // written; then it is stopped as soon as it has been sent.
    std::optional<platform::TaskAction> mStopWith;
    // Not tried again before this time.
    base::Time mNotBefore{};
    // Placed, but these requests must give up their accelerators first.
    std::vector<ledger::TaskPlacement> mPlacements;
    bool mWithinGuarantee = false;
    std::set<base::RequestId> mWaitsFor;
    std::shared_ptr<AttemptRunner<P>> mRunner;
    std::map<std::uint64_t, platform::Done<platform::RequestProgress>> mWaiters;
  };
  using JobPtr = std::shared_ptr<Job>;

  static constexpr base::Duration kScanRetry = std::chrono::milliseconds(300);
  static constexpr base::Duration kRequeueDelay =
    std::chrono::milliseconds(300);
  // A start that was sent so long ago has reached its server or never will.
  static constexpr base::Duration kStartArrives = std::chrono::seconds(1);
  // A data centre without enough servers gets so long to get them back.
  static constexpr base::Duration kMoveAfter = std::chrono::seconds(5);
  static constexpr base::Duration kMoveWaitingAfter = std::chrono::seconds(10);
  static constexpr std::size_t kLargestAnswerInRow = 4096;

  // Recorded work is rare and long, so the first failure on a server keeps the
  // next try away from it for a while.
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
    mNextScan = mContext.Now() + mContext.mOptions.mRescanEvery;
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
          mNextScan = mContext.Now() + kScanRetry;
        }
      });
  }

  void AddLoaded(std::vector<StoredRecord> aOpened)
  {
    std::erase_if(
      aOpened, [this](const StoredRecord& aStored) { return !Add(aStored); });
    AdoptPlaces(aOpened);
    mLoaded = true;
    Pump();
  }

  // Whether the record is open, of this data centre and new.
  bool Add(const StoredRecord& aStored)
  {
    const ledger::Record& record = aStored.mRecord;
    if (record.IsTerminal() || record.mDataCentre != mOwnership.Name() ||
        mJobs.contains(record.mRequest)) {
      return false;
    }
    auto job = std::make_shared<Job>();
    job->mStored = aStored;
    job->mArrival = ++mArrivals;
    job->mSince = mContext.Now();
    mJobs[record.mRequest] = job;
    return true;
  }

  // Counts what running attempts hold. Their servers must be known before.
  void AdoptPlaces(const std::vector<StoredRecord>& aStored)
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

  void ReleasePlaces(const base::RequestId& aRequest)
  {
    mSlots.Finish(aRequest);
    mAccelerators.Finish(aRequest);
    auto job = mJobs.find(aRequest);
    if (job != mJobs.end()) {
      job->second->mPlacements.clear();
      job->second->mWaitsFor.clear();
    }
    for (auto& [request, waiting] : mJobs) {
      waiting->mWaitsFor.erase(aRequest);
    }
  }

  // --- Starting ----------------------------------------------------------

  void Pump()
  {
    if (!mLoaded || !mContext.mConfig || mPumping) {
      return;
    }
    mPumping = true;
    SetServers();
    std::vector<JobPtr> jobs = InOrder();
    for (const JobPtr& job : jobs) {
      StepJob(job);
    }
    PlaceGangs(jobs);
    mPumping = false;
  }

  // Servers that fail everything get a try now and then.
  void SetServers()
  {
    std::vector<platform::Member> usable = mOwnership.StartableServers();
    mProbed.clear();
    std::erase_if(usable, [this](const platform::Member& aServer) {
      base::ServerId id(aServer.mId);
      if (!mFailures.IsEjected(id)) {
        return false;
      }
      mProbed.push_back(id);
      return !mFailures.MayProbe(id, mContext.Now());
    });
    mUsableServers = static_cast<int>(usable.size());
    mSlots.SetServers(usable);
    mAccelerators.SetServers(mContext.mMembers.ListedServers(mOwnership.Name()),
                             usable);
  }

  bool CanStart()
  {
    return !mContext.IsLeaving() &&
           mOwnership.MayStart(mOwnership.State().HeldEpoch());
  }

  // Decides about all waiting jobs that need accelerators together, so that a
  // large gang can be given a reservation.
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
           mContext.Now() >= aJob.mNotBefore;
  }

  void OnPlaced(PlacedJob& aPlaced)
  {
    JobPtr job = mJobs.at(aPlaced.mRequest);
    job->mPlacements = std::move(aPlaced.mPlacements);
    job->mWithinGuarantee = aPlaced.mWithinGuarantee;
    for (const placement::Preemption& victim : aPlaced.mPreempted) {
      Preempt(job, victim);
    }
    if (job->mWaitsFor.empty()) {
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
      // It holds places, but nothing of it has been written or sent.
      job.mPlacements.clear();
      job.mWaitsFor.clear();
      mAccelerators.Finish(aVictim.mRequest);
      return;
    }
    aFor->mWaitsFor.insert(aVictim.mRequest);
    job.mStopWith = aVictim.mMethod == placement::PreemptionMethod::eCheckpoint
                      ? platform::TaskAction::eCheckpoint
                      : platform::TaskAction::eStop;
    if (job.mRunner) {
      job.mRunner->Stop(*job.mStopWith);
    }
  }

  // Urgent kinds first, then by arrival.
  std::vector<JobPtr> InOrder() const
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

  void StepJob(const JobPtr& aJob)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    if (record.mState == ledger::RecordState::eStarting) {
      TryAdopt(aJob);
      return;
    }
    if (mContext.Now() < aJob->mNotBefore || mContext.IsLeaving()) {
      return;
    }
    const config::JobKind* kind = FindKind(record);
    if (!kind) {
      EndWithoutRun(aJob, "the job kind no longer exists");
    } else if (mOwnership.State().IsOutOfService()) {
      MoveAway(aJob);
    } else if (kind->mDeadline > base::Duration{} &&
               mContext.Now() - aJob->mSince > kind->mDeadline) {
      EndWithoutRun(aJob, "could not be started within its deadline");
    } else if (!CanStart()) {
      return;
    } else if (mContext.Now() - aJob->mSince > kMoveAfter &&
               (IsTooSmall(*kind) ||
                (IsHalfLost() && !aJob->mRunner && aJob->mPlacements.empty() &&
                 mContext.Now() - aJob->mSince > kMoveWaitingAfter))) {
      aJob->mSince = mContext.Now();
      MoveAway(aJob);
    } else if (kind->mAcceleratorsPerTask == 0) {
      std::vector<base::ServerId> avoid = record.mFailedServers;
      if (!kind->mIdempotent) {
        // A probe must have another try left.
        avoid.insert(avoid.end(), mProbed.begin(), mProbed.end());
      }
      auto places = mSlots.Place(record.mRequest, kind->mTasks, avoid);
      if (places) {
        Start(aJob, std::move(*places));
      }
    } else if (!aJob->mPlacements.empty() && aJob->mWaitsFor.empty()) {
      Start(aJob, std::exchange(aJob->mPlacements, {}));
    }
  }

  // At most half of the configured servers get new work, so that what waits
  // here is better off elsewhere.
  bool IsHalfLost() const
  {
    const config::DataCentre* centre =
      mContext.mConfig->FindDataCentre(mOwnership.Name());
    return centre &&
           2 * mUsableServers <= centre->mRacks * centre->mServersPerRack;
  }

  // The servers in service could not run the kind even if all were free.
  bool IsTooSmall(const config::JobKind& aKind) const
  {
    return aKind.Accelerators() == 0 ? !mSlots.HasServers()
                                     : !mAccelerators.CouldFit(aKind);
  }

  // Refused when it never ran, else failed: it may have run before.
  void EndWithoutRun(const JobPtr& aJob, const std::string& aReason)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    if (record.mMayHaveRun) {
      Change(aJob, ledger::Cancel(record, aReason));
      return;
    }
    EndUnstarted(aJob, ledger::Refuse(record, aReason));
  }

  // The caller is told that the request did not run once that is written.
  void EndUnstarted(const JobPtr& aJob,
                    const base::Expected<ledger::Record>& aEnded)
  {
    if (!mContext.mOptions.mMechanisms.mPersistRefusals && aEnded) {
      Answer(*aJob, platform::RequestProgress{ true, ledger::Encode(*aEnded) });
      return;
    }
    Change(aJob, aEnded);
  }

  void TryAdopt(const JobPtr& aJob)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    // Until the servers are fenced, messages of the former owner can still
    // start tasks. A server that is listed no more cannot be fenced; asking it
    // fails, and the attempt counts as lost.
    for (const ledger::TaskPlacement& place : record.mAttempt->mPlacements) {
      if (mContext.mMembers.Find(place.mServer.mId.Value()) &&
          !mOwnership.IsFenced(place.mServer.mId)) {
        return;
      }
    }
    MakeRunner(aJob)->Adopt();
  }

  // The caller keeps the runner while it calls it: its outcome may come at
  // once and end the job's own hold on it.
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
    Change(aJob, next, [this, aJob] {
      auto runner = MakeRunner(aJob);
      runner->Launch();
      if (aJob->mStopWith && aJob->mRunner) {
        runner->Stop(*aJob->mStopWith);
      }
    });
  }

  // --- Ending ------------------------------------------------------------

  void OnOutcome(const JobPtr& aJob, const AttemptOutcome& aOutcome)
  {
    aJob->mRunner.reset();
    aJob->mStopWith.reset();
    ReleasePlaces(aJob->mStored.mRecord.mRequest);
    NoteEvidence(aOutcome);
    using Kind = AttemptOutcome::Kind;
    if (aJob->mCancelled && aOutcome.mKind != Kind::eFinished) {
      Change(aJob,
             ledger::Cancel(aJob->mStored.mRecord, "cancelled by the caller"));
      return;
    }
    switch (aOutcome.mKind) {
      case Kind::eFinished:
        StoreAnswer(aJob, aOutcome.mAnswer);
        return;
      case Kind::eNotRun:
        Repeat(aJob, aOutcome, true);
        return;
      case Kind::eStopped:
        Repeat(aJob, aOutcome, false);
        return;
      case Kind::eFailed:
        OnFailed(aJob, aOutcome);
        return;
      case Kind::eLost:
        ++mContext.mCounters.mAttemptsLost;
        OnUncertain(aJob, aOutcome);
        return;
    }
  }

  void NoteEvidence(const AttemptOutcome& aOutcome)
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
    bool triesLeft =
      failures < static_cast<std::size_t>(mContext.mOptions.mMostAttempts);
    if (IsIdempotent(record) && triesLeft) {
      Repeat(aJob, aOutcome, false);
    } else {
      Change(aJob, ledger::Fail(record, aOutcome.mReason));
    }
  }

  void OnUncertain(const JobPtr& aJob, const AttemptOutcome& aOutcome)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    if (IsIdempotent(record)) {
      Repeat(aJob, aOutcome, false);
    } else if (!mContext.mOptions.mMechanisms.mNoRetryOnUnknownOutcome) {
      Repeat(aJob, aOutcome, true);
    } else {
      ++mContext.mCounters.mUnknownOutcomes;
      Change(aJob, ledger::MarkUnknown(record, aOutcome.mReason));
    }
  }

  void Repeat(const JobPtr& aJob,
              const AttemptOutcome& aOutcome,
              bool aCertainlyNotRun)
  {
    const ledger::Record& record = aJob->mStored.mRecord;
    ledger::Requeue requeue;
    requeue.mCertainlyNotRun = aCertainlyNotRun;
    requeue.mIdempotent = IsIdempotent(record);
    requeue.mReason = aOutcome.mReason;
    // A server that was never reached has not failed the job, so only a task
    // that ran counts against the job.
    if (aOutcome.mKind == AttemptOutcome::Kind::eFailed) {
      requeue.mFailedServer = aOutcome.mServer;
    }
    aJob->mNotBefore = mContext.Now() + kRequeueDelay;
    Change(aJob, ledger::Apply(record, requeue));
  }

  void StoreAnswer(const JobPtr& aJob, const std::string& aAnswer)
  {
    auto next = ledger::Finish(aJob->mStored.mRecord, aAnswer);
    if (!next || aAnswer.size() <= kLargestAnswerInRow) {
      Change(aJob, next);
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
          mContext.mPorts.After(kScanRetry, [this, aJob, aAnswer, generation] {
            if (generation == mGeneration) {
              StoreAnswer(aJob, aAnswer);
            }
          });
          return;
        }
        next->mAnswer.clear();
        next->mAnswerInStore = true;
        Change(aJob, next);
      });
  }

  // --- Moving ------------------------------------------------------------

  void MoveAway(const JobPtr& aJob)
  {
    if (!mChooseOther) {
      return;
    }
    auto to = mChooseOther(aJob->mStored.mRecord);
    if (!to) {
      return;
    }
    ++mContext.mCounters.mRelocatedRequests;
    base::RequestId request = aJob->mStored.mRecord.mRequest;
    Change(aJob,
           ledger::Relocate(aJob->mStored.mRecord, *to),
           [this, request, to = *to] { mOnMoved(request, to); });
  }

  // --- Writing -----------------------------------------------------------

  // Writes aNext and continues with aThen, or drops the job when another
  // writer has changed it.
  void Change(const JobPtr& aJob,
              const base::Expected<ledger::Record>& aNext,
              std::function<void()> aThen = {})
  {
    if (!aNext) {
      // A transition that the ledger forbids; the record stays as it is.
      aJob->mNotBefore = mContext.Now() + mContext.mOptions.mRescanEvery;
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
      // Another owner's late write is taken as found.
      if (mOwned) {
        Notice(request);
      }
      return;
    }
    aJob->mStored = *aStored;
    const ledger::Record& record = aJob->mStored.mRecord;
    if (record.IsTerminal()) {
      Answer(*aJob, platform::RequestProgress{ true, ledger::Encode(record) });
      Drop(aJob);
    } else if (record.mDataCentre != mOwnership.Name()) {
      Drop(aJob);
    } else if (record.mState == ledger::RecordState::eAccepted) {
      ReleasePlaces(record.mRequest);
    }
    if (aThen) {
      aThen();
    }
    if (aJob->mCancelled && !record.IsTerminal()) {
      CancelRequest(record.mRequest);
    }
    Pump();
  }

  void Drop(const JobPtr& aJob)
  {
    ReleasePlaces(aJob->mStored.mRecord.mRequest);
    Answer(*aJob,
           base::MakeError(base::ErrorCode::eNotFound,
                           "await request",
                           mContext.mIdentity.mId.Value(),
                           "the request is no longer open here"));
    mJobs.erase(aJob->mStored.mRecord.mRequest);
  }

  void Answer(Job& aJob,
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
    mChooseOther;
  std::function<void(const base::RequestId&, const base::DataCentreId&)>
    mOnMoved;
  // Ejected servers, of which some may get probes now.
  std::vector<base::ServerId> mProbed;
  int mUsableServers = 0;
  bool mOwned = false;
  bool mLoaded = false;
  bool mPumping = false;
  // Rises with each change of ownership, so that callbacks of an earlier
  // ownership are ignored.
  std::uint64_t mGeneration = 0;
  std::uint64_t mArrivals = 0;
  std::uint64_t mWaiterIds = 0;
  base::Time mNextScan{};
};

} // namespace flamingoloom::control
