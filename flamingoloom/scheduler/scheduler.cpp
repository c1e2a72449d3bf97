#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

namespace flamingoloom::scheduler {

using base::ServerId;
using base::Time;
using jobs::JobState;

namespace {

// A check visits every running task. Reports of a server come every 2 s.
constexpr base::Duration kStragglerCheckInterval =
  std::chrono::milliseconds(200);
constexpr base::Duration kWaitingReportInterval = std::chrono::seconds(1);
// Steps that wait for less time are not logged: most wait for their start to be
// stored and sent.
constexpr base::Duration kMinLoggedWait = std::chrono::seconds(1);
// Bounds the lines of one report; the rest is counted.
constexpr std::size_t kMaxLoggedAccounts = 10;

} // namespace

Scheduler::Scheduler(SchedulerSettings aSettings, DecisionSink aSink)
  : mSettings(aSettings)
  , mSink(std::move(aSink))
  , mLimits(aSettings.mLimitTolerance)
  , mRates(aSettings.mRateWindow)
{
}

void Scheduler::Log(const char* aEvent,
                    const std::string& aJob,
                    std::vector<std::pair<const char*, std::string>> aFields)
{
  if (mSink) {
    mSink({ aEvent, aJob, std::move(aFields) });
  }
}

void Scheduler::AddJob(Time aNow, jobs::JobSpec aSpec)
{
  if (IsEndedJob(aSpec.mId)) {
    return;
  }
  const auto [entry, added] = mJobs.try_emplace(aSpec.mId);
  if (!added) {
    return;
  }
  entry->second = std::make_unique<Job>();
  Job& job = *entry->second;
  job.mSpec = std::move(aSpec);
  job.mMemory = admission::JobMemory(job.mSpec);
  mMemory.Add(MemoryClassOf(job), job.mMemory);
  job.mPayload =
    std::make_shared<const std::string>(std::exchange(job.mSpec.mPayload, {}));
  job.mAcceptedAt = aNow;
  job.mUnfinishedOccurrences = job.mSpec.OccurrenceCount();
  job.mBeyondRate = mRates.IsBeyond(job.mSpec.mAccount, job.mSpec.mAcceptedMs);
  mActiveJobs.emplace(job.mSpec.mId, &job);
  if (job.mSpec.mRules.mPriority == 0 && !job.mSpec.mSteps.empty()) {
    const auto& step = job.mSpec.mSteps.front();
    mUrgentDemand.Record(aNow, step.mTaskCount * step.mPerTask.mAccelerators);
  }
  job.mObjective = aNow +
                   std::chrono::duration_cast<base::Duration>(
                     job.mSpec.LongestChain() * job.mSpec.mRules.mStretch) +
                   job.mSpec.mRules.mTargetLatency;
  if (job.mSpec.mOccurrences == 0) {
    auto& occurrence =
      job.mOccurrences.emplace(0, MakeOccurrence(job, 0)).first->second;
    UpdateReady(aNow, occurrence);
  }
}

bool Scheduler::RestoreState(const std::string& aJob,
                             const jobs::StateRecord& aState)
{
  const auto entry = mJobs.find(aJob);
  if (entry == mJobs.end()) {
    return false;
  }
  Job& job = *entry->second;
  job.mState = aState.mState;
  job.mEndedAtStoreMs = aState.mEndedAtStoreMs;
  return true;
}

jobs::QueueLengths Scheduler::QueueLengths() const
{
  jobs::QueueLengths lengths;
  for (const auto& [id, job] : mActiveJobs) {
    if (job->mState == JobState::eQueued) {
      ++lengths[job->mSpec.mRules.mQueue];
    }
  }
  return lengths;
}

bool Scheduler::RestoreStep(const std::string& aJob,
                            const jobs::StepRecord& aStep,
                            const EarlierLeases& aLeases)
{
  const auto entry = mJobs.find(aJob);
  if (entry == mJobs.end() || aStep.mStep < 0 ||
      aStep.mStep >= static_cast<int>(entry->second->mSpec.mSteps.size())) {
    return false;
  }
  Job& job = *entry->second;
  auto occurrence = job.mOccurrences.find(aStep.mOccurrence);
  if (occurrence == job.mOccurrences.end()) {
    occurrence =
      job.mOccurrences
        .emplace(aStep.mOccurrence, MakeOccurrence(job, aStep.mOccurrence))
        .first;
  }
  StepState& step =
    *occurrence->second.mSteps[static_cast<std::size_t>(aStep.mStep)];
  scheduler::RestoreStep(step, aStep);
  for (std::size_t i = 0; i < step.mTasks.size(); ++i) {
    const Task& task = step.mTasks[i];
    if (task.mPhase != TaskPhase::eUnresolved) {
      continue;
    }
    ServerState& server =
      mFleet.FindOrAdd(task.mServer, aLeases.ExpireBy(task.mServer));
    server.mAttempts.insert(
      { step.Name(static_cast<int>(i)), task.mAttemptNumber });
    server.mUsed += step.Spec().Footprint();
    CountAttempt(step);
  }
  return true;
}

void Scheduler::Resume(Time aNow)
{
  RecordRates();
  for (auto& [id, job] : mJobs) {
    if (job->IsFinal()) {
      mActiveJobs.erase(id);
    }
    for (auto& [number, occurrence] : job->mOccurrences) {
      occurrence.mUnfinishedSteps = 0;
      for (auto& step : occurrence.mSteps) {
        occurrence.mUnfinishedSteps += step->mUnfinishedTasks > 0 ? 1 : 0;
        const bool mixed =
          step->mWaitingTasks > 0 &&
          step->mWaitingTasks < static_cast<int>(step->mTasks.size());
        if (step->Spec().mGang && step->mUnfinishedTasks > 0 && mixed) {
          AbortGang(*step);
        }
      }
      if (occurrence.mUnfinishedSteps == 0) {
        --job->mUnfinishedOccurrences;
      }
      UpdateReady(aNow, occurrence);
    }
    if (job->IsFinal()) {
      StopAll(*job, "job is final");
    } else if (HasFailedForGood(*job)) {
      // The leader before ended between storing the failure and the state.
      FailJob(*job);
    } else if (job->mUnfinishedOccurrences == 0) {
      SetState(*job, JobState::eCompleted);
    }
  }
}

bool Scheduler::HasFailedForGood(const Job& aJob)
{
  const int limit = std::max(1, aJob.mSpec.mRules.mMaxAttempts);
  for (const auto& [number, occurrence] : aJob.mOccurrences) {
    for (const auto& step : occurrence.mSteps) {
      if (step->Spec().mLongRunning || step->mUnfinishedTasks == 0) {
        continue;
      }
      const bool taskFailed = std::any_of(
        step->mTasks.begin(), step->mTasks.end(), [limit](const Task& aTask) {
          return aTask.mPhase != TaskPhase::eDone && aTask.mFailures >= limit;
        });
      if (step->Spec().mGang ? step->mGangFailures >= limit : taskFailed) {
        return true;
      }
    }
  }
  return false;
}

bool Scheduler::Cancel(const std::string& aJob)
{
  const auto ended = mEndedJobs.find(aJob);
  if (ended != mEndedJobs.end()) {
    ended->second.mCancelled = true;
    return true;
  }
  const auto entry = mJobs.find(aJob);
  if (entry == mJobs.end()) {
    return false;
  }
  Job& job = *entry->second;
  job.mCancelled = true;
  if (job.IsFinal()) {
    return true;
  }
  Log("job_cancelled", aJob);
  SetState(job, JobState::eCancelled);
  StopAll(job, "cancelled");
  return true;
}

void Scheduler::StopAll(Job& aJob, const char* aReason)
{
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (auto& step : occurrence.mSteps) {
      step->mPlan.clear();
      for (std::size_t i = 0; i < step->mTasks.size(); ++i) {
        if (IsPlaced(step->mTasks[i].mPhase)) {
          RequestStop(*step, static_cast<int>(i), aReason);
        }
      }
    }
  }
}

