#include "flamingoloom/scheduler/placement.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace flamingoloom::scheduler {

namespace {

// How far ahead to search for capacity that running attempts will free. Beyond
// the last of them the expected completions are too uncertain to keep capacity
// idle for.
constexpr base::Duration kReservationHorizons[] = {
  std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
  std::chrono::milliseconds(2000), std::chrono::milliseconds(3000),
  std::chrono::milliseconds(4500),
};

} // namespace

Placement::Placement(
  Fleet& aFleet,
  const std::set<base::DataCentreId>& aOutOfServiceDataCentres,
  base::Time aNow)
{
  for (auto& [id, server] : aFleet.Servers()) {
    const bool usable =
      server.mListed && server.mFenced && server.mResponsive &&
      !server.mInfo.mDraining && server.mQuarantinedUntil <= aNow &&
      aOutOfServiceDataCentres.count(server.mInfo.mDataCentre) == 0;
    if (usable) {
      mCandidates.emplace(id,
                          Candidate{ &server, server.FreeCapacity(), {}, {} });
    }
  }
  for (auto& [id, candidate] : mCandidates) {
    mRacks[candidate.mServer->mInfo.mRack].push_back(&candidate);
  }
}

bool Placement::IsEligible(const StepState& aStep,
                           const Candidate& aCandidate) const
{
  const auto& info = aCandidate.mServer->mInfo;
  const auto& spec = aStep.Spec();
  if (info.mService != aStep.mJob->mSpec.mRules.mService) {
    return false;
  }
  return spec.mRequiredLabel.empty() ||
         std::find(info.mLabels.begin(),
                   info.mLabels.end(),
                   spec.mRequiredLabel) != info.mLabels.end();
}

std::map<base::ServerId, int> Placement::TasksPerServer(
  const StepState& aStep) const
{
  std::map<base::ServerId, int> counts;
  if (aStep.Spec().mMaxPerServer == 0) {
    return counts;
  }
  for (const Task& task : aStep.mTasks) {
    const bool placed = task.mPhase == TaskPhase::eAssigned ||
                        task.mPhase == TaskPhase::eDispatching ||
                        task.mPhase == TaskPhase::eRunning ||
                        task.mPhase == TaskPhase::eUnresolved;
    if (placed) {
      ++counts[task.mServer];
    }
  }
  return counts;
}

