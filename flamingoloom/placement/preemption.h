// What it costs to preempt the work that holds a block.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "flamingoloom/placement/allocation_table.h"

namespace flamingoloom::placement {

// Compared member by member: the smallest cost loses the least work.
struct PreemptionCost
{
  // Victims of the client account itself; others' work is taken first.
  int mOwnVictims = 0;
  // Accelerator time that is done again, in microseconds: that of victims
  // which cannot be checkpointed.
  std::int64_t mLostWork = 0;
  // Accelerator time of the victims that are checkpointed, so that the
  // youngest are preferred.
  std::int64_t mInterruptedWork = 0;
  int mVictims = 0;

  friend auto operator<=>(const PreemptionCost&,
                          const PreemptionCost&) = default;
  friend bool operator==(const PreemptionCost&,
                         const PreemptionCost&) = default;
};

// The allocations with a part in the block, each once, without aExcluded.
std::vector<AllocationTable::Index> AllocationsWithin(
  const AllocationTable& aTable,
  const Block& aBlock,
  const std::vector<AllocationTable::Index>& aExcluded);

// Cost of ending the allocations on behalf of aAccount. Those that are stopping
// already cost nothing.
PreemptionCost CostOf(const AllocationTable& aTable,
                      const std::vector<AllocationTable::Index>& aVictims,
                      int aAccount,
                      base::Time aNow);

} // namespace flamingoloom::placement
