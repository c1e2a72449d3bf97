// Assigns the guarantees of client accounts to data centres.
//
// Each data centre is assigned a list of shapes that it must be able to provide
// all at once. When any one data centre is out of service, the others still
// provide every guarantee in full:
//
//   auto plan = PlanGuarantees(dataCentres, {{AccountId("renders"), 16, 4}});
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

// A guarantee of mCount blocks of mShape adjacent accelerators each for one
// client account.
struct Demand
{
  base::AccountId mAccount;
  int mShape = 0;
  int mCount = 0;

  friend auto operator<=>(const Demand&, const Demand&) = default;
  friend bool operator==(const Demand&, const Demand&) = default;
};

// A demand that one data centre must be able to meet. It covers normal
// operation and each case of one other data centre being out of service; the
// counts are the maximum over these cases.
struct DataCentreAssignment
{
  base::DataCentreId mDataCentre;
  Demand mDemand;

  friend bool operator==(const DataCentreAssignment&,
                         const DataCentreAssignment&) = default;
};

// Shapes are rounded up with ShapeOf, and demands of the same account and shape
// are added up. The result is ordered by data centre as in aDataCentres, then
// by falling shape. A single data centre is planned without the loss of a data
// centre.
//
// Fails with eInvalid for a shape outside of 1 to 128, for a negative count,
// for a data centre that is listed twice or has no accelerators, and for
// demands that do not fit. The error for demands that do not fit names the
// account, the shape and the count that fits.
//
// An accepted plan always provides all guarantees. In rare cases, when the
// demands barely fit, they are rejected although an exhaustive search would
// find a plan.
base::Expected<std::vector<DataCentreAssignment>> PlanGuarantees(
  std::span<const DataCentreCapacity> aDataCentres,
  std::span<const Demand> aDemands);

} // namespace flamingoloom::placement
