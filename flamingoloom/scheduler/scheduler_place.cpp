// One pass over the waiting steps: their order, places and reclaimed room.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>
#include <tuple>

namespace flamingoloom::scheduler {

using base::Time;

namespace {

// A plan whose victims have not made room by then is made anew.
constexpr base::Duration kPlanTimeout = std::chrono::milliseconds(2500);
// A reservation whose room is not free this long after it was expected is
// sought anew.
constexpr base::Duration kReservationSlack = std::chrono::milliseconds(1500);
constexpr base::Duration kSeekReservationEvery = std::chrono::milliseconds(250);
// A search visits every rack for each horizon.
constexpr int kReservationsPerPass = 3;
// From then on a guaranteed job takes room on any rack, and from accounts that
// use more than their guarantee: stopping work takes up to a second, and the
// platform's bound for reclaiming is 2.7 s and more.
constexpr base::Duration kReclaimAnywhereAfter = std::chrono::milliseconds(500);
// Work that a stop loses in spite of checkpoints: its restart elsewhere, some
// tenths of a second on the platform.
constexpr double kCheckpointLossSeconds = 0.5;
// Work of the same priority is stopped only if little else would do.
constexpr double kSamePriorityCost = 4.0;
// Between searches for other work to stop for the same step; a search visits
// every run on every server.
constexpr base::Duration kSeekVictimsEvery = std::chrono::milliseconds(150);
constexpr base::Duration kLocalCheckEvery = std::chrono::milliseconds(1000);
// Work away from its data takes a multiple of its time; waiting for the right
// rack this long is shorter in most cases.
constexpr base::Duration kLocalWait = std::chrono::milliseconds(1500);

std::vector<int> WaitingIndices(const StepRun& aStep)
{
  std::vector<int> indices;
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    if (aStep.mTasks[i].mPhase == TaskPhase::eWaiting) {
      indices.push_back(static_cast<int>(i));
    }
  }
  return indices;
}

} // namespace

std::vector<Scheduler::Group> Scheduler::OrderedGroups(Time aNow)
{
  // Accelerators that an account's jobs of priority 0 hold.
  std::map<base::AccountId, std::int64_t> held;
  std::vector<Group> groups;
  for (auto& [id, job] : mJobs) {
    if (job->IsFinal()) {
      continue;
    }
    for (auto& [number, occurrence] : job->mOccurrences) {
      for (auto& step : occurrence.mSteps) {
        if (!step->mReady || step->mUnfinished == 0) {
          continue;
        }
        if (job->mSpec.mRules.mPriority == 0) {
          held[job->mSpec.mAccount] += step->Spec().mPerTask.mAccelerators *
                                       (step->mUnfinished - step->mWaiting);
        }
        if (step->mWaiting > 0 && !step->mGangBreaking) {
          groups.push_back({ step.get(), false });
        }
      }
    }
  }
  mOverGuarantee.clear();
  for (const auto& [account, accelerators] : held) {
    if (accelerators > GuaranteeOf(account)) {
      mOverGuarantee.insert(account);
    }
  }
  const auto key = [aNow](const Group& aGroup) {
    const Job& job = *aGroup.mStep->mJob;
    // Jobs that can still be in time come first; after three times the
    // objective a job earns nothing any more.
    const auto worthless =
      job.mAcceptedAt + (job.mObjective - job.mAcceptedAt) * 3;
    const auto end = aNow + aGroup.mStep->Spec().mEstimate;
    const int lateness = end <= job.mObjective ? 0 : end <= worthless ? 1 : 2;
    return std::make_tuple(job.mSpec.mRules.mPriority,
                           lateness,
                           job.mObjective,
                           aGroup.mStep->mOccurrence,
                           aGroup.mStep->mStep);
  };
  std::sort(groups.begin(),
            groups.end(),
            [&key](const Group& aLeft, const Group& aRight) {
              return key(aLeft) < key(aRight);
            });
  // An account that asks for more than its guarantee has the guarantee still:
  // its jobs are covered in their order.
  for (Group& group : groups) {
    const auto& spec = group.mStep->mJob->mSpec;
    if (spec.mRules.mPriority != 0) {
      continue;
    }
    auto& covered = held[spec.mAccount];
    const auto more = covered + group.mStep->Spec().mPerTask.mAccelerators *
                                  group.mStep->mWaiting;
    if (more <= GuaranteeOf(spec.mAccount)) {
      covered = more;
      group.mGuaranteed = true;
    }
  }
  std::stable_partition(groups.begin(), groups.end(), [](const Group& aGroup) {
    return aGroup.mGuaranteed;
  });
  return groups;
}

