// The instances' code under random faults: P1 no task runs twice, P2 nothing
// accepted is lost, P3 the order of steps, P4 cancelled work stops. Run by
// hand with FLAMINGOLOOM_SEEDS=N and FLAMINGOLOOM_FIRST_SEED=N for more.
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

// Guards against a path that does not serve at all.
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

// Guards against the promises breaking under combinations of faults that no
// single test names.
TEST_CASE("Random faults break no promise")
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

// Guards against tables that grow for ever, and against a job that is run
// again because its state is removed before the job itself.
TEST_CASE("Rows of ended jobs are removed and the jobs do not run again")
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

// Guards against a state that is removed, so that its caller is told of no such
// job, because the job itself was written by another build and cannot be read.
TEST_CASE("The state of a job that cannot be read is kept")
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

// Shows that the check for two runs sees them: a scheduler that takes leases
// for ended before they are starts tasks again that still run.
TEST_CASE("Leases that outlive what the scheduler believes are noticed")
{
  std::size_t violations = 0;
  for (std::uint64_t seed = 1; seed <= 60 && violations == 0; ++seed) {
    SimulationOptions options;
    options.mSeed = seed;
    // Long enough to run on behind a cut after the scheduler gave them up.
    options.mMaxTaskTime = std::chrono::seconds(12);
    options.mAdjustSettings = [](node::InstanceSettings& aSettings) {
      // Clocks of servers are taken to run three times too fast.
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
