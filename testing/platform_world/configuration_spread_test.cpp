#include <doctest/doctest.h>

#include "testing/platform_world/instance_group.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The link between two regions of the platform, 60 Mbit/s for all traffic.
constexpr double kRegionLinkBytesPerSecond = 60e6 / 8;
// Time that the platform allows from the store's acknowledgement of a
// configuration until each instance uses it.
constexpr auto kTimeToApply = milliseconds(4000);
constexpr int kNearInstances = 22;
constexpr int kRemoteInstances = 22;
constexpr int kInstances = kNearInstances + kRemoteInstances;
constexpr int kUsualQueues = 900;

// Read by each instance, the largest one takes the link three times as long.
TEST_CASE("A large configuration reaches remote instances in the time to apply")
{
  for (const int queuesMore : { 1400, 3000, 10000 }) {
    INFO("queues more: " << queuesMore);
    InstanceGroup group(
      kNearInstances, kRemoteInstances, kRegionLinkBytesPerSecond);
    group.Configure(1, kUsualQueues);
    group.RunFor(seconds(14));
    REQUIRE(group.CountWithVersion(1) == kInstances);
    group.Configure(2, kUsualQueues + queuesMore);
    group.RunFor(kTimeToApply);
    CHECK(group.CountWithVersion(2) == kInstances);
  }
}

// A version that changes one queue must not cost each instance the whole.
TEST_CASE("Versions in quick succession reach remote instances in time")
{
  InstanceGroup group(
    kNearInstances, kRemoteInstances, kRegionLinkBytesPerSecond);
  group.Configure(1, kUsualQueues + 3000);
  group.RunFor(seconds(14));
  REQUIRE(group.CountWithVersion(1) == kInstances);
  constexpr int kLastVersion = 12;
  for (int version = 2; version <= kLastVersion; ++version) {
    group.Configure(version, kUsualQueues + 3000 + version);
    group.RunFor(milliseconds(330));
  }
  group.RunFor(kTimeToApply - milliseconds(330));
  CHECK(group.CountWithVersion(kLastVersion) == kInstances);
}

TEST_CASE("A new version reaches all other instances when the leader is killed")
{
  InstanceGroup group(
    kNearInstances, kRemoteInstances, kRegionLinkBytesPerSecond);
  group.Configure(1, kUsualQueues);
  group.RunFor(seconds(14));
  REQUIRE(group.CountWithVersion(1) == kInstances);
  group.KillLeader();
  group.Configure(2, kUsualQueues + 1);
  group.RunFor(kTimeToApply);
  CHECK(group.CountWithVersion(2) == kInstances - 1);
}

// Transactions without a response may be applied at once, or seconds later.
TEST_CASE("Versions reach all instances although the store loses responses")
{
  constexpr int kVersions = 15;
  constexpr int kQueues = 3000;
  constexpr auto kQuietTime = seconds(12);
  for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
    INFO("seed " << seed);
    InstanceGroup group(
      kNearInstances, kRemoteInstances, kRegionLinkBytesPerSecond, seed);
    group.Configure(1, kQueues);
    group.RunFor(seconds(14));
    group.SetFaults(StoreFault::eLosesResponses);
    for (int version = 2; version <= kVersions; ++version) {
      group.Configure(version, kQueues + version);
      group.RunFor(milliseconds(400));
    }
    group.SetFaults(StoreFault::eNone);
    group.RunFor(kQuietTime);
    CHECK(group.CountWithVersion(kVersions) == kInstances);
    // Less than one reading of the operators' table by each remote instance.
    const auto bytesBefore = group.LinkBytes();
    group.Configure(kVersions + 1, kQueues);
    group.RunFor(kTimeToApply);
    CHECK(group.CountWithVersion(kVersions + 1) == kInstances);
    CHECK(group.LinkBytes() - bytesBefore <
          kRemoteInstances * EncodeTestConfiguration(1, kQueues).size());
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
