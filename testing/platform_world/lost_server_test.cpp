// Work on servers that are lost for good, or cut off, around changes of leader.
#include <doctest/doctest.h>

#include "testing/platform_world/cluster_simulation.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Leases as on a platform that shortens them to 6 s.
SimulationOptions ShortLeases(std::uint64_t aSeed)
{
  SimulationOptions options;
  options.mSeed = aSeed;
  options.mAdjustSettings = [](node::InstanceSettings& aSettings) {
    aSettings.mLeader.mSession.mLease = seconds(6);
  };
  return options;
}

jobs::JobSpec LongJob(const std::string& aId, int aTasks, bool aGang)
{
  jobs::JobSpec job;
  job.mId = aId;
  job.mPayload = "work";
  jobs::StepSpec step;
  step.mTaskCount = aTasks;
  step.mPerTask = { 8000, 8000, 8 };
  step.mEstimate = seconds(60);
  step.mGang = aGang;
  job.mSteps = { step };
  return job;
}

struct LostServer
{
  explicit LostServer(std::uint64_t aSeed, bool aGang)
    : mSimulation(ShortLeases(aSeed))
  {
    mSimulation.RunFor(seconds(3));
    mSimulation.Submit(LongJob(kJob, aGang ? 3 : 1, aGang));
    mSimulation.RunFor(seconds(4));
    const auto servers = mSimulation.Invariants().ServersOf(kJob);
    REQUIRE(servers.size() == (aGang ? 3 : 1));
    mLostAt = mSimulation.Now();
    mSimulation.LoseServer(base::ServerId(*servers.begin()));
  }

  // Plays on for 30 s; returns how long after the loss the job has started
  // again.
  base::Duration TimeToRestart()
  {
    mSimulation.RunFor(seconds(30));
    const auto start = mSimulation.Invariants().LastStart(kJob);
    CHECK(mSimulation.Invariants().Violations().empty());
    return start && *start > mLostAt ? *start - mLostAt : seconds(30);
  }

  static constexpr const char* kJob = "00000000000000aa";
  ClusterSimulation mSimulation;
  base::Time mLostAt;
};

// The users' bound: 3 s beside room, after 4 s of calm.
constexpr auto kMaxTimeToRestart = seconds(7);

TEST_CASE("Work on a lost server starts again when its leases have ended")
{
  for (const bool gang : { false, true }) {
    LostServer play(1, gang);
    CHECK(play.TimeToRestart() < kMaxTimeToRestart);
  }
}

TEST_CASE("Work on a lost server waits no longer because of a planned change "
          "of leader")
{
  for (const bool gang : { false, true }) {
    for (int ms = 0; ms <= 6000; ms += 250) {
      LostServer play(2, gang);
      INFO("gang " << gang << ", change of leader after " << ms << " ms");
      play.mSimulation.RunFor(milliseconds(ms));
      REQUIRE(play.mSimulation.EndLeader(true));
      CHECK(play.TimeToRestart() < kMaxTimeToRestart);
    }
  }
}

TEST_CASE("A server that is lost right after a planned change of leader is "
          "treated like any other")
{
  for (int ms = 500; ms <= 12000; ms += 500) {
    ClusterSimulation simulation(ShortLeases(3));
    simulation.RunFor(seconds(3));
    simulation.Submit(LongJob(LostServer::kJob, 1, false));
    simulation.RunFor(seconds(4));
    REQUIRE(simulation.EndLeader(true));
    simulation.RunFor(milliseconds(ms));
    const auto servers = simulation.Invariants().ServersOf(LostServer::kJob);
    REQUIRE(servers.size() == 1);
    const auto lostAt = simulation.Now();
    simulation.LoseServer(base::ServerId(*servers.begin()));
    simulation.RunFor(seconds(30));
    INFO("lost " << ms << " ms after the change");
    CHECK(*simulation.Invariants().LastStart(LostServer::kJob) - lostAt <
          kMaxTimeToRestart);
    CHECK(*simulation.Invariants().LastStart(LostServer::kJob) > lostAt);
  }
}

TEST_CASE("Each change of leader does not begin the wait for a lost server "
          "anew")
{
  LostServer play(4, true);
  for (int i = 0; i < 8; ++i) {
    play.mSimulation.RunFor(milliseconds(900));
    play.mSimulation.EndLeader(true);
  }
  CHECK(play.TimeToRestart() < kMaxTimeToRestart);
}

// A killed leader may have granted leases for 12 s without the store, on a
// clock that may be 2% slow, after its own of 1.5 s.
TEST_CASE("A second killed leader does not begin the wait anew")
{
  LostServer play(5, false);
  REQUIRE(play.mSimulation.EndLeader(false));
  play.mSimulation.RunFor(seconds(8));
  REQUIRE(play.mSimulation.EndLeader(false));
  CHECK(play.TimeToRestart() < seconds(15));
}

TEST_CASE("Changes of leader in series start no work of a server twice that "
          "is cut off and works on")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    auto options = ShortLeases(seed);
    options.mServers = 8;
    ClusterSimulation simulation(options);
    fakes::VirtualClock random(seed + 1000);
    simulation.RunFor(seconds(3));
    for (int i = 0; i < 6; ++i) {
      simulation.Submit(
        LongJob("00000000000000b" + std::to_string(i), 1 + i % 2, i % 2 == 1));
    }
    simulation.RunFor(seconds(2));
    for (int i = 0; i < 25; ++i) {
      if (random.Chance(0.5)) {
        simulation.EndLeader(random.Chance(0.7));
      }
      if (random.Chance(0.4)) {
        simulation.CutServer(
          base::ServerId("s" + std::to_string(random.Random() % 8)),
          random.Between(milliseconds(300), milliseconds(14000)));
      }
      simulation.RunFor(random.Between(milliseconds(50), milliseconds(3000)));
    }
    simulation.RunFor(seconds(100));
    CHECK(simulation.Invariants().Violations().empty());
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