Placement::Candidate* Placement::BestCandidate(
  const StepState& aStep,
  int aIndex,
  const std::vector<Candidate*>& aCandidates,
  bool aAllowRemote,
  const std::map<base::ServerId, int>& aTasksPerServer)
{
  const auto& spec = aStep.Spec();
  const auto need = spec.Footprint();
  const Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  Candidate* best = nullptr;
  // The lowest score wins: near the data, no earlier failure of the task there,
  // not warming up, and then the tightest fit.
  using Score = std::tuple<bool, bool, bool, std::int64_t, std::int64_t>;
  Score bestScore;
  for (Candidate* candidate : aCandidates) {
    const auto& info = candidate->mServer->mInfo;
    if (!need.FitsIn(candidate->mFree) || !IsEligible(aStep, *candidate)) {
      continue;
    }
    const bool remote = !spec.mDataRack.empty() && info.mRack != spec.mDataRack;
    if (remote && !aAllowRemote) {
      continue;
    }
    if (spec.mMaxPerServer > 0) {
      const auto count = aTasksPerServer.find(info.mId);
      if (count != aTasksPerServer.end() &&
          count->second >= spec.mMaxPerServer) {
        continue;
      }
    }
    const Score score{ remote,
                       task.mFailedOn.count(info.mId) > 0,
                       info.mWarmUpRemaining.count() > 0,
                       candidate->mFree.mAccelerators - need.mAccelerators,
                       candidate->mFree.mCpuMilli - need.mCpuMilli };
    if (best == nullptr || score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}

std::vector<Placement::Candidate*> Placement::AllCandidates()
{
  std::vector<Candidate*> candidates;
  candidates.reserve(mCandidates.size());
  for (auto& [id, candidate] : mCandidates) {
    candidates.push_back(&candidate);
  }
  return candidates;
}

Assignment Placement::PlaceSome(const StepState& aStep,
                                const std::vector<int>& aIndices,
                                bool aAllowRemote)
{
  if (!MayFit(aStep)) {
    return {};
  }
  auto assignment =
    PlaceUntilFull(aStep, aIndices, AllCandidates(), aAllowRemote);
  const auto& spec = aStep.Spec();
  const bool anywhere = aAllowRemote || spec.mDataRack.empty();
  if (anywhere && spec.mMaxPerServer == 0 &&
      assignment.size() < aIndices.size()) {
    mUnplaceable[{ aStep.mJob->mSpec.mRules.mService, spec.mRequiredLabel }]
      .push_back(spec.Footprint());
  }
  return assignment;
}

bool Placement::MayFit(const StepState& aStep) const
{
  const auto failed = mUnplaceable.find(
    { aStep.mJob->mSpec.mRules.mService, aStep.Spec().mRequiredLabel });
  if (failed == mUnplaceable.end()) {
    return true;
  }
  const auto need = aStep.Spec().Footprint();
  return std::none_of(
    failed->second.begin(),
    failed->second.end(),
    [&need](const jobs::Resources& aFailed) { return aFailed.FitsIn(need); });
}

Assignment Placement::PlaceUntilFull(const StepState& aStep,
                                     const std::vector<int>& aIndices,
                                     const std::vector<Candidate*>& aCandidates,
                                     bool aAllowRemote)
{
  const auto need = aStep.Spec().Footprint();
  auto tasksPerServer = TasksPerServer(aStep);
  Assignment assignment;
  for (const int index : aIndices) {
    Candidate* candidate =
      BestCandidate(aStep, index, aCandidates, aAllowRemote, tasksPerServer);
    if (candidate == nullptr) {
      break;
    }
    candidate->mFree -= need;
    ++tasksPerServer[candidate->mServer->mInfo.mId];
    assignment.emplace_back(index, candidate->mServer->mInfo.mId);
  }
  return assignment;
}

std::optional<Assignment> Placement::PlaceAllOn(
  const StepState& aStep,
  const std::vector<int>& aIndices,
  const std::vector<Candidate*>& aCandidates,
  bool aAllowRemote)
{
  auto assignment = PlaceUntilFull(aStep, aIndices, aCandidates, aAllowRemote);
  if (assignment.size() == aIndices.size()) {
    return assignment;
  }
  for (const auto& [index, server] : assignment) {
    mCandidates.at(server).mFree += aStep.Spec().Footprint();
  }
  return std::nullopt;
}

std::optional<Assignment> Placement::PlaceAll(const StepState& aStep,
                                              const std::vector<int>& aIndices,
                                              bool aAllowRemote)
{
  if (!MayFit(aStep)) {
    return std::nullopt;
  }
  if (!aStep.Spec().mSameRack) {
    return PlaceAllOn(aStep, aIndices, AllCandidates(), aAllowRemote);
  }
  // Use the rack with the least capacity left, so that other racks stay free as
  // a whole.
  std::optional<Assignment> best;
  std::int64_t minAcceleratorsLeft = std::numeric_limits<std::int64_t>::max();
  const auto need = aStep.Spec().Footprint();
  for (auto& [rack, candidates] : mRacks) {
    if (!aStep.Spec().mDataRack.empty() && rack != aStep.Spec().mDataRack) {
      continue;
    }
    auto assignment = PlaceAllOn(aStep, aIndices, candidates, true);
    if (!assignment) {
      continue;
    }
    std::int64_t acceleratorsLeft = 0;
    for (const Candidate* candidate : candidates) {
      acceleratorsLeft += candidate->mFree.mAccelerators;
    }
    for (const auto& [index, server] : *assignment) {
      mCandidates.at(server).mFree += need;
    }
    if (acceleratorsLeft < minAcceleratorsLeft) {
      minAcceleratorsLeft = acceleratorsLeft;
      best = std::move(assignment);
    }
  }
  if (best) {
    for (const auto& [index, server] : *best) {
      mCandidates.at(server).mFree -= need;
    }
    return best;
  }
  if (!aAllowRemote) {
    return std::nullopt;
  }
  return PlaceAllOn(aStep, aIndices, AllCandidates(), true);
}

std::optional<Placement::PreemptionPlan> Placement::CheapestPreemption(
  const StepState& aStep,
  const std::vector<int>& aIndices,
  const std::vector<Candidate*>& aCandidates,
  bool aAllowRemote)
{
  const auto need = aStep.Spec().Footprint();
  const auto limit = aStep.Spec().mMaxPerServer;
  auto tasksPerServer = TasksPerServer(aStep);
  std::map<Candidate*, jobs::Resources> availableOn;
  std::set<std::pair<StepState*, int>> stopped;
  std::set<StepState*> abortedGangs;
  PreemptionPlan plan;
  // The additional cost of preempting a victim, given the ones chosen already.
  const auto costOf = [&](const Victim& aVictim) {
    const bool free = stopped.count({ aVictim.mStep, aVictim.mIndex }) > 0 ||
                      abortedGangs.count(aVictim.mStep) > 0;
    return free ? 0.0 : aVictim.mCost;
  };
  for (const int index : aIndices) {
    Candidate* best = nullptr;
    std::tuple<bool, double, std::int64_t> bestScore;
    std::vector<const Victim*> bestVictims;
    for (Candidate* candidate : aCandidates) {
      const auto& info = candidate->mServer->mInfo;
      const bool remote =
        !aStep.Spec().mDataRack.empty() && info.mRack != aStep.Spec().mDataRack;
      const auto count = tasksPerServer.find(info.mId);
      if (!IsEligible(aStep, *candidate) || (remote && !aAllowRemote) ||
          (limit > 0 && count != tasksPerServer.end() &&
           count->second >= limit)) {
        continue;
      }
      auto available =
        availableOn.try_emplace(candidate, candidate->mFree).first->second;
      std::vector<const Victim*> byCost;
      for (const Victim& victim : candidate->mVictims) {
        if (stopped.count({ victim.mStep, victim.mIndex }) == 0) {
          byCost.push_back(&victim);
        }
      }
      std::sort(byCost.begin(), byCost.end(), [&](auto* aLeft, auto* aRight) {
        return costOf(*aLeft) < costOf(*aRight);
      });
      double cost = 0;
      std::vector<const Victim*> chosen;
      for (const Victim* victim : byCost) {
        if (need.FitsIn(available)) {
          break;
        }
        available += victim->mFreed;
        cost += costOf(*victim);
        chosen.push_back(victim);
      }
      if (!need.FitsIn(available)) {
        continue;
      }
      const std::tuple score{ remote, cost, available.mAccelerators };
      if (best == nullptr || score < bestScore) {
        best = candidate;
        bestScore = score;
        bestVictims = std::move(chosen);
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    auto& available = availableOn.at(best);
    for (const Victim* victim : bestVictims) {
      available += victim->mFreed;
      stopped.insert({ victim->mStep, victim->mIndex });
      if (victim->mStep->Spec().mGang) {
        abortedGangs.insert(victim->mStep);
      }
      plan.mVictims.push_back(*victim);
    }
    available -= need;
    plan.mCost += std::get<1>(bestScore);
    ++tasksPerServer[best->mServer->mInfo.mId];
    plan.mAssignment.emplace_back(index, best->mServer->mInfo.mId);
  }
  return plan;
}

std::optional<Assignment> Placement::PlaceWithPreemption(
  const StepState& aStep,
  const std::vector<int>& aIndices,
  bool aAllowRemote,
  const std::function<std::vector<Victim>(const ServerState&)>& aVictims,
  std::vector<Victim>& aChosen)
{
  for (auto& [id, candidate] : mCandidates) {
    candidate.mVictims = IsEligible(aStep, candidate)
                           ? aVictims(*candidate.mServer)
                           : std::vector<Victim>{};
  }
  std::optional<PreemptionPlan> best;
  if (aStep.Spec().mSameRack) {
    for (auto& [rack, candidates] : mRacks) {
      const bool dataElsewhere =
        !aStep.Spec().mDataRack.empty() && rack != aStep.Spec().mDataRack;
      if (dataElsewhere && !aAllowRemote) {
        continue;
      }
      auto plan = CheapestPreemption(aStep, aIndices, candidates, true);
      if (plan && (!best || plan->mCost < best->mCost)) {
        best = std::move(plan);
      }
    }
  }
  if (!best && (!aStep.Spec().mSameRack || aAllowRemote)) {
    best = CheapestPreemption(aStep, aIndices, AllCandidates(), aAllowRemote);
  }
  if (!best) {
    return std::nullopt;
  }
  for (const auto& [index, server] : best->mAssignment) {
    mCandidates.at(server).mFree -= aStep.Spec().Footprint();
  }
  aChosen = std::move(best->mVictims);
  return std::move(best->mAssignment);
}

std::optional<Assignment> Placement::PlaceOnExpectedCapacity(
  const StepState& aStep,
  const std::vector<int>& aIndices,
  bool aAllowRemote,
  const std::function<std::vector<ExpectedCompletion>(const ServerState&)>&
    aExpectedCompletions,
  base::Duration& aWait)
{
  if (!mExpectedCompletionsKnown) {
    mExpectedCompletionsKnown = true;
    for (auto& [id, candidate] : mCandidates) {
      candidate.mExpectedCompletions = aExpectedCompletions(*candidate.mServer);
    }
  }
  // What does not fit on future capacity says nothing about the present one, so
  // mUnplaceable is set aside during the search.
  const auto unplaceable = std::exchange(mUnplaceable, {});
  std::optional<Assignment> assignment;
  base::Duration previousHorizon = base::Duration::min();
  for (const auto horizon : kReservationHorizons) {
    for (auto& [id, candidate] : mCandidates) {
      for (const auto& completion : candidate.mExpectedCompletions) {
        if (completion.mAfter > previousHorizon &&
            completion.mAfter <= horizon) {
          candidate.mFree += completion.mFreed;
        }
      }
    }
    previousHorizon = aWait = horizon;
    mUnplaceable.clear();
    assignment = PlaceAll(aStep, aIndices, aAllowRemote);
    if (assignment) {
      break;
    }
  }
  for (auto& [id, candidate] : mCandidates) {
    for (const auto& completion : candidate.mExpectedCompletions) {
      if (completion.mAfter <= previousHorizon) {
        candidate.mFree -= completion.mFreed;
      }
    }
  }
  mUnplaceable = unplaceable;
  return assignment;
}

bool Placement::CouldFitLocally(const StepState& aStep,
                                const std::vector<int>& aIndices)
{
  const auto& spec = aStep.Spec();
  if (spec.mDataRack.empty() && !(spec.mGang && spec.mSameRack)) {
    return true;
  }
  std::map<base::ServerId, jobs::Resources> savedFree;
  for (auto& [id, candidate] : mCandidates) {
    savedFree[id] = candidate.mFree;
    candidate.mFree = candidate.mServer->mInfo.mCapacity;
  }
  const auto unplaceable = std::exchange(mUnplaceable, {});
  const auto assignment = PlaceAll(aStep, aIndices, false);
  mUnplaceable = unplaceable;
  for (auto& [id, candidate] : mCandidates) {
    candidate.mFree = savedFree[id];
  }
  return assignment.has_value();
}

void Placement::Deduct(const base::ServerId& aServer,
                       const jobs::Resources& aNeed)
{
  const auto candidate = mCandidates.find(aServer);
  if (candidate != mCandidates.end()) {
    candidate->second.mFree -= aNeed;
  }
}

bool Placement::Fits(const base::ServerId& aServer,
                     const jobs::Resources& aNeed) const
{
  const auto candidate = mCandidates.find(aServer);
  return candidate != mCandidates.end() &&
         aNeed.FitsIn(candidate->second.mFree);
}

bool Placement::IsUsableFor(const StepState& aStep,
                            const base::ServerId& aServer) const
{
  const auto candidate = mCandidates.find(aServer);
  return candidate != mCandidates.end() && IsEligible(aStep, candidate->second);
}

} // namespace flamingoloom::scheduler
