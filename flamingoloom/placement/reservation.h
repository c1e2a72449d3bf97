// Blocks that are reserved for a waiting gang, and the times at which running
// work is expected to release its blocks.
//
// Immutable value types; pure functions.
#pragma once

#include <vector>

#include "flamingoloom/placement/allocation_table.h"
#include "flamingoloom/placement/work.h"

namespace flamingoloom::placement {

struct Reservation
{
  base::RequestId mRequest;
  std::vector<Range> mBlocks;
  base::Time mStart;

  // Returns whether the job must not use the blocks: it is not the job of the
  // reservation and is expected to run beyond the start of the reservation.
  bool AppliesTo(const Job& aJob, base::Time aNow) const
  {
    return aJob.mRequest != mRequest && aNow + aJob.mExpectedRunTime > mStart;
  }

  friend bool operator==(const Reservation&, const Reservation&) = default;
};

struct ExpectedCompletion
{
  base::Time mTime;
  AllocationTable::Index mIndex = AllocationTable::kNone;

  friend auto operator<=>(const ExpectedCompletion&,
                          const ExpectedCompletion&) = default;
  friend bool operator==(const ExpectedCompletion&,
                         const ExpectedCompletion&) = default;
};

// Returns the expected completions of all allocations in ascending order of
// time. Work that has overrun its expected end is expected to run for as long
// again as it has overrun, and for at least one second.
std::vector<ExpectedCompletion> ExpectedCompletions(
  const AllocationTable& aTable,
  base::Time aNow);

} // namespace flamingoloom::placement
