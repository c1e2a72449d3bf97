// Chooses the backend server for a small request among free credits.
//
// Nearer data centres go first; within one, servers that fail less and have
// less in use. Policies are types with a Choose function, so that the baseline
// runs through the same code. Thread-safe: no state.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/dispatch/credit_pool.h"
#include "flamingoloom/dispatch/failure_tracker.h"

namespace flamingoloom::dispatch {

struct RouteQuery
{
  base::Time mNow{};
  // The request is idempotent and has another try left.
  bool mMayProbe = false;
  // Servers that have already been tried.
  std::vector<base::ServerId> mTried;
  // 0 for the same data centre, 1 for the same region, 2 for another one.
  std::function<int(const base::DataCentreId&)> mDistance;
  std::uint64_t mRandom = 0;
};

struct Route
{
  FreeSlot mSlot;
  bool mIsProbe = false;

  friend bool operator==(const Route&, const Route&) = default;
};

// Failure-weighted routing with ejection.
struct WeightedRouting
{
  static std::optional<Route> Choose(const std::vector<FreeSlot>& aFree,
                                     const FailureTracker& aFailures,
                                     const RouteQuery& aQuery);
};

// The baseline: the server with the least in use, whatever it fails.
struct LeastLoadedRouting
{
  static std::optional<Route> Choose(const std::vector<FreeSlot>& aFree,
                                     const FailureTracker& aFailures,
                                     const RouteQuery& aQuery);
};

} // namespace flamingoloom::dispatch
