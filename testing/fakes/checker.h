// Invariant checker: verifies the properties P1 to P9 on the history of a run.
//
//   P1  A request starts within the bound that the run states for it.
//   P2  The tasks of a gang run together or not at all.
//   P3  No task starts in a data centre after its take-out was acknowledged.
//   P4  A caller receives the whole answer to its own request, and the final
//       state of a durable request does not change.
//   P5  A request that is reported as not run never starts, and one that is
//       reported as run has started.
//   P6  A request that is not idempotent starts at most once.
//   P7  A draining backend server receives no new tasks.
//   P8  A planned stop waits for the requests in progress and makes none fail.
//   P9  An accepted configuration takes effect in time and is never reverted.
//
// The checker is independent of how instances work: it compares the responses
// that callers and operators received with what the backend servers did.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/base/time.h"
#include "testing/fakes/history.h"

namespace flamingoloom::testing::fakes {

// Upper bounds for the checks. A bound marked "fault-free" counts only time
// without an active fault and starts anew when a fault ends.
struct Limits
{
  base::Duration mMaxStartAfterTakeOut = std::chrono::seconds(3);
  base::Duration mMaxStartAfterDrain = std::chrono::seconds(3);
  base::Duration mMaxConfigurationDelay = std::chrono::seconds(7);
  // Fault-free. A takeover takes 4.5 s plus a rank delay of up to 3 s; then the
  // new owner reads the records and stops the remaining tasks of a gang.
  base::Duration mMaxPartialGangTime = std::chrono::seconds(10);
  // Fault-free. Applies to accepted durable requests and to planned stops.
  base::Duration mMaxCompletionTime = std::chrono::seconds(30);
};

struct Violation
{
  // "P1" to "P9"; "lost" for an accepted request that does not end, "stop" for
  // a planned stop that does not end, "expect" for a failed expectation.
  std::string mRule;
  base::Time mTime;
  std::string mText;
};

// Returns all violations in the order of the rules. A pure function, safe to
// call from several threads.
std::vector<Violation> Check(const History& aHistory,
                             const Limits& aLimits = {});

} // namespace flamingoloom::testing::fakes
