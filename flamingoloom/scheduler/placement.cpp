#include "flamingoloom/scheduler/placement.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>
#include <utility>

namespace flamingoloom::scheduler {

namespace {

// When to look for room that running work leaves. Beyond the last the expected
// ends are too uncertain to keep room idle for.
constexpr base::Duration kHorizons[] = {
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
      server.mListed && server.mFenced && server.mAnswers &&
      !server.mInfo.mDraining && server.mAvoidUntil <= aNow &&
      aOutOfServiceDataCentres.count(server.mInfo.mDataCentre) == 0;
    if (usable) {
      mPlaces.emplace(id, Place{ &server, server.Free(), {}, {} });
    }
  }
  for (auto& [id, place] : mPlaces) {
    mRacks[place.mServer->mInfo.mRack].push_back(&place);
  }
}

bool Placement::Suits(const StepRun& aStep, const Place& aPlace) const
{
  const auto& info = aPlace.mServer->mInfo;
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
  const StepRun& aStep) const
{
  std::map<base::ServerId, int> counts;
  if (aStep.Spec().mMaxPerServer == 0) {
    return counts;
  }
  for (const Task& task : aStep.mTasks) {
    const bool placed = task.mPhase == TaskPhase::eIntended ||
                        task.mPhase == TaskPhase::eOrdered ||
                        task.mPhase == TaskPhase::eRunning ||
                        task.mPhase == TaskPhase::eUnresolved;
    if (placed) {
      ++counts[task.mServer];
    }
  }
  return counts;
}

Placement::Place* Placement::Best(const StepRun& aStep,
                                  int aIndex,
                                  const std::vector<Place*>& aPlaces,
                                  bool aAllowRemote,
                                  const std::map<base::ServerId, int>& aTaken)
{
  const auto& spec = aStep.Spec();
  const auto need = spec.Footprint();
  const Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  Place* best = nullptr;
  // Lower is better: away from the data, failed there before, cold, then the
  // tightest fit.
  using Score = std::tuple<bool, bool, bool, std::int64_t, std::int64_t>;
  Score bestScore;
  for (Place* place : aPlaces) {
    const auto& info = place->mServer->mInfo;
    if (!need.FitsIn(place->mFree) || !Suits(aStep, *place)) {
      continue;
    }
    const bool remote = !spec.mDataRack.empty() && info.mRack != spec.mDataRack;
    if (remote && !aAllowRemote) {
      continue;
    }
    if (spec.mMaxPerServer > 0) {
      const auto taken = aTaken.find(info.mId);
      if (taken != aTaken.end() && taken->second >= spec.mMaxPerServer) {
        continue;
      }
    }
    const Score score{ remote,
                       task.mFailedOn.count(info.mId) > 0,
                       info.mWarmUpRemaining.count() > 0,
                       place->mFree.mAccelerators - need.mAccelerators,
                       place->mFree.mCpuMilli - need.mCpuMilli };
    if (best == nullptr || score < bestScore) {
      best = place;
      bestScore = score;
    }
  }
  return best;
}

std::vector<Placement::Place*> Placement::AllPlaces()
{
  std::vector<Place*> places;
  places.reserve(mPlaces.size());
  for (auto& [id, place] : mPlaces) {
    places.push_back(&place);
  }
  return places;
}

Assignment Placement::PlaceSome(const StepRun& aStep,
                                const std::vector<int>& aIndices,
                                bool aAllowRemote)
{
  if (!MayFit(aStep)) {
    return {};
  }
  auto assignment = PlaceUntilFull(aStep, aIndices, AllPlaces(), aAllowRemote);
  const auto& spec = aStep.Spec();
  const bool anywhere = aAllowRemote || spec.mDataRack.empty();
  if (anywhere && spec.mMaxPerServer == 0 &&
      assignment.size() < aIndices.size()) {
    mUnplaceable[{ aStep.mJob->mSpec.mRules.mService, spec.mRequiredLabel }]
      .push_back(spec.Footprint());
  }
  return assignment;
}

bool Placement::MayFit(const StepRun& aStep) const
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

Assignment Placement::PlaceUntilFull(const StepRun& aStep,
                                     const std::vector<int>& aIndices,
                                     const std::vector<Place*>& aPlaces,
                                     bool aAllowRemote)
{
  const auto need = aStep.Spec().Footprint();
  auto taken = TasksPerServer(aStep);
  Assignment assignment;
  for (const int index : aIndices) {
    Place* place = Best(aStep, index, aPlaces, aAllowRemote, taken);
    if (place == nullptr) {
      break;
    }
    place->mFree -= need;
    ++taken[place->mServer->mInfo.mId];
    assignment.emplace_back(index, place->mServer->mInfo.mId);
  }
  return assignment;
}

std::optional<Assignment> Placement::PlaceOn(const StepRun& aStep,
                                             const std::vector<int>& aIndices,
                                             const std::vector<Place*>& aPlaces,
                                             bool aAllowRemote)
{
  auto assignment = PlaceUntilFull(aStep, aIndices, aPlaces, aAllowRemote);
  if (assignment.size() == aIndices.size()) {
    return assignment;
  }
  for (const auto& [index, server] : assignment) {
    mPlaces.at(server).mFree += aStep.Spec().Footprint();
  }
  return std::nullopt;
}

std::optional<Assignment> Placement::PlaceAll(const StepRun& aStep,
                                              const std::vector<int>& aIndices,
                                              bool aAllowRemote)
{
  if (!MayFit(aStep)) {
    return std::nullopt;
  }
  if (!aStep.Spec().mSameRack) {
    return PlaceOn(aStep, aIndices, AllPlaces(), aAllowRemote);
  }
  // The rack that is left with the least room, so that whole racks stay free.
  std::optional<Assignment> best;
  std::int64_t bestLeft = std::numeric_limits<std::int64_t>::max();
  const auto need = aStep.Spec().Footprint();
  for (auto& [rack, places] : mRacks) {
    if (!aStep.Spec().mDataRack.empty() && rack != aStep.Spec().mDataRack) {
      continue;
    }
    auto assignment = PlaceOn(aStep, aIndices, places, true);
    if (!assignment) {
      continue;
    }
    std::int64_t left = 0;
    for (const Place* place : places) {
      left += place->mFree.mAccelerators;
    }
    for (const auto& [index, server] : *assignment) {
      mPlaces.at(server).mFree += need;
    }
    if (left < bestLeft) {
      bestLeft = left;
      best = std::move(assignment);
    }
  }
  if (best) {
    for (const auto& [index, server] : *best) {
      mPlaces.at(server).mFree -= need;
    }
    return best;
  }
  if (!aAllowRemote) {
    return std::nullopt;
  }
  return PlaceOn(aStep, aIndices, AllPlaces(), true);
}

std::optional<Placement::Overlap> Placement::CheapestOver(
  const StepRun& aStep,
  const std::vector<int>& aIndices,
  const std::vector<Place*>& aPlaces,
  bool aAllowRemote)
{
  const auto need = aStep.Spec().Footprint();
  const auto limit = aStep.Spec().mMaxPerServer;
  auto taken = TasksPerServer(aStep);
  std::map<Place*, jobs::Resources> rooms;
  std::set<std::pair<StepRun*, int>> stopped;
  std::set<StepRun*> brokenGangs;
  Overlap overlap;
  // What stopping a victim costs on top of those chosen already.
  const auto costOf = [&](const Victim& aVictim) {
    const bool free = stopped.count({ aVictim.mStep, aVictim.mIndex }) > 0 ||
                      brokenGangs.count(aVictim.mStep) > 0;
    return free ? 0.0 : aVictim.mCost;
  };
  for (const int index : aIndices) {
    Place* best = nullptr;
    std::tuple<bool, double, std::int64_t> bestScore;
    std::vector<const Victim*> bestVictims;
    for (Place* place : aPlaces) {
      const auto& info = place->mServer->mInfo;
      const bool remote =
        !aStep.Spec().mDataRack.empty() && info.mRack != aStep.Spec().mDataRack;
      const auto count = taken.find(info.mId);
      if (!Suits(aStep, *place) || (remote && !aAllowRemote) ||
          (limit > 0 && count != taken.end() && count->second >= limit)) {
        continue;
      }
      auto room = rooms.try_emplace(place, place->mFree).first->second;
      std::vector<const Victim*> order;
      for (const Victim& victim : place->mVictims) {
        if (stopped.count({ victim.mStep, victim.mIndex }) == 0) {
          order.push_back(&victim);
        }
      }
      std::sort(order.begin(), order.end(), [&](auto* aLeft, auto* aRight) {
        return costOf(*aLeft) < costOf(*aRight);
      });
      double cost = 0;
      std::vector<const Victim*> chosen;
      for (const Victim* victim : order) {
        if (need.FitsIn(room)) {
          break;
        }
        room += victim->mFrees;
        cost += costOf(*victim);
        chosen.push_back(victim);
      }
      if (!need.FitsIn(room)) {
        continue;
      }
      const std::tuple score{ remote, cost, room.mAccelerators };
      if (best == nullptr || score < bestScore) {
        best = place;
        bestScore = score;
        bestVictims = std::move(chosen);
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    auto& room = rooms.at(best);
    for (const Victim* victim : bestVictims) {
      room += victim->mFrees;
      stopped.insert({ victim->mStep, victim->mIndex });
      if (victim->mStep->Spec().mGang) {
        brokenGangs.insert(victim->mStep);
      }
      overlap.mVictims.push_back(*victim);
    }
    room -= need;
    overlap.mCost += std::get<1>(bestScore);
    ++taken[best->mServer->mInfo.mId];
    overlap.mAssignment.emplace_back(index, best->mServer->mInfo.mId);
  }
  return overlap;
}

std::optional<Assignment> Placement::PlaceOver(
  const StepRun& aStep,
  const std::vector<int>& aIndices,
  bool aAllowRemote,
  const std::function<std::vector<Victim>(const ServerState&)>& aVictims,
  std::vector<Victim>& aChosen)
{
  for (auto& [id, place] : mPlaces) {
    place.mVictims =
      Suits(aStep, place) ? aVictims(*place.mServer) : std::vector<Victim>{};
  }
  std::optional<Overlap> best;
  if (aStep.Spec().mSameRack) {
    for (auto& [rack, places] : mRacks) {
      const bool dataElsewhere =
        !aStep.Spec().mDataRack.empty() && rack != aStep.Spec().mDataRack;
      if (dataElsewhere && !aAllowRemote) {
        continue;
      }
      auto overlap = CheapestOver(aStep, aIndices, places, true);
      if (overlap && (!best || overlap->mCost < best->mCost)) {
        best = std::move(overlap);
      }
    }
  }
  if (!best && (!aStep.Spec().mSameRack || aAllowRemote)) {
    best = CheapestOver(aStep, aIndices, AllPlaces(), aAllowRemote);
  }
  if (!best) {
    return std::nullopt;
  }
  for (const auto& [index, server] : best->mAssignment) {
    mPlaces.at(server).mFree -= aStep.Spec().Footprint();
  }
  aChosen = std::move(best->mVictims);
  return std::move(best->mAssignment);
}

std::optional<Assignment> Placement::PlaceSoon(
  const StepRun& aStep,
  const std::vector<int>& aIndices,
  bool aAllowRemote,
  const std::function<std::vector<ExpectedEnd>(const ServerState&)>& aEnds,
  base::Duration& aWait)
{
  if (!mEndsKnown) {
    mEndsKnown = true;
    for (auto& [id, place] : mPlaces) {
      place.mEnds = aEnds(*place.mServer);
    }
  }
  // Room of the future does not bear on what fits now.
  const auto unplaceable = std::exchange(mUnplaceable, {});
  std::optional<Assignment> assignment;
  base::Duration from = base::Duration::min();
  for (const auto horizon : kHorizons) {
    for (auto& [id, place] : mPlaces) {
      for (const auto& end : place.mEnds) {
        if (end.mAfter > from && end.mAfter <= horizon) {
          place.mFree += end.mFrees;
        }
      }
    }
    from = aWait = horizon;
    mUnplaceable.clear();
    assignment = PlaceAll(aStep, aIndices, aAllowRemote);
    if (assignment) {
      break;
    }
  }
  for (auto& [id, place] : mPlaces) {
    for (const auto& end : place.mEnds) {
      if (end.mAfter <= from) {
        place.mFree -= end.mFrees;
      }
    }
  }
  mUnplaceable = unplaceable;
  return assignment;
}

bool Placement::CouldStayLocal(const StepRun& aStep,
                               const std::vector<int>& aIndices)
{
  const auto& spec = aStep.Spec();
  if (spec.mDataRack.empty() && !(spec.mGang && spec.mSameRack)) {
    return true;
  }
  std::map<base::ServerId, jobs::Resources> before;
  for (auto& [id, place] : mPlaces) {
    before[id] = place.mFree;
    place.mFree = place.mServer->mInfo.mCapacity;
  }
  const auto unplaceable = std::exchange(mUnplaceable, {});
  const auto assignment = PlaceAll(aStep, aIndices, false);
  mUnplaceable = unplaceable;
  for (auto& [id, place] : mPlaces) {
    place.mFree = before[id];
  }
  return assignment.has_value();
}

void Placement::Take(const base::ServerId& aServer,
                     const jobs::Resources& aNeed)
{
  const auto place = mPlaces.find(aServer);
  if (place != mPlaces.end()) {
    place->second.mFree -= aNeed;
  }
}

bool Placement::Fits(const base::ServerId& aServer,
                     const jobs::Resources& aNeed) const
{
  const auto place = mPlaces.find(aServer);
  return place != mPlaces.end() && aNeed.FitsIn(place->second.mFree);
}

bool Placement::IsUsableFor(const StepRun& aStep,
                            const base::ServerId& aServer) const
{
  const auto place = mPlaces.find(aServer);
  return place != mPlaces.end() && Suits(aStep, place->second);
}

} // namespace flamingoloom::scheduler
