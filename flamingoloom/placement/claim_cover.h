// Assigns claims to running work that holds blocks beyond the guarantee of its
// client account.
//
// This is needed when the claims are not known: after a takeover by a new
// owner, and when the guarantees have changed.
#pragma once

#include "flamingoloom/placement/allocation_table.h"
#include "flamingoloom/placement/capacity_state.h"

namespace flamingoloom::placement {

// Claims, for outstanding shapes of each client account, blocks whose
// non-preemptible work is beyond the guarantee and belongs only to that
// account. A claim is added only if it does not raise the total number of
// accelerators in the deficit. Combinations of claims are evaluated until the
// deficit is zero or a bounded effort is spent; the best one is applied to both
// arguments.
void CoverWorkWithClaims(AllocationTable& aTable, CapacityState& aCapacity);

} // namespace flamingoloom::placement
