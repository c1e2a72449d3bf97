// Chooses the backend server of an unrecorded request among the servers with
// free credits.
//
// Servers in nearer data centres are preferred; within a data centre, servers
// with a lower failure rate and fewer slots in use. Policies are types with a
// static Choose function, so that the benchmark's baseline runs through the
// same code. Thread-safe, since the policies have no state.
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
  // The request is idempotent and may be retried, so it may serve as a probe.
  bool mMayProbe = false;
  // Servers to which the request has already been sent.
  std::vector<base::ServerId> mTried;
  // 0 for the same data centre, 1 for the same region, 2 for another one.
  std::function<int(const base::DataCentreId&)> mDistance;
  // Random value that decides between servers that are otherwise equal.
  std::uint64_t mRandom = 0;
};

struct Route
{
  FreeSlot mSlot;
  bool mIsProbe = false;

  friend bool operator==(const Route&, const Route&) = default;
};

// Failure-weighted routing with ejection. Choose returns no value when no
// server is suitable.
struct WeightedRouting
{
  static std::optional<Route> Choose(const std::vector<FreeSlot>& aFree,
                                     const FailureTracker& aFailures,
                                     const RouteQuery& aQuery);
};

// Baseline for comparison: chooses the server with the fewest slots in use in
// the nearest data centre, regardless of failures.
struct LeastLoadedRouting
{
  static std::optional<Route> Choose(const std::vector<FreeSlot>& aFree,
                                     const FailureTracker& aFailures,
                                     const RouteQuery& aQuery);
};

} // namespace flamingoloom::dispatch
