// The instances' code under random faults: P1 no task runs twice, P2 nothing
// accepted is lost, P3 the order of steps, P4 cancelled work stops. Run by
// hand with FLAMINGOLOOM_SEEDS=N and FLAMINGOLOOM_FIRST_SEED=N for more.
#include <doctest/doctest.h>

#include <cstdlib>

#include "testing/platform_world/world.h"

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
  World world(options);
  world.Run();
  CHECK(world.Judge().Violations().empty());
  CHECK(world.Judge().Unfinished().empty());
  CHECK(world.Judge().Starts() > 0);
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
    World world(options);
    world.Run();
    INFO("seed " << seed << FirstLines(world.Judge().Violations())
                 << FirstLines(world.Judge().Unfinished()));
    CHECK(world.Judge().Violations().empty());
    CHECK(world.Judge().Unfinished().empty());
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
    options.mChange = [](node::InstanceSettings& aSettings) {
      aSettings.mLead.mKeepFinal = std::chrono::seconds(6);
    };
    World world(options);
    world.Run();
    INFO("seed " << seed << FirstLines(world.Judge().Violations()));
    CHECK(world.Judge().Violations().empty());
    std::size_t rows = world.Store()
                         .Read(jobs::kStateTable, jobs::kSchedulerPart, "", "")
                         .mRows.size() +
                       world.Store()
                         .Read(jobs::kRunTable, jobs::kSchedulerPart, "", "")
                         .mRows.size();
    for (const auto& part : jobs::JobParts()) {
      rows += world.Store().Read(jobs::kJobTable, part, "", "").mRows.size();
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
  options.mStored = {
    { jobs::PartOfJob(id),
      {},
      { { jobs::kJobTable, id, "unreadable", std::nullopt } } },
    { jobs::kSchedulerPart,
      {},
      { { jobs::kStateTable,
          id,
          jobs::EncodeState({ jobs::JobState::eRunning, {}, 0 }),
          std::nullopt } } }
  };
  World world(options);
  world.Run();
  CHECK(world.Store()
          .Read(jobs::kStateTable, jobs::kSchedulerPart, id, id + '\0')
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
    options.mLongestTask = std::chrono::seconds(12);
    options.mChange = [](node::InstanceSettings& aSettings) {
      // Clocks of servers are taken to run three times too fast.
      aSettings.mLead.mLink.mSlowestClock = 8.0;
    };
    World world(options);
    world.Run();
    violations += world.Judge().Violations().size();
  }
  CHECK(violations > 0);
}

} // namespace
} // namespace flamingoloom::testing::platform_world
