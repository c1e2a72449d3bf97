// The cost of preempting the work that holds a block.
#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "flamingoloom/placement/allocation_table.h"

namespace flamingoloom::placement {

// Costs are compared member by member, in this order; the lowest cost loses the
// least work.
struct PreemptionCost
{
  // Victims of the client account that needs the block. Work of other accounts
  // is preempted first.
  int mOwnVictims = 0;
  // Accelerator time that must be repeated, in microseconds: the time of the
  // victims that cannot be checkpointed.
  std::int64_t mLostWork = 0;
  // Accelerator time of the victims that can be checkpointed, in microseconds,
  // so that those with the least work so far are preferred.
  std::int64_t mInterruptedWork = 0;
  int mVictims = 0;

  friend auto operator<=>(const PreemptionCost&,
                          const PreemptionCost&) = default;
  friend bool operator==(const PreemptionCost&,
                         const PreemptionCost&) = default;
};

// Returns the allocations that hold a part of the block, each once, except for
// those in aExcluded.
std::vector<AllocationTable::Index> AllocationsWithin(
  const AllocationTable& aTable,
  const Block& aBlock,
  const std::vector<AllocationTable::Index>& aExcluded);

// Returns the cost of preempting the allocations for work of aAccount.
// Allocations that are already stopping cost nothing.
PreemptionCost CostOf(const AllocationTable& aTable,
                      const std::vector<AllocationTable::Index>& aVictims,
                      int aAccount,
                      base::Time aNow);

} // namespace flamingoloom::placement
