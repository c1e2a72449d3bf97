// Runs the instances' code under random faults and checks the invariants: P1 no
// task runs twice, P2 no accepted job is lost, P3 steps start in order, P4
// cancelled jobs stop. Set FLAMINGOLOOM_SEEDS=N and FLAMINGOLOOM_FIRST_SEED=N
// to run more seeds.
#include <doctest/doctest.h>

#include <cstdlib>

#include "testing/platform_world/cluster_simulation.h"

namespace flamingoloom::testing::platform_world {
namespace {

std::uint64_t FromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? aDefault : std::strtoull(value, nullptr, 10);
}

std::string FirstLines(const std::vector<std::string>& aLines)
{
  std::string text;
  for (std::size_t i = 0; i < aLines.size() && i < 3; ++i) {
    text += "\n  " + aLines[i];
  }
  return text;
}

// Guards against a cluster that completes no jobs even without faults.
TEST_CASE("Without faults every job is completed")
{
  SimulationOptions options;
  options.mFaults = false;
  ClusterSimulation simulation(options);
  simulation.Run();
  CHECK(simulation.Invariants().Violations().empty());
  CHECK(simulation.Invariants().Unfinished().empty());
  CHECK(simulation.Invariants().Starts() > 0);
}

// Guards against invariants that break under combinations of faults which no
// single test covers.
TEST_CASE("Random faults break no invariant")
{
  const auto first = FromEnvironment("FLAMINGOLOOM_FIRST_SEED", 1);
  const auto count = FromEnvironment("FLAMINGOLOOM_SEEDS", 60);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    SimulationOptions options;
    options.mSeed = seed;
    ClusterSimulation simulation(options);
    simulation.Run();
    INFO("seed " << seed << FirstLines(simulation.Invariants().Violations())
                 << FirstLines(simulation.Invariants().Unfinished()));
    CHECK(simulation.Invariants().Violations().empty());
    CHECK(simulation.Invariants().Unfinished().empty());
  }
}

// Guards against tables that grow without bound, and against a job that runs
// again because its state row was removed before its job row.
TEST_CASE(
  "Rows of jobs in a final state are removed and the jobs do not run again")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulationOptions options;
    options.mSeed = seed;
    options.mFaults = seed > 1;
    options.mAdjustSettings = [](node::InstanceSettings& aSettings) {
      aSettings.mLeader.mFinalJobRetention = std::chrono::seconds(6);
    };
    ClusterSimulation simulation(options);
    simulation.Run();
    INFO("seed " << seed << FirstLines(simulation.Invariants().Violations()));
    CHECK(simulation.Invariants().Violations().empty());
    std::size_t rows =
      simulation.Store()
        .Read(jobs::kStateTable, jobs::kSchedulerPartition, "", "")
        .mRows.size() +
      simulation.Store()
        .Read(jobs::kStepTable, jobs::kSchedulerPartition, "", "")
        .mRows.size();
    for (const auto& partition : jobs::JobPartitions()) {
      rows += simulation.Store()
                .Read(jobs::kJobTable, partition, "", "")
                .mRows.size();
    }
    CHECK(rows == 0);
  }
}

// Guards against the removal of the state of a job that cannot be decoded
// because another build wrote it: its caller would be told that there is no
// such job.
TEST_CASE("The state of a job that cannot be decoded is kept")
{
  const std::string id = "00000000000000aa";
  SimulationOptions options;
  options.mFaults = false;
  options.mStoredRows = {
    { jobs::PartitionOfJob(id),
      {},
      { { jobs::kJobTable, id, "unreadable", std::nullopt } } },
    { jobs::kSchedulerPartition,
      {},
      { { jobs::kStateTable,
          id,
          jobs::EncodeState({ jobs::JobState::eRunning, {}, 0 }),
          std::nullopt } } }
  };
  ClusterSimulation simulation(options);
  simulation.Run();
  CHECK(simulation.Store()
          .Read(jobs::kStateTable, jobs::kSchedulerPartition, id, id + '\0')
          .mRows.size() == 1);
}

// Shows that the invariant checker detects a task that runs twice: a leader
// that assumes leases to have expired too early starts tasks again that still
// run.
TEST_CASE("Leases that last longer than the leader assumes are detected")
{
  std::size_t violations = 0;
  for (std::uint64_t seed = 1; seed <= 60 && violations == 0; ++seed) {
    SimulationOptions options;
    options.mSeed = seed;
    // Long enough for tasks to keep running on an unreachable server after the
    // leader has abandoned their attempts.
    options.mMaxTaskTime = std::chrono::seconds(12);
    options.mAdjustSettings = [](node::InstanceSettings& aSettings) {
      // The leader assumes that servers' clocks run at least eight times as
      // fast as its own.
      aSettings.mLeader.mSession.mMinClockRate = 8.0;
    };
    ClusterSimulation simulation(options);
    simulation.Run();
    violations += simulation.Invariants().Violations().size();
  }
  CHECK(violations > 0);
}

} // namespace
} // namespace flamingoloom::testing::platform_world
