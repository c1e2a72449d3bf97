// Blocks that are kept for a waiting gang, and when running work is expected to
// make room for it.
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

  // Whether the job must keep off the blocks: it is another one and is
  // expected to run beyond the start of the reservation.
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

// The ends of all allocations in order of time. Work that overruns is expected
// to take as long again as it has overrun, and at least one second.
std::vector<ExpectedCompletion> ExpectedCompletions(
  const AllocationTable& aTable,
  base::Time aNow);

} // namespace flamingoloom::placement