std::int64_t Scheduler::GuaranteeOf(const base::AccountId& aAccount) const
{
  const auto guarantee = mGuarantees.find(aAccount);
  return guarantee == mGuarantees.end() ? -1 : guarantee->second;
}

bool Scheduler::MayGoRemote(Time aNow, const StepRun& aStep) const
{
  const Job& job = *aStep.mJob;
  const auto remote = std::chrono::duration_cast<base::Duration>(
    aStep.Spec().mEstimate * mSettings.mRemoteSlowdown);
  if (aNow - aStep.mReadyAt < kLocalWait) {
    return false;
  }
  return aNow + remote <= job.mObjective ||
         aNow + aStep.Spec().mEstimate > job.mObjective;
}

void Scheduler::HoldPlan(Time aNow, StepRun& aStep, Placement& aPlacement)
{
  bool usable = aNow < aStep.mPlanUntil;
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
    aPlacement.Take(server, aStep.Spec().Footprint());
  }
}

void Scheduler::FollowPlan(Time aNow, StepRun& aStep, Placement& aPlacement)
{
  if (aStep.mPlan.empty()) {
    return;
  }
  // The room is held already: it is there once no server is overdrawn.
  for (const auto& [index, server] : aStep.mPlan) {
    if (!aPlacement.Fits(server, jobs::Resources{})) {
      return;
    }
  }
  aStep.mGangAttemptNumber += aStep.Spec().mGang ? 1 : 0;
  const auto plan = std::move(aStep.mPlan);
  aStep.mPlan.clear();
  for (const auto& [index, server] : plan) {
    Intend(aStep, index, server, aNow);
  }
}

void Scheduler::PlaceGroup(Time aNow,
                           const Group& aGroup,
                           Placement& aPlacement)
{
  StepRun& step = *aGroup.mStep;
  if (!step.mPlan.empty() && !step.mPlanIsReservation) {
    FollowPlan(aNow, step, aPlacement);
    return;
  }
  auto indices = WaitingIndices(step);
  // Whether a place near the data exists at all changes only with the fleet.
  if (aNow - step.mLocalCheckedAt >= kLocalCheckEvery) {
    step.mLocalCheckedAt = aNow;
    step.mCouldStayLocal = aPlacement.CouldStayLocal(step, indices);
  }
  const bool reclaimNow =
    aGroup.mGuaranteed && aNow - step.mReadyAt >= kReclaimAnywhereAfter;
  const bool remote =
    reclaimNow || MayGoRemote(aNow, step) || !step.mCouldStayLocal;
  Assignment assignment;
  if (step.Spec().mGang) {
    assignment =
      aPlacement.PlaceAll(step, indices, remote).value_or(Assignment{});
    step.mGangAttemptNumber += assignment.empty() ? 0 : 1;
  } else {
    assignment = aPlacement.PlaceSome(step, indices, remote);
  }
  for (const auto& [index, server] : assignment) {
    Intend(step, index, server, aNow);
  }
  indices = WaitingIndices(step);
  if (indices.empty()) {
    step.mPlan.clear();
    return;
  }
  // Room often comes free by itself; half of a stop's time is waited for that
  // before a stop loses work.
  if (!aGroup.mGuaranteed ||
      aNow - step.mReadyAt < mSettings.mMaxStopTime / 2) {
    if (step.Spec().mGang) {
      Reserve(aNow, step, indices, remote, aPlacement);
    }
    return;
  }
  if (aNow - step.mVictimsSoughtAt < kSeekVictimsEvery) {
    return;
  }
  step.mVictimsSoughtAt = aNow;
  std::vector<Victim> victims;
  const auto over = aPlacement.PlaceOver(
    step,
    indices,
    remote,
    [&](const ServerState& aServer) {
      return VictimsOn(aServer, step, reclaimNow, aNow);
    },
    victims);
  if (!over) {
    return;
  }
  step.mPlan = *over;
  step.mPlanIsReservation = false;
  step.mPlanUntil = aNow + kPlanTimeout;
  Log("preempt",
      step.mJob->mSpec.mId,
      { { "tasks", std::to_string(indices.size()) },
        { "victims", std::to_string(victims.size()) } });
  for (const Victim& victim : victims) {
    WantStop(*victim.mStep, victim.mIndex, "preempted");
  }
}

