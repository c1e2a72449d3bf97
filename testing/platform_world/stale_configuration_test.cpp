#include <doctest/doctest.h>

#include "testing/platform_world/instance_group.h"

namespace flamingoloom::testing::platform_world {
namespace {

using node::CallerStatus;
using std::chrono::seconds;

constexpr double kFastLink = 1e9;

// An instance may have missed the version that added the queue or key.
TEST_CASE(
  "No caller is denied by a configuration that the store does not confirm")
{
  for (const auto fault :
       { StoreFault::eRejectsCalls, StoreFault::eUnresponsive }) {
    InstanceGroup group(2, 0, kFastLink);
    group.Configure(1, 1);
    group.RunFor(seconds(5));
    REQUIRE(group.QueryLength(0, "host1", "key").mCallerStatus ==
            CallerStatus::eNoSuchQueue);
    REQUIRE(group.QueryLength(0, "host0", "other").mCallerStatus ==
            CallerStatus::eUnknownKey);
    group.SetFault(0, fault);
    group.Configure(2, 2);
    group.RunFor(seconds(4));
    CHECK(group.QueryLength(0, "host1", "key").mCallerStatus ==
          CallerStatus::eRetryLater);
    CHECK(group.QueryLength(0, "host0", "other").mCallerStatus ==
          CallerStatus::eRetryLater);
    group.SetFault(0, StoreFault::eNone);
    group.RunFor(seconds(1));
    CHECK(group.QueryLength(0, "host1", "key").mCallerStatus !=
          CallerStatus::eNoSuchQueue);
    CHECK(group.QueryLength(0, "host2", "key").mCallerStatus ==
          CallerStatus::eNoSuchQueue);
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