void Scheduler::SetState(Job& aJob, JobState aState)
{
  if (aJob.mState == aState) {
    return;
  }
  Log("job_state",
      aJob.mSpec.mId,
      { { "from", jobs::JobStateName(aJob.mState) },
        { "to", jobs::JobStateName(aState) } });
  aJob.mState = aState;
  if (aJob.IsFinal()) {
    mActiveJobs.erase(aJob.mSpec.mId);
  }
  MarkDirty(aJob);
}

void Scheduler::MarkDirty(StepState& aStep)
{
  ++mChangeNumber;
  aStep.mDirty = true;
  mDirtySteps.insert(&aStep);
}

void Scheduler::MarkDirty(Job& aJob)
{
  ++mChangeNumber;
  aJob.mStateDirty = true;
  mDirtyJobs.insert(&aJob);
}

Task* Scheduler::FindTask(const jobs::TaskName& aName, StepState** aStep) const
{
  const auto job = mJobs.find(aName.mJob);
  if (job == mJobs.end()) {
    return nullptr;
  }
  const auto occurrence = job->second->mOccurrences.find(aName.mOccurrence);
  if (occurrence == job->second->mOccurrences.end() || aName.mStep < 0 ||
      aName.mStep >= static_cast<int>(occurrence->second.mSteps.size())) {
    return nullptr;
  }
  StepState& step =
    *occurrence->second.mSteps[static_cast<std::size_t>(aName.mStep)];
  if (aName.mIndex < 0 ||
      aName.mIndex >= static_cast<int>(step.mTasks.size())) {
    return nullptr;
  }
  *aStep = &step;
  return &step.mTasks[static_cast<std::size_t>(aName.mIndex)];
}

