#include <doctest/doctest.h>

#include "testing/platform_world/instance_group.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kFastLink = 1e9;

// Each server writes its entry every 1.5 s. A leader that reads fewer changes a
// second than there are falls ever further behind, and starts work on servers
// that have said that they leave.
TEST_CASE("The leader keeps up with the entries of thousands of servers")
{
  constexpr int kServers = 900;
  constexpr int kRounds = 20;
  constexpr auto kRoundTime = milliseconds(450);
  constexpr auto kTimeToNotice = milliseconds(1000);
  InstanceGroup group(1, 0, kFastLink);
  group.Configure(1, 1);
  group.RunFor(seconds(5));
  for (int round = 0; round < kRounds; ++round) {
    group.PutUnreadableServers(kServers);
    group.RunFor(kRoundTime);
  }
  group.RunFor(kTimeToNotice);
  const int seen = group.CountEvents("server_unreadable");
  // A poll sees the last version of an entry that changed several times.
  CHECK(seen >= kServers * kRounds * 8 / 10);
  group.RunFor(seconds(20));
  CHECK(group.CountEvents("server_unreadable") == seen);
}

} // namespace
} // namespace flamingoloom::testing::platform_world
