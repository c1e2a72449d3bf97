// The scheduling pass: the order of the waiting steps, their placement,
// reservations and preemption.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>
#include <tuple>

namespace flamingoloom::scheduler {

using base::Time;

namespace {

// A plan is abandoned if the preempted tasks have not freed its capacity within
// this time.
constexpr base::Duration kPlanTimeout = std::chrono::milliseconds(2500);
// A reservation is abandoned this long after its capacity was expected to be
// free.
constexpr base::Duration kReservationSlack = std::chrono::milliseconds(1500);
constexpr base::Duration kReservationSearchInterval =
  std::chrono::milliseconds(250);
// Limited because a search visits every rack for each horizon.
constexpr int kMaxReservationSearchesPerPass = 3;
// After this time a guaranteed job may use any rack and preempt accounts that
// exceed their guarantee. Stopping tasks takes up to a second, and the
// platform's limits for reclaiming a guarantee start at 2.7 s.
constexpr base::Duration kReclaimAnywhereDelay = std::chrono::milliseconds(500);
// Work that is lost by preempting a task in spite of its checkpoints: the
// restart elsewhere takes some tenths of a second on the platform.
constexpr double kCheckpointLossSeconds = 0.5;
// Preempt work of the same priority only if the alternatives lose much more
// work.
constexpr double kSamePriorityCostFactor = 4.0;
// Interval between searches for victims for one step. A search visits every
// attempt on every server.
constexpr base::Duration kVictimSearchInterval = std::chrono::milliseconds(150);
constexpr base::Duration kLocalFitCheckInterval =
  std::chrono::milliseconds(1000);
// A task takes a multiple of its run time away from its data. In most cases it
// is faster to wait up to this long for capacity in the right rack.
constexpr base::Duration kMaxLocalWait = std::chrono::milliseconds(1500);
// Work must not stand beside plenty of idle capacity for 3 s. Storing and
// starting it takes the rest.
constexpr base::Duration kMaxWaitBesideIdleCapacity =
  std::chrono::milliseconds(2000);

// Returns the weighted core-seconds that the waiting tasks need.
double RemainingWork(const StepState& aStep)
{
  return aStep.Spec().mPerTask.WeightedCores() * aStep.mWaitingTasks *
         std::chrono::duration<double>(aStep.Spec().mEstimate).count();
}

// Whether a long-running task waits that was started before: it is down until
// it runs again.
bool IsServiceDown(const StepState& aStep)
{
  return aStep.Spec().mLongRunning &&
         std::any_of(
           aStep.mTasks.begin(), aStep.mTasks.end(), [](const Task& aTask) {
             return aTask.mPhase == TaskPhase::eWaiting &&
                    aTask.mAttemptNumber > 0;
           });
}

} // namespace

std::vector<Scheduler::WaitingStep> Scheduler::WaitingStepsInOrder(Time aNow)
{
  // Accelerators that are in use by jobs of priority 0, by account.
  std::map<base::AccountId, std::int64_t> acceleratorsInUse;
  std::vector<WaitingStep> waitingSteps;
  for (auto& [id, job] : mActiveJobs) {
    for (auto& [number, occurrence] : job->mOccurrences) {
      for (auto& step : occurrence.mSteps) {
        if (!step->mReady || step->mUnfinishedTasks == 0) {
          continue;
        }
        if (job->mSpec.mRules.mPriority == 0) {
          acceleratorsInUse[job->mSpec.mAccount] +=
            step->Spec().mPerTask.mAccelerators *
            (step->mUnfinishedTasks - step->mWaitingTasks);
        }
        if (step->mWaitingTasks > 0 && !step->mGangAborting) {
          waitingSteps.push_back({ step.get(), false });
        }
      }
    }
  }
  mOverGuarantee.clear();
  for (const auto& [account, accelerators] : acceleratorsInUse) {
    if (accelerators > GuaranteedAccelerators(account)) {
      mOverGuarantee.insert(account);
    }
  }
  const auto overShare = AccountsOverShare();
  const auto key = [&](const WaitingStep& aWaitingStep) {
    const StepState& step = *aWaitingStep.mStep;
    const Job& job = *step.mJob;
    const auto timeliness = TimelinessOf(
      aNow, job.mAcceptedAt, job.mObjective, step.Spec().mEstimate);
    const bool tooLate = timeliness == Timeliness::eTooLate;
    const WaitingClaim claim{ !IsServiceDown(step),
                              job.mBeyondRate,
                              tooLate,
                              job.mSpec.mRules.mPriority,
                              overShare.count(job.mSpec.mAccount) > 0,
                              timeliness == Timeliness::eLate,
                              tooLate ? RemainingWork(step) : 0,
                              job.mObjective };
    return std::make_tuple(claim, step.mOccurrence, step.mStep);
  };
  std::sort(waitingSteps.begin(),
            waitingSteps.end(),
            [&key](const WaitingStep& aLeft, const WaitingStep& aRight) {
              return key(aLeft) < key(aRight);
            });
  // An account whose jobs need more than its guarantee keeps the guarantee: it
  // is given to the account's steps in their order.
  for (WaitingStep& waitingStep : waitingSteps) {
    const auto& spec = waitingStep.mStep->mJob->mSpec;
    if (spec.mRules.mPriority != 0) {
      continue;
    }
    auto& covered = acceleratorsInUse[spec.mAccount];
    const auto withStep =
      covered + waitingStep.mStep->Spec().mPerTask.mAccelerators *
                  waitingStep.mStep->mWaitingTasks;
    if (withStep <= GuaranteedAccelerators(spec.mAccount)) {
      covered = withStep;
      waitingStep.mGuaranteed = true;
    }
  }
  std::stable_partition(
    waitingSteps.begin(),
    waitingSteps.end(),
    [](const WaitingStep& aWaitingStep) { return aWaitingStep.mGuaranteed; });
  return waitingSteps;
}

bool Scheduler::MayPlaceRemotely(Time aNow,
                                 StepState& aStep,
                                 const std::vector<int>& aIndices,
                                 Placement& aPlacement)
{
  if (!aStep.WantsOneRack() ||
      !aPlacement.HasIdleCapacity(aStep, aIndices.size())) {
    aStep.mIdleElsewhereSince.reset();
  } else if (!aStep.mIdleElsewhereSince) {
    aStep.mIdleElsewhereSince = aNow;
  }
  if (aNow - aStep.mReadyAt < kMaxLocalWait) {
    return false;
  }
  const Job& job = *aStep.mJob;
  const auto remote = std::chrono::duration_cast<base::Duration>(
    aStep.Spec().mEstimate * mSettings.mRemoteSlowdown);
  if (aNow + remote <= job.mObjective ||
      aNow + aStep.Spec().mEstimate > job.mObjective) {
    return true;
  }
  if (!aStep.mIdleElsewhereSince) {
    return false;
  }
  const auto waitLeft =
    *aStep.mIdleElsewhereSince + kMaxWaitBesideIdleCapacity - aNow;
  return waitLeft.count() <= 0 ||
         !aPlacement.IsLocalCapacityExpected(
           aStep, aIndices, waitLeft, [&](const ServerState& aServer) {
             return ExpectedCompletions(aServer, aNow);
           });
}

void Scheduler::ReservePlannedCapacity(Time aNow,
                                       StepState& aStep,
                                       Placement& aPlacement)
{
  bool usable = aNow < aStep.mPlanExpiresAt;
  for (const auto& [index, server] : aStep.mPlan) {
    const bool waiting = aStep.mTasks[static_cast<std::size_t>(index)].mPhase ==
                         TaskPhase::eWaiting;
    usable = usable && waiting && aPlacement.IsUsableFor(aStep, server);
  }
  if (!usable) {
    aStep.mPlan.clear();
    return;
  }
  for (const auto& [index, server] : aStep.mPlan) {
    aPlacement.Deduct(server, aStep.Spec().Footprint());
  }
}

void Scheduler::ExecutePlan(Time aNow, StepState& aStep, Placement& aPlacement)
{
  if (aStep.mPlan.empty()) {
    return;
  }
  // The plan's capacity is deducted already. It is all free once the free
  // capacity of none of its servers is negative.
  for (const auto& [index, server] : aStep.mPlan) {
    if (!aPlacement.Fits(server, jobs::Resources{})) {
      return;
    }
  }
  if (!MayStartPlan(aNow, aStep)) {
    aStep.mPlan.clear();
    return;
  }
  aStep.mGangAttemptNumber += aStep.Spec().mGang ? 1 : 0;
  const auto plan = std::move(aStep.mPlan);
  aStep.mPlan.clear();
  for (const auto& [index, server] : plan) {
    Assign(aStep, index, server, aNow);
  }
}

void Scheduler::PlaceStep(Time aNow,
                          const WaitingStep& aWaitingStep,
                          Placement& aPlacement)
{
  StepState& step = *aWaitingStep.mStep;
  if (!step.mPlan.empty() && !step.mPlanIsReservation) {
    ExecutePlan(aNow, step, aPlacement);
    return;
  }
  auto indices = StartableTasks(aNow, step);
  // Capacity often becomes free without preemption, so wait half of the time
  // that a stop takes before preempting, which loses work.
  const bool mayPreempt = aWaitingStep.mGuaranteed &&
                          aNow - step.mReadyAt >= mSettings.mMaxStopTime / 2;
  if (step.mHeldByMaximum && mayPreempt) {
    PreemptOwnWork(aNow, step);
  }
  if (indices.empty()) {
    step.mPlan.clear();
    return;
  }
  // Whether the tasks could fit near their data depends only on the fleet,
  // which rarely changes.
  if (aNow - step.mLocalFitCheckedAt >= kLocalFitCheckInterval) {
    step.mLocalFitCheckedAt = aNow;
    step.mCouldFitLocally = aPlacement.CouldFitLocally(step, indices);
  }
  const bool reclaimAnywhere =
    aWaitingStep.mGuaranteed && aNow - step.mReadyAt >= kReclaimAnywhereDelay;
  const bool remote = MayPlaceRemotely(aNow, step, indices, aPlacement) ||
                      reclaimAnywhere || !step.mCouldFitLocally;
  Assignment assignment;
  if (step.Spec().mGang) {
    assignment =
      aPlacement.PlaceAll(step, indices, remote).value_or(Assignment{});
    step.mGangAttemptNumber += assignment.empty() ? 0 : 1;
  } else {
    assignment = aPlacement.PlaceSome(step, indices, remote);
  }
  for (const auto& [index, server] : assignment) {
    Assign(step, index, server, aNow);
  }
  indices = StartableTasks(aNow, step);
  if (indices.empty()) {
    step.mPlan.clear();
    step.mIdleElsewhereSince.reset();
    return;
  }
  if (!mayPreempt) {
    if (step.Spec().mGang || IsServiceDown(step)) {
      ReserveCapacity(aNow, step, indices, remote, aPlacement);
    }
    return;
  }
  if (aNow - step.mVictimsSearchedAt < kVictimSearchInterval) {
    return;
  }
  step.mVictimsSearchedAt = aNow;
  std::vector<Victim> victims;
  const auto withPreemption = aPlacement.PlaceWithPreemption(
    step,
    indices,
    remote,
    [&](const ServerState& aServer) {
      return VictimsOn(aServer, step, reclaimAnywhere, aNow);
    },
    victims);
  if (!withPreemption) {
    return;
  }
  step.mPlan = *withPreemption;
  step.mPlanIsReservation = false;
  step.mPlanExpiresAt = aNow + kPlanTimeout;
  Log("preempt",
      step.mJob->mSpec.mId,
      { { "tasks", std::to_string(indices.size()) },
        { "victims", std::to_string(victims.size()) } });
  for (const Victim& victim : victims) {
    RequestStop(*victim.mStep, victim.mIndex, "preempted");
  }
}

void Scheduler::ReserveCapacity(Time aNow,
                                StepState& aStep,
                                const std::vector<int>& aIndices,
                                bool aAllowRemote,
                                Placement& aPlacement)
{
  if (!aStep.mPlan.empty()) {
    ReservePlannedCapacity(aNow, aStep, aPlacement);
    ExecutePlan(aNow, aStep, aPlacement);
    return;
  }
  if (aNow - aStep.mReservationSearchedAt < kReservationSearchInterval ||
      mReservationSearches >= kMaxReservationSearchesPerPass) {
    return;
  }
  ++mReservationSearches;
  aStep.mReservationSearchedAt = aNow;
  base::Duration wait{ 0 };
  const auto assignment = aPlacement.PlaceOnExpectedCapacity(
    aStep,
    aIndices,
    aAllowRemote,
    [&](const ServerState& aServer) {
      return ExpectedCompletions(aServer, aNow);
    },
    wait);
  if (!assignment) {
    return;
  }
  aStep.mPlan = *assignment;
  aStep.mPlanIsReservation = true;
  aStep.mPlanExpiresAt = aNow + wait + kReservationSlack;
  Log("reserved",
      aStep.mJob->mSpec.mId,
      { { "tasks", std::to_string(aIndices.size()) },
        { "wait_ms", std::to_string(base::ToMilliseconds(wait)) } });
}

std::vector<ExpectedCompletion> Scheduler::ExpectedCompletions(
  const ServerState& aServer,
  Time aNow)
{
  std::vector<ExpectedCompletion> completions;
  for (const auto& attempt : aServer.mAttempts) {
    StepState* step = nullptr;
    const Task* task = FindTask(attempt.mTask, &step);
    if (task == nullptr || step->Spec().mLongRunning) {
      continue;
    }
    base::Duration timeLeft = task->mPlacedAt + step->Spec().mEstimate - aNow;
    if (task->mStopRequested) {
      timeLeft = mSettings.mMaxStopTime;
    } else if (const auto reported = task->TimeLeftAtReport()) {
      timeLeft = *reported - (aNow - task->mReportedAt);
    }
    completions.push_back({ timeLeft, step->Spec().Footprint() });
  }
  return completions;
}

double Scheduler::LostWork(Time aNow,
                           const jobs::StepSpec& aSpec,
                           const Task& aTask)
{
  const std::chrono::duration<double> age(aNow - aTask.mPlacedAt);
  return aSpec.mPerTask.WeightedCores() *
         (aSpec.mCheckpoints ? kCheckpointLossSeconds : age.count());
}

std::vector<Victim> Scheduler::VictimsOn(const ServerState& aServer,
                                         const StepState& aPreemptor,
                                         bool aIncludeOverGuarantee,
                                         Time aNow)
{
  std::vector<Victim> victims;
  for (const auto& attempt : aServer.mAttempts) {
    StepState* step = nullptr;
    const Task* task = FindTask(attempt.mTask, &step);
    if (task == nullptr || step->Spec().mLongRunning) {
      continue;
    }
    const auto& rules = step->mJob->mSpec.mRules;
    const bool lessUrgent =
      rules.mPriority > aPreemptor.mJob->mSpec.mRules.mPriority;
    const bool overGuarantee =
      aIncludeOverGuarantee &&
      mOverGuarantee.count(step->mJob->mSpec.mAccount) > 0;
    if (!lessUrgent && !overGuarantee) {
      continue;
    }
    if (task->mPhase != TaskPhase::eRunning &&
        task->mPhase != TaskPhase::eDispatching) {
      continue;
    }
    Victim victim{ step, attempt.mTask.mIndex, step->Spec().Footprint(), 0 };
    if (!task->mStopRequested) {
      const double members =
        step->Spec().mGang ? static_cast<double>(step->mTasks.size()) : 1.0;
      victim.mCost = members * LostWork(aNow, step->Spec(), *task);
    }
    victim.mCost *= lessUrgent ? 1.0 : kSamePriorityCostFactor;
    victims.push_back(victim);
  }
  return victims;
}

} // namespace flamingoloom::scheduler