void Scheduler::FailJob(Job& aJob)
{
  SetState(aJob, JobState::eFailed);
  StopAll(aJob, "job failed");
}

// Servers
// ----------------------------------------------------------------------

std::vector<ServerId> Scheduler::UpdateServers(
  Time aNow,
  const std::vector<ServerInfo>& aListed,
  const EarlierLeases& aLeases)
{
  return mFleet.Update(aNow, aListed, aLeases);
}

void Scheduler::SetOutOfServiceDataCentres(
  std::set<base::DataCentreId> aDataCentres)
{
  mOutOfServiceDataCentres = std::move(aDataCentres);
}

std::int64_t Scheduler::AcknowledgedCompletions(const ServerId& aServer) const
{
  const ServerState* server = mFleet.Find(aServer);
  return server == nullptr ? 0 : server->mAcknowledgedThrough;
}

// Scheduling passes
// -----------------------------------------------------------------------

void Scheduler::UpdateReady(Time aNow, Occurrence& aOccurrence)
{
  for (auto& step : aOccurrence.mSteps) {
    if (step->mReady) {
      continue;
    }
    bool ready = true;
    for (const int dependency : step->Spec().mDependsOn) {
      ready = ready && aOccurrence.mSteps[static_cast<std::size_t>(dependency)]
                           ->mUnfinishedTasks == 0;
    }
    if (ready) {
      step->mReady = true;
      step->mReadyAt = aNow;
    }
  }
}

void Scheduler::CreateDueOccurrences(Time aNow, std::int64_t aUnixMs)
{
  for (auto& [id, job] : mActiveJobs) {
    const auto& spec = job->mSpec;
    if (spec.mOccurrences == 0) {
      continue;
    }
    for (int i = 0; i < spec.mOccurrences; ++i) {
      if (aUnixMs < spec.mFirstDueMs + i * spec.mIntervalMs) {
        break;
      }
      if (job->mOccurrences.count(i) == 0) {
        auto& occurrence =
          job->mOccurrences.emplace(i, MakeOccurrence(*job, i)).first->second;
        UpdateReady(aNow, occurrence);
        Log("occurrence_due", id, { { "occurrence", std::to_string(i) } });
      }
    }
  }
}

std::optional<std::int64_t> Scheduler::MillisecondsToNextDue(
  std::int64_t aUnixMs) const
{
  std::optional<std::int64_t> next;
  for (const auto& [id, job] : mActiveJobs) {
    const auto& spec = job->mSpec;
    if (spec.mOccurrences == 0) {
      continue;
    }
    const auto created =
      job->mOccurrences.empty() ? 0 : job->mOccurrences.rbegin()->first + 1;
    if (created < spec.mOccurrences) {
      const auto due = spec.mFirstDueMs + created * spec.mIntervalMs;
      const auto wait = std::max<std::int64_t>(0, due - aUnixMs);
      next = next ? std::min(*next, wait) : wait;
    }
  }
  return next;
}

