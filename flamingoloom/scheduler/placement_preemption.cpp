// Placement by preemption: which running tasks to stop for a step that does not
// fit, so that little work is lost.
#include "flamingoloom/scheduler/placement.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace flamingoloom::scheduler {

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
  std::vector<Candidate*> eligible;
  for (Candidate* candidate : aCandidates) {
    if (IsEligible(aStep, *candidate) &&
        (aAllowRemote || !IsRemote(aStep, *candidate))) {
      eligible.push_back(candidate);
    }
  }
  // What it takes to place one more task on a candidate. It changes when a task
  // is placed there, and when a gang is stopped, whose other members then cost
  // nothing.
  struct Option
  {
    bool mKnown = false;
    bool mFeasible = false;
    std::tuple<bool, double, std::int64_t> mScore;
    std::vector<const Victim*> mVictims;
  };
  std::vector<Option> options(eligible.size());
  const auto evaluate = [&](Candidate& aCandidate, Option& aOption) {
    aOption = { true, false, {}, {} };
    auto available =
      availableOn.try_emplace(&aCandidate, aCandidate.mFree).first->second;
    std::vector<const Victim*> byCost;
    for (const Victim& victim : aCandidate.mVictims) {
      if (stopped.count({ victim.mStep, victim.mIndex }) == 0) {
        byCost.push_back(&victim);
      }
    }
    std::sort(byCost.begin(), byCost.end(), [&](auto* aLeft, auto* aRight) {
      return costOf(*aLeft) < costOf(*aRight);
    });
    double cost = 0;
    for (const Victim* victim : byCost) {
      if (need.FitsIn(available)) {
        break;
      }
      available += victim->mFreed;
      cost += costOf(*victim);
      aOption.mVictims.push_back(victim);
    }
    aOption.mFeasible = need.FitsIn(available);
    aOption.mScore = { IsRemote(aStep, aCandidate),
                       cost,
                       available.mAccelerators };
  };
  for (const int index : aIndices) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < eligible.size(); ++i) {
      if (limit > 0) {
        const auto count = tasksPerServer.find(eligible[i]->mServer->mInfo.mId);
        if (count != tasksPerServer.end() && count->second >= limit) {
          continue;
        }
      }
      if (!options[i].mKnown) {
        evaluate(*eligible[i], options[i]);
      }
      if (options[i].mFeasible &&
          (!best || options[i].mScore < options[*best].mScore)) {
        best = i;
      }
    }
    if (!best) {
      return std::nullopt;
    }
    Candidate* const candidate = eligible[*best];
    const auto chosen = std::move(options[*best]);
    options[*best].mKnown = false;
    auto& available = availableOn.at(candidate);
    for (const Victim* victim : chosen.mVictims) {
      available += victim->mFreed;
      stopped.insert({ victim->mStep, victim->mIndex });
      if (victim->mStep->Spec().mGang &&
          abortedGangs.insert(victim->mStep).second) {
        options.assign(options.size(), {});
      }
      plan.mVictims.push_back(*victim);
    }
    available -= need;
    plan.mCost += std::get<1>(chosen.mScore);
    ++tasksPerServer[candidate->mServer->mInfo.mId];
    plan.mAssignment.emplace_back(index, candidate->mServer->mInfo.mId);
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
  for (Candidate& candidate : mCandidates) {
    candidate.mVictims = IsEligible(aStep, candidate)
                           ? aVictims(*candidate.mServer)
                           : std::vector<Victim>{};
  }
  std::optional<PreemptionPlan> best;
  if (aStep.Spec().mSameRack) {
    for (const auto& [rack, candidates] : CandidatesByRack()) {
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
    best = CheapestPreemption(aStep, aIndices, mAll, aAllowRemote);
  }
  if (!best) {
    return std::nullopt;
  }
  for (const auto& [index, server] : best->mAssignment) {
    Take(*Find(server), aStep.Spec().Footprint());
  }
  aChosen = std::move(best->mVictims);
  return std::move(best->mAssignment);
}

} // namespace flamingoloom::scheduler
