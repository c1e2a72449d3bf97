// Covers work that runs beyond guarantees by claims of its client account.
//
// Needed when claims are not known: after a change of the owner, and when the
// guarantees have changed.
#pragma once

#include "flamingoloom/placement/allocation_table.h"
#include "flamingoloom/placement/capacity_state.h"

namespace flamingoloom::placement {

// Claims blocks that hold only work beyond guarantees of one client account,
// for its outstanding shapes, as long as no claim raises the accelerators that
// are missing. Several orders are tried until nothing is missing.
void CoverWorkWithClaims(AllocationTable& aTable, CapacityState& aCapacity);

} // namespace flamingoloom::placement
