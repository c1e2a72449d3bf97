#include "flamingoloom/scheduler/placement.h"

#include <algorithm>
#include <functional>
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
  mCandidates.reserve(aFleet.Servers().size());
  for (auto& [id, server] : aFleet.Servers()) {
    const bool usable =
      server.mListed && server.mFenced && server.mResponsive &&
      !server.mInfo.mDraining && server.mQuarantinedUntil <= aNow &&
      aOutOfServiceDataCentres.count(server.mInfo.mDataCentre) == 0;
    if (usable) {
      mCandidates.push_back(
        { &server, server.FreeCapacity(), {}, std::nullopt, false });
    }
  }
  for (Candidate& candidate : mCandidates) {
    mAll.push_back(&candidate);
  }
}

const Placement::Racks& Placement::CandidatesByRack()
{
  if (mRacks.empty()) {
    for (Candidate& candidate : mCandidates) {
      mRacks[candidate.mServer->mInfo.mRack].push_back(&candidate);
    }
  }
  return mRacks;
}

Placement::Candidate* Placement::Find(const base::ServerId& aServer)
{
  // The fleet lists its servers in the order of their ids.
  const auto found =
    std::lower_bound(mAll.begin(),
                     mAll.end(),
                     aServer,
                     [](const Candidate* aLeft, const base::ServerId& aRight) {
                       return aLeft->mServer->mInfo.mId < aRight;
                     });
  return found != mAll.end() && (*found)->mServer->mInfo.mId == aServer
           ? *found
           : nullptr;
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

bool Placement::IsRemote(const StepState& aStep, const Candidate& aCandidate)
{
  const auto& dataRack = aStep.Spec().mDataRack;
  return !dataRack.empty() && aCandidate.mServer->mInfo.mRack != dataRack;
}

Placement::Score Placement::ScoreOf(const StepState& aStep,
                                    int aIndex,
                                    const Candidate& aCandidate)
{
  const auto need = aStep.Spec().Footprint();
  const auto& info = aCandidate.mServer->mInfo;
  const Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  return { IsRemote(aStep, aCandidate),
           task.mFailedOn.count(info.mId) > 0,
           info.mWarmUpRemaining.count() > 0,
           aCandidate.mFree.mAccelerators - need.mAccelerators,
           aCandidate.mFree.mCpuMilli - need.mCpuMilli };
}

std::vector<Placement::Room> Placement::RoomsFor(
  const StepState& aStep,
  const std::vector<Candidate*>& aCandidates,
  bool aAllowRemote,
  bool aWhenIdle) const
{
  const auto need = aStep.Spec().Footprint();
  const auto limit = aStep.Spec().mMaxPerServer;
  const auto tasksPerServer = TasksPerServer(aStep);
  std::vector<Room> rooms;
  for (Candidate* candidate : aCandidates) {
    const auto& info = candidate->mServer->mInfo;
    const auto& free = aWhenIdle ? info.mCapacity : candidate->mFree;
    if (!need.FitsIn(free) || !IsEligible(aStep, *candidate) ||
        (!aWhenIdle && IsKeptFrom(aStep, *candidate)) ||
        (!aAllowRemote && IsRemote(aStep, *candidate))) {
      continue;
    }
    std::int64_t tasks = need.CountIn(free);
    if (limit > 0) {
      const auto placed = tasksPerServer.find(info.mId);
      tasks = std::min<std::int64_t>(
        tasks, limit - (placed == tasksPerServer.end() ? 0 : placed->second));
    }
    if (tasks > 0) {
      rooms.push_back({ candidate, tasks });
    }
  }
  return rooms;
}

bool Placement::HasRoomFor(const std::vector<Room>& aRooms, std::size_t aTasks)
{
  std::int64_t left = static_cast<std::int64_t>(aTasks);
  for (const Room& room : aRooms) {
    left -= room.mTasks;
    if (left <= 0) {
      return true;
    }
  }
  return left <= 0;
}

Assignment Placement::PlaceSome(const StepState& aStep,
                                const std::vector<int>& aIndices,
                                bool aAllowRemote)
{
  if (!MayFit(aStep, 1)) {
    return {};
  }
  auto assignment =
    PlaceIn(aStep, aIndices, RoomsFor(aStep, mAll, aAllowRemote, false));
  if (assignment.size() < aIndices.size()) {
    RecordUnplaceable(aStep, 1, aAllowRemote);
  }
  return assignment;
}

void Placement::RecordUnplaceable(const StepState& aStep,
                                  std::size_t aTasks,
                                  bool aAllowRemote)
{
  const auto& spec = aStep.Spec();
  const bool anywhere = aAllowRemote || spec.mDataRack.empty();
  if (anywhere && spec.mMaxPerServer == 0) {
    mUnplaceable[{ aStep.mJob->mSpec.mRules.mService, spec.mRequiredLabel }]
      .emplace_back(spec.Footprint(), aTasks);
  }
}

bool Placement::MayFit(const StepState& aStep, std::size_t aTasks) const
{
  const auto failed = mUnplaceable.find(
    { aStep.mJob->mSpec.mRules.mService, aStep.Spec().mRequiredLabel });
  if (failed == mUnplaceable.end()) {
    return true;
  }
  const auto need = aStep.Spec().Footprint();
  return std::none_of(failed->second.begin(),
                      failed->second.end(),
                      [&need, aTasks](const auto& aFailed) {
                        return aFailed.second <= aTasks &&
                               aFailed.first.FitsIn(need);
                      });
}

Assignment Placement::PlaceIn(const StepState& aStep,
                              const std::vector<int>& aIndices,
                              std::vector<Room> aRooms)
{
  const auto need = aStep.Spec().Footprint();
  Assignment assignment;
  const auto take = [&](int aIndex, Room& aRoom) {
    Take(*aRoom.mCandidate, need);
    --aRoom.mTasks;
    assignment.emplace_back(aIndex, aRoom.mCandidate->mServer->mInfo.mId);
  };
  const bool sameForAll =
    std::all_of(aIndices.begin(), aIndices.end(), [&](int aIndex) {
      return aStep.mTasks[static_cast<std::size_t>(aIndex)].mFailedOn ==
             aStep.mTasks[static_cast<std::size_t>(aIndices.front())].mFailedOn;
    });
  if (!sameForAll) {
    for (const int index : aIndices) {
      Room* best = nullptr;
      Score bestScore;
      for (Room& room : aRooms) {
        const auto score = ScoreOf(aStep, index, *room.mCandidate);
        if (room.mTasks > 0 && (best == nullptr || score < bestScore)) {
          best = &room;
          bestScore = score;
        }
      }
      if (best == nullptr) {
        break;
      }
      take(index, *best);
    }
    return assignment;
  }
  // A room's score changes only when a task is placed there, so the best one is
  // kept on a heap, in the order of the candidates among equal scores.
  using Entry = std::pair<Score, std::size_t>;
  std::vector<Entry> heap;
  heap.reserve(aRooms.size());
  const auto push = [&](std::size_t aRoom, int aIndex) {
    heap.emplace_back(ScoreOf(aStep, aIndex, *aRooms[aRoom].mCandidate), aRoom);
  };
  if (aIndices.empty()) {
    return assignment;
  }
  for (std::size_t i = 0; i < aRooms.size(); ++i) {
    push(i, aIndices.front());
  }
  std::make_heap(heap.begin(), heap.end(), std::greater<>());
  for (const int index : aIndices) {
    if (heap.empty()) {
      break;
    }
    std::pop_heap(heap.begin(), heap.end(), std::greater<>());
    const auto room = heap.back().second;
    heap.pop_back();
    take(index, aRooms[room]);
    if (aRooms[room].mTasks > 0) {
      push(room, index);
      std::push_heap(heap.begin(), heap.end(), std::greater<>());
    }
  }
  return assignment;
}

std::optional<Assignment> Placement::PlaceAllOn(
  const StepState& aStep,
  const std::vector<int>& aIndices,
  const std::vector<Candidate*>& aCandidates,
  bool aAllowRemote)
{
  auto rooms = RoomsFor(aStep, aCandidates, aAllowRemote, false);
  if (!HasRoomFor(rooms, aIndices.size())) {
    return std::nullopt;
  }
  return PlaceIn(aStep, aIndices, std::move(rooms));
}

std::optional<Assignment> Placement::PlaceAll(const StepState& aStep,
                                              const std::vector<int>& aIndices,
                                              bool aAllowRemote)
{
  if (!MayFit(aStep, aIndices.size())) {
    return std::nullopt;
  }
  if (aStep.Spec().mSameRack) {
    auto assignment = PlaceInOneRack(aStep, aIndices);
    if (assignment || !aAllowRemote) {
      return assignment;
    }
  }
  auto assignment = PlaceAllOn(aStep, aIndices, mAll, aAllowRemote);
  if (!assignment) {
    RecordUnplaceable(aStep, aIndices.size(), aAllowRemote);
  }
  return assignment;
}

std::optional<Assignment> Placement::PlaceInOneRack(
  const StepState& aStep,
  const std::vector<int>& aIndices)
{
  // Use a rack with enough servers on which the gang has not failed, and of
  // these the one with the least capacity left, so that other racks stay free
  // as a whole.
  const auto& failedOn =
    aStep.mTasks[static_cast<std::size_t>(aIndices.front())].mFailedOn;
  const std::vector<Candidate*>* best = nullptr;
  std::pair<bool, std::int64_t> bestRank;
  for (const auto& [rack, candidates] : CandidatesByRack()) {
    if (!aStep.Spec().mDataRack.empty() && rack != aStep.Spec().mDataRack) {
      continue;
    }
    std::int64_t accelerators = 0;
    for (const Candidate* candidate : candidates) {
      accelerators += candidate->mFree.mAccelerators;
    }
    if (best != nullptr && bestRank <= std::make_pair(false, accelerators)) {
      continue;
    }
    auto rooms = RoomsFor(aStep, candidates, true, false);
    if (!HasRoomFor(rooms, aIndices.size())) {
      continue;
    }
    std::erase_if(rooms, [&failedOn](const Room& aRoom) {
      return failedOn.count(aRoom.mCandidate->mServer->mInfo.mId) > 0;
    });
    const std::pair<bool, std::int64_t> rank{
      !HasRoomFor(rooms, aIndices.size()), accelerators
    };
    if (best == nullptr || rank < bestRank) {
      bestRank = rank;
      best = &candidates;
    }
  }
  return best == nullptr ? std::nullopt
                         : PlaceAllOn(aStep, aIndices, *best, true);
}

std::optional<Assignment> Placement::PlaceOnExpectedCapacity(
  const StepState& aStep,
  const std::vector<int>& aIndices,
  bool aAllowRemote,
  const ExpectedCompletionsOf& aExpectedCompletions,
  base::Duration& aWait)
{
  // What does not fit on future capacity says nothing about the present one, so
  // mUnplaceable is set aside during the search.
  const auto unplaceable = std::exchange(mUnplaceable, {});
  std::optional<Assignment> assignment;
  base::Duration previousHorizon = base::Duration::min();
  for (const auto horizon : kReservationHorizons) {
    for (Candidate& candidate : mCandidates) {
      for (const auto& completion :
           CompletionsOn(candidate, aExpectedCompletions)) {
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
  for (Candidate& candidate : mCandidates) {
    for (const auto& completion : *candidate.mExpectedCompletions) {
      if (completion.mAfter <= previousHorizon) {
        candidate.mFree -= completion.mFreed;
      }
    }
  }
  mUnplaceable = unplaceable;
  return assignment;
}

void Placement::Deduct(const base::ServerId& aServer,
                       const jobs::Resources& aNeed)
{
  if (Candidate* candidate = Find(aServer)) {
    Take(*candidate, aNeed);
  }
}

bool Placement::Fits(const base::ServerId& aServer,
                     const jobs::Resources& aNeed)
{
  const Candidate* candidate = Find(aServer);
  return candidate != nullptr && aNeed.FitsIn(candidate->mFree);
}

bool Placement::IsUsableFor(const StepState& aStep,
                            const base::ServerId& aServer)
{
  const Candidate* candidate = Find(aServer);
  return candidate != nullptr && IsEligible(aStep, *candidate);
}

} // namespace flamingoloom::scheduler
