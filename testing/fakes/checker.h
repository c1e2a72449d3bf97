// Judges the invariants P2..P9 of the design on the history of one run, and
// P1 where the run states a bound.
//
// The checker knows nothing of how instances work: it compares what callers
// and operators were told with what the backend servers did.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/base/time.h"
#include "testing/fakes/history.h"

namespace flamingoloom::testing::fakes {

// Bounds marked "quiet" count only time in which no fault is active; a fault
// starts them anew.
struct Limits
{
  base::Duration mStartAfterTakeOut = std::chrono::seconds(3);
  base::Duration mStartAfterLeaving = std::chrono::seconds(3);
  base::Duration mConfigurationSpread = std::chrono::seconds(7);
  // Quiet. A take-over takes 4.5 s and up to 3 s of rank delay; then the new
  // owner reads the records and stops what is left of a gang.
  base::Duration mPartialGang = std::chrono::seconds(10);
  // Quiet, for accepted durable requests and for planned stops.
  base::Duration mRequestEnd = std::chrono::seconds(30);
};

struct Violation
{
  // "P2".."P9", "P1", "lost", "stop" or "expect".
  std::string mRule;
  base::Time mTime;
  std::string mText;
};

// All violations, by rule. Pure; thread-safe.
std::vector<Violation> Check(const History& aHistory,
                             const Limits& aLimits = {});

} // namespace flamingoloom::testing::fakes
