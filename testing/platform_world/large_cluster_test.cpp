// The size of the platform's largest deployments: 150 instances, 1,200 servers.
//
// In seed 15 the store is slow while the leader's lease expires, and nearly all
// instances claim leadership within a second.
#include <doctest/doctest.h>

#include "testing/platform_world/cluster_simulation.h"

namespace flamingoloom::testing::platform_world {
namespace {

SimulationOptions LargeCluster(std::uint64_t aSeed)
{
  SimulationOptions options;
  options.mSeed = aSeed;
  options.mInstances = 150;
  options.mServers = 1200;
  // 30 a second.
  options.mJobs = 600;
  options.mLoadDuration = std::chrono::seconds(20);
  options.mQuietDuration = std::chrono::seconds(30);
  return options;
}

TEST_CASE("A large cluster completes every job")
{
  auto options = LargeCluster(1);
  options.mFaults = false;
  ClusterSimulation simulation(options);
  simulation.Run();
  CHECK(simulation.Invariants().Violations().empty());
  CHECK(simulation.Invariants().Unfinished().empty());
}

TEST_CASE("Random faults break no invariant of a large cluster")
{
  for (const std::uint64_t seed : { 2, 3, 4, 15 }) {
    INFO("seed " << seed);
    ClusterSimulation simulation(LargeCluster(seed));
    simulation.Run();
    CHECK(simulation.Invariants().Violations().empty());
    CHECK(simulation.Invariants().Unfinished().empty());
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