void Scheduler::Reserve(Time aNow,
                        StepRun& aStep,
                        const std::vector<int>& aIndices,
                        bool aAllowRemote,
                        Placement& aPlacement)
{
  if (!aStep.mPlan.empty()) {
    HoldPlan(aNow, aStep, aPlacement);
    FollowPlan(aNow, aStep, aPlacement);
    return;
  }
  if (aNow - aStep.mReservationSoughtAt < kSeekReservationEvery ||
      mReservationsSought >= kReservationsPerPass) {
    return;
  }
  ++mReservationsSought;
  aStep.mReservationSoughtAt = aNow;
  base::Duration wait{ 0 };
  const auto assignment = aPlacement.PlaceSoon(
    aStep,
    aIndices,
    aAllowRemote,
    [&](const ServerState& aServer) { return ExpectedEnds(aServer, aNow); },
    wait);
  if (!assignment) {
    return;
  }
  aStep.mPlan = *assignment;
  aStep.mPlanIsReservation = true;
  aStep.mPlanUntil = aNow + wait + kReservationSlack;
  Log("reserved",
      aStep.mJob->mSpec.mId,
      { { "tasks", std::to_string(aIndices.size()) },
        { "wait_ms", std::to_string(base::ToMilliseconds(wait)) } });
}

std::vector<ExpectedEnd> Scheduler::ExpectedEnds(const ServerState& aServer,
                                                 Time aNow)
{
  std::vector<ExpectedEnd> ends;
  for (const auto& attempt : aServer.mAttempts) {
    StepRun* step = nullptr;
    const Task* task = FindTask(attempt.mTask, &step);
    if (task == nullptr || step->Spec().mLongRunning) {
      continue;
    }
    base::Duration left = task->mPlacedAt + step->Spec().mEstimate - aNow;
    if (task->mStopWanted) {
      left = mSettings.mMaxStopTime;
    } else if (const auto reported = task->TimeLeftAtReport()) {
      left = *reported - (aNow - task->mReportedAt);
    }
    ends.push_back({ left, step->Spec().Footprint() });
  }
  return ends;
}

std::vector<Victim> Scheduler::VictimsOn(const ServerState& aServer,
                                         const StepRun& aFor,
                                         bool aFromOverGuarantee,
                                         Time aNow)
{
  std::vector<Victim> victims;
  for (const auto& attempt : aServer.mAttempts) {
    StepRun* step = nullptr;
    const Task* task = FindTask(attempt.mTask, &step);
    if (task == nullptr || step->Spec().mLongRunning) {
      continue;
    }
    const auto& rules = step->mJob->mSpec.mRules;
    const bool lessUrgent = rules.mPriority > aFor.mJob->mSpec.mRules.mPriority;
    const bool overGuarantee =
      aFromOverGuarantee &&
      mOverGuarantee.count(step->mJob->mSpec.mAccount) > 0;
    if (!lessUrgent && !overGuarantee) {
      continue;
    }
    if (task->mPhase != TaskPhase::eRunning &&
        task->mPhase != TaskPhase::eOrdered) {
      continue;
    }
    Victim victim{ step, attempt.mTask.mIndex, step->Spec().Footprint(), 0 };
    if (!task->mStopWanted) {
      const auto age = std::chrono::duration<double>(aNow - task->mPlacedAt);
      const double members =
        step->Spec().mGang ? static_cast<double>(step->mTasks.size()) : 1.0;
      const double lostSeconds =
        step->Spec().mCheckpoints ? kCheckpointLossSeconds : age.count();
      victim.mCost =
        step->Spec().mPerTask.WeightedCores() * members * lostSeconds;
    }
    victim.mCost *= lessUrgent ? 1.0 : kSamePriorityCost;
    victims.push_back(victim);
  }
  return victims;
}

} // namespace flamingoloom::scheduler
