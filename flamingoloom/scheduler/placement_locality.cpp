// What a step can expect near its data, and what running elsewhere takes from
// others.
#include "flamingoloom/scheduler/placement.h"

#include <algorithm>

namespace flamingoloom::scheduler {

namespace {

// Part of the service's capacity that must be free for it to count as idle, in
// percent. The platform expects work elsewhere while half is free; reports show
// the end of tasks up to 2 s late.
constexpr std::int64_t kMinIdlePercent = 40;

} // namespace

const std::vector<ExpectedCompletion>& Placement::CompletionsOn(
  Candidate& aCandidate,
  const ExpectedCompletionsOf& aExpectedCompletions)
{
  if (!aCandidate.mExpectedCompletions) {
    aCandidate.mExpectedCompletions = aExpectedCompletions(*aCandidate.mServer);
  }
  return *aCandidate.mExpectedCompletions;
}

bool Placement::AnyLocalRack(
  const StepState& aStep,
  const std::function<bool(const std::vector<Candidate*>&)>& aFits)
{
  const auto& dataRack = aStep.Spec().mDataRack;
  const auto& racks = CandidatesByRack();
  if (!dataRack.empty()) {
    const auto rack = racks.find(dataRack);
    return rack != racks.end() && aFits(rack->second);
  }
  return std::any_of(racks.begin(), racks.end(), [&aFits](const auto& aRack) {
    return aFits(aRack.second);
  });
}

bool Placement::CouldFitLocally(const StepState& aStep,
                                const std::vector<int>& aIndices)
{
  return !aStep.WantsOneRack() ||
         AnyLocalRack(aStep, [&](const std::vector<Candidate*>& aCandidates) {
           return HasRoomFor(RoomsFor(aStep, aCandidates, true, true),
                             aIndices.size());
         });
}

bool Placement::IsLocalCapacityExpected(
  const StepState& aStep,
  const std::vector<int>& aIndices,
  base::Duration aWithin,
  const ExpectedCompletionsOf& aExpectedCompletions)
{
  return AnyLocalRack(aStep, [&](const std::vector<Candidate*>& aCandidates) {
    std::vector<jobs::Resources> freeNow;
    freeNow.reserve(aCandidates.size());
    for (Candidate* candidate : aCandidates) {
      freeNow.push_back(candidate->mFree);
      for (const auto& completion :
           CompletionsOn(*candidate, aExpectedCompletions)) {
        if (completion.mAfter <= aWithin) {
          candidate->mFree += completion.mFreed;
        }
      }
    }
    const bool fits =
      HasRoomFor(RoomsFor(aStep, aCandidates, true, false), aIndices.size());
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      aCandidates[i]->mFree = freeNow[i];
    }
    return fits;
  });
}

void Placement::Take(Candidate& aCandidate, const jobs::Resources& aNeed)
{
  aCandidate.mFree -= aNeed;
  const auto totals = mTotals.find(aCandidate.mServer->mInfo.mService);
  if (totals != mTotals.end()) {
    totals->second.mFree -= aNeed;
  }
}

bool Placement::HasIdleCapacity(const StepState& aStep, std::size_t aTasks)
{
  const auto& service = aStep.mJob->mSpec.mRules.mService;
  const auto [entry, added] = mTotals.try_emplace(service);
  Totals& totals = entry->second;
  if (added) {
    for (const Candidate& candidate : mCandidates) {
      if (candidate.mServer->mInfo.mService == service) {
        totals.mCapacity += candidate.mServer->mInfo.mCapacity;
        totals.mFree += candidate.mFree;
      }
    }
  }
  const auto need = aStep.Spec().Footprint();
  if (need.CountIn(totals.mFree) * 100 <
      need.CountIn(totals.mCapacity) * kMinIdlePercent) {
    return false;
  }
  // Rack by rack, since the first ones are enough in an idle fleet.
  auto missing = static_cast<std::int64_t>(aTasks) * 2;
  for (const auto& [rack, candidates] : CandidatesByRack()) {
    for (const Room& room : RoomsFor(aStep, candidates, true, false)) {
      missing -= room.mTasks;
    }
    if (missing <= 0) {
      return true;
    }
  }
  return false;
}

} // namespace flamingoloom::scheduler
