#include <doctest/doctest.h>

#include <algorithm>

#include "testing/platform_world/instance_group.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The size of the platform's largest deployment, with the link between its
// regions, 150 Mbit/s for all traffic.
constexpr double kRegionLinkBytesPerSecond = 150e6 / 8;
constexpr int kNearInstances = 75;
constexpr int kRemoteInstances = 75;
constexpr int kInstances = kNearInstances + kRemoteInstances;
constexpr int kQueues = 3000;

struct Observed
{
  // The fewest instances that were ready at any moment.
  int mMinReady = kInstances;
  std::size_t mLinkBytes = 0;
};

// Plays aDuration while the store forgets its history every aInterval.
Observed Observe(InstanceGroup& aGroup,
                 base::Duration aDuration,
                 base::Duration aInterval)
{
  constexpr auto kStep = milliseconds(100);
  Observed observed;
  const auto bytesBefore = aGroup.LinkBytes();
  for (base::Duration elapsed{ 0 }; elapsed < aDuration; elapsed += kStep) {
    if (elapsed % aInterval == base::Duration(0)) {
      aGroup.ForgetHistory();
    }
    aGroup.RunFor(kStep);
    observed.mMinReady = std::min(observed.mMinReady, aGroup.CountReady());
  }
  observed.mLinkBytes = aGroup.LinkBytes() - bytesBefore;
  return observed;
}

std::size_t BytesOfAllTables()
{
  return kRemoteInstances * EncodeTestConfiguration(1, kQueues).size();
}

// Every watch fails at the same moment. If each instance then reads the
// operators' table in full, the link between the regions is busy for seconds.
TEST_CASE("A forgotten history costs less than a full read by each instance")
{
  InstanceGroup group(
    kNearInstances, kRemoteInstances, kRegionLinkBytesPerSecond);
  group.Configure(1, kQueues);
  group.RunFor(seconds(20));
  REQUIRE(group.CountReady() == kInstances);
  const auto observed = Observe(group, seconds(12), seconds(3));
  CHECK(observed.mMinReady == kInstances);
  CHECK(observed.mLinkBytes < BytesOfAllTables() / 2);
}

TEST_CASE("Versions still arrive in time while the history is forgotten")
{
  constexpr auto kTimeToApply = milliseconds(5000);
  InstanceGroup group(
    kNearInstances, kRemoteInstances, kRegionLinkBytesPerSecond);
  group.Configure(1, kQueues);
  group.RunFor(seconds(20));
  for (int version = 2; version <= 8; ++version) {
    group.Configure(version, kQueues + version);
    group.RunFor(milliseconds(150));
    group.ForgetHistory();
    group.RunFor(milliseconds(250));
  }
  group.RunFor(kTimeToApply - milliseconds(400));
  CHECK(group.CountWithVersion(8) == kInstances);
}

// Instances that wait for a successor must not all begin to read the table
// when one is about to confirm it.
TEST_CASE("A leader lost with the history costs no full read by most instances")
{
  InstanceGroup group(
    kNearInstances, kRemoteInstances, kRegionLinkBytesPerSecond);
  group.Configure(1, kQueues);
  group.RunFor(seconds(20));
  group.KillLeader();
  const auto observed = Observe(group, seconds(8), seconds(10));
  CHECK(observed.mLinkBytes < BytesOfAllTables() / 2);
  CHECK(group.CountReady() == kInstances - 1);
}

} // namespace
} // namespace flamingoloom::testing::platform_world
