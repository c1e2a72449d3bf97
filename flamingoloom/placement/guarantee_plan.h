// Assigns the guarantees of client accounts to data centres.
//
// Each data centre gets a list of shapes that it must be able to provide all
// at once. The lists are such that the data centres that remain when any one
// is out still provide every guarantee in full:
//
//   auto plan = PlanGuarantees(centres, {{AccountId("renders"), 16, 4}});
//   if (!plan) { Reject(plan.error()); }
//
// Pure function on value types; thread-safe.
#pragma once

#include <span>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/placement/layout.h"
#include "flamingoloom/placement/shape.h"

namespace flamingoloom::placement {

// mCount blocks of mShape adjacent accelerators for one client account.
struct Demand
{
  base::AccountId mAccount;
  int mShape = 0;
  int mCount = 0;

  friend auto operator<=>(const Demand&, const Demand&) = default;
  friend bool operator==(const Demand&, const Demand&) = default;
};

// A demand that one data centre must be able to meet: the maximum over the
// normal case and each case of one other data centre being out.
struct DataCentreAssignment
{
  base::DataCentreId mDataCentre;
  Demand mDemand;

  friend bool operator==(const DataCentreAssignment&,
                         const DataCentreAssignment&) = default;
};

// Shapes are rounded up with ShapeOf and demands of the same account and shape
// are added up. The result is ordered by data centre as in aCentres, then by
// falling shape. A single data centre is planned for the normal case only.
//
// Fails with eInvalid for a shape outside of 1 to 128, a negative count, a
// data centre that is repeated or has no accelerators, and for demands that do
// not fit; the last error names the account and the shape and says which count
// fits.
//
// An accepted plan always holds. In rare tight cases demands are rejected for
// which an exhaustive search would find a plan.
base::Expected<std::vector<DataCentreAssignment>> PlanGuarantees(
  std::span<const DataCentreCapacity> aDataCentres,
  std::span<const Demand> aDemands);

} // namespace flamingoloom::placement
