#include "flamingoloom/placement/preemption.h"

#include <algorithm>

namespace flamingoloom::placement {

namespace {

std::int64_t AcceleratorTimeOf(const AllocationTable::Entry& aEntry,
                               base::Time aNow)
{
  std::int64_t accelerators = 0;
  for (const HeldBlock& held : aEntry.mHeld) {
    accelerators += held.mBlock.Size();
  }
  return accelerators * (aNow - aEntry.mStarted).count();
}

} // namespace

std::vector<AllocationTable::Index> AllocationsWithin(
  const AllocationTable& aTable,
  const Block& aBlock,
  const std::vector<AllocationTable::Index>& aExcluded)
{
  std::vector<AllocationTable::Index> owners;
  AllocationTable::Index previous = AllocationTable::kNone;
  for (int i = aBlock.mPosition; i < aBlock.End(); ++i) {
    const AllocationTable::Index owner = aTable.OwnerOf(i);
    if (owner != previous && owner != AllocationTable::kNone &&
        std::ranges::find(owners, owner) == owners.end() &&
        std::ranges::find(aExcluded, owner) == aExcluded.end()) {
      owners.push_back(owner);
    }
    previous = owner;
  }
  return owners;
}

PreemptionCost CostOf(const AllocationTable& aTable,
                      const std::vector<AllocationTable::Index>& aVictims,
                      int aAccount,
                      base::Time aNow)
{
  PreemptionCost cost;
  for (const AllocationTable::Index index : aVictims) {
    const AllocationTable::Entry& entry = aTable.At(index);
    if (entry.mStopping) {
      continue;
    }
    const std::int64_t work = AcceleratorTimeOf(entry, aNow);
    cost.mOwnVictims += entry.mAccount == aAccount ? 1 : 0;
    cost.mLostWork += entry.mProperties.mCheckpointable ? 0 : work;
    cost.mInterruptedWork += entry.mProperties.mCheckpointable ? work : 0;
    ++cost.mVictims;
  }
  return cost;
}

} // namespace flamingoloom::placement
