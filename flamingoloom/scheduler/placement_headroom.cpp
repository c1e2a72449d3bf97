// Room that is kept for urgent work that is about to arrive.
#include "flamingoloom/scheduler/placement.h"

#include <algorithm>

namespace flamingoloom::scheduler {

namespace {

// With more of the accelerators free, urgent work finds room anyway, and less
// urgent work must not wait beside it.
constexpr std::int64_t kMaxFreePercent = 40;
// Above this part of the capacity, keeping it free would cost others more than
// stops do. Small fleets, of which a rack is a larger part, keep nothing.
constexpr std::int64_t kMaxHeldPercent = 12;

} // namespace

void Placement::KeepForUrgentWork(std::int64_t aAccelerators)
{
  struct RackRoom
  {
    std::int64_t mFree = 0;
    std::int64_t mCapacity = 0;
    const std::vector<Candidate*>* mCandidates = nullptr;
  };
  if (aAccelerators <= 0) {
    return;
  }
  std::vector<RackRoom> racks;
  RackRoom all;
  for (const auto& [rack, candidates] : CandidatesByRack()) {
    RackRoom room{ 0, 0, &candidates };
    for (const Candidate* candidate : candidates) {
      room.mFree += std::max<std::int64_t>(0, candidate->mFree.mAccelerators);
      room.mCapacity += candidate->mServer->mInfo.mCapacity.mAccelerators;
    }
    all.mFree += room.mFree;
    all.mCapacity += room.mCapacity;
    racks.push_back(room);
  }
  if (all.mFree * 100 > all.mCapacity * kMaxFreePercent) {
    return;
  }
  // Urgent gangs want one rack, so the racks with most room are kept as a
  // whole.
  std::stable_sort(racks.begin(),
                   racks.end(),
                   [](const RackRoom& aLeft, const RackRoom& aRight) {
                     return aLeft.mFree > aRight.mFree;
                   });
  std::int64_t held = 0;
  for (const RackRoom& room : racks) {
    if (held >= aAccelerators ||
        (held + room.mCapacity) * 100 > all.mCapacity * kMaxHeldPercent) {
      return;
    }
    held += room.mCapacity;
    for (Candidate* candidate : *room.mCandidates) {
      candidate->mForUrgentWork = true;
    }
  }
}

bool Placement::IsKeptFrom(const StepState& aStep, const Candidate& aCandidate)
{
  const auto& spec = aStep.Spec();
  return aCandidate.mForUrgentWork && aStep.mJob->mSpec.mRules.mPriority > 0 &&
         !spec.mLongRunning &&
         (spec.mDataRack.empty() || IsRemote(aStep, aCandidate));
}

} // namespace flamingoloom::scheduler