void Scheduler::ReportWaiting(Time aNow)
{
  if (aNow - mWaitingReportedAt < kWaitingReportInterval) {
    return;
  }
  mWaitingReportedAt = aNow;
  const WaitingReport report(
    mFleet, mOutOfServiceDataCentres, mActiveJobs, aNow);
  mSummary = report.Summary();
  auto accounts = report.Accounts();
  std::erase_if(accounts, [](const WaitingAccountReport& aAccount) {
    return aAccount.mLongest.mWaited < kMinLoggedWait;
  });
  if (accounts.empty()) {
    return;
  }
  std::sort(accounts.begin(),
            accounts.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.mLongest.mWaited > aRight.mLongest.mWaited;
            });
  Log("fleet",
      "",
      { { "servers", std::to_string(mSummary.mServers) },
        { "usable", std::to_string(mSummary.mUsable) },
        { "quarantined", std::to_string(mSummary.mQuarantined) },
        { "silent", std::to_string(mSummary.mSilent) },
        { "unfenced", std::to_string(mSummary.mUnfenced) },
        { "draining", std::to_string(mSummary.mDraining) },
        { "out_of_service", std::to_string(mSummary.mOutOfService) },
        { "accelerators", std::to_string(mSummary.mUsableAccelerators) },
        { "free", std::to_string(mSummary.mFreeAccelerators) },
        { "planned", std::to_string(mSummary.mPlannedAccelerators) },
        { "waiting_accounts", std::to_string(accounts.size()) } });
  accounts.resize(std::min(accounts.size(), kMaxLoggedAccounts));
  for (const auto& account : accounts) {
    LogWaiting(account);
  }
}

void Scheduler::LogWaiting(const WaitingAccountReport& aAccount)
{
  const auto& longest = aAccount.mLongest;
  const StepState& step = *longest.mStep;
  std::string reasons;
  for (const auto& [reason, steps] : aAccount.mSteps) {
    reasons += reasons.empty() ? "" : ",";
    reasons += WaitReasonName(reason);
    reasons += ':';
    reasons += std::to_string(steps);
  }
  int attempts = 0;
  for (const Task& task : step.mTasks) {
    attempts = std::max(attempts, task.mAttemptNumber);
  }
  Log("waiting",
      step.mJob->mSpec.mId,
      { { "account", aAccount.mAccount.Value() },
        { "steps", reasons },
        { "step",
          std::to_string(step.mOccurrence) + "." + std::to_string(step.mStep) },
        { "priority", std::to_string(step.mJob->mSpec.mRules.mPriority) },
        { "waited_ms", std::to_string(base::ToMilliseconds(longest.mWaited)) },
        { "reason", WaitReasonName(longest.mReason) },
        { "tasks", std::to_string(step.mWaitingTasks) },
        { "gang", step.Spec().mGang ? "1" : "0" },
        { "attempts", std::to_string(attempts) },
        { "near", std::to_string(longest.mRoom.mNear) },
        { "free", std::to_string(longest.mRoom.mFree) },
        { "unplanned", std::to_string(longest.mRoom.mUnplanned) },
        { "quarantined", std::to_string(longest.mRoom.mQuarantined) },
        { "unusable", std::to_string(longest.mRoom.mUnusable) } });
}

void Scheduler::Schedule(Time aNow, std::int64_t aUnixMs)
{
  RequeueFromLostServers(aNow);
  if (aNow - mStragglersCheckedAt >= kStragglerCheckInterval) {
    mStragglersCheckedAt = aNow;
    MigrateStragglers(aNow);
  }
  MigrateFromDrainingServers(aNow);
  CreateDueOccurrences(aNow, aUnixMs);
  ReportWaiting(aNow);
  mAtMaximum.clear();
  mFirstHeld.clear();
  const auto waitingSteps = WaitingStepsInOrder(aNow);
  if (waitingSteps.empty()) {
    LogAccountsAtMaximum();
    return;
  }
  Placement placement(mFleet, mOutOfServiceDataCentres, aNow);
  placement.KeepForUrgentWork(mUrgentDemand.ExpectedAccelerators(aNow));
  // Capacity that is being freed by preemption for one step is not given to
  // others, not even to more urgent ones, which preempt work of their own.
  // Capacity that is only reserved may be used by more urgent steps.
  mReservationSearches = 0;
  for (const WaitingStep& waitingStep : waitingSteps) {
    if (!waitingStep.mStep->mPlan.empty() &&
        !waitingStep.mStep->mPlanIsReservation) {
      ReservePlannedCapacity(aNow, *waitingStep.mStep, placement);
    }
  }
  for (const WaitingStep& waitingStep : waitingSteps) {
    PlaceStep(aNow, waitingStep, placement);
  }
  LogAccountsAtMaximum();
}

} // namespace flamingoloom::scheduler
