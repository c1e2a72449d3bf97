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

// A leader that is told to stop while it still reads the rows has granted no
// lease, and passes on what it has read.
TEST_CASE("A leader that stops before it has restored the jobs does not begin "
          "the wait for a lost server anew")
{
  for (int ms = 0; ms <= 60; ms += 2) {
    LostServer play(6, false);
    const auto epoch = play.mSimulation.Epoch();
    play.mSimulation.RunFor(seconds(3));
    REQUIRE(play.mSimulation.EndLeader(true));
    while (play.mSimulation.Epoch() == epoch) {
      play.mSimulation.RunFor(milliseconds(1));
    }
    play.mSimulation.RunFor(milliseconds(ms));
    play.mSimulation.EndLeader(true);
    INFO("told to stop " << ms << " ms after its claim");
    CHECK(play.TimeToRestart() < kMaxTimeToRestart);
  }
}

// Work on a server that is cut off, as seen by the tests below.
struct CutServer
{
  explicit CutServer(std::uint64_t aSeed, const SimulationOptions& aOptions)
    : mSimulation(aOptions)
  {
    mSimulation.RunFor(seconds(3));
    mSimulation.Submit(LongJob(LostServer::kJob, 1, false));
    mSimulation.RunFor(seconds(4) + milliseconds(100 * aSeed));
    const auto servers = mSimulation.Invariants().ServersOf(LostServer::kJob);
    REQUIRE(servers.size() == 1);
    mServer = base::ServerId(*servers.begin());
  }

  ClusterSimulation mSimulation;
  base::ServerId mServer;
};

TEST_CASE("A server that comes back before its leases end keeps its work")
{
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    SimulationOptions options;
    options.mSeed = seed;
    CutServer play(seed, options);
    const auto start =
      play.mSimulation.Invariants().LastStart(LostServer::kJob);
    // The entry goes after 4.5 s, and leases are granted for 8 s, up to 2 s
    // before.
    play.mSimulation.CutServer(play.mServer, milliseconds(5400));
    play.mSimulation.RunFor(seconds(30));
    INFO("seed " << seed);
    CHECK(play.mSimulation.Invariants().LastStart(LostServer::kJob) == start);
    CHECK(play.mSimulation.Invariants().Violations().empty());
  }
}

TEST_CASE("A leader that is killed after a server came back leaves no bound "
          "that ends before the server's new lease")
{
  for (int ms = 0; ms <= 700; ms += 20) {
    CutServer play(7, ShortLeases(7));
    play.mSimulation.CutServer(play.mServer, milliseconds(5300));
    play.mSimulation.RunFor(milliseconds(5300 + ms));
    REQUIRE(play.mSimulation.EndLeader(false));
    play.mSimulation.CutServer(play.mServer, seconds(20));
    play.mSimulation.RunFor(seconds(30));
    INFO("killed " << ms << " ms after the server came back");
    CHECK(play.mSimulation.Invariants().Violations().empty());
  }
}

TEST_CASE("A leader that is killed before it has left bounds makes those of "
          "its predecessor void")
{
  for (int ms = 0; ms <= 500; ms += 10) {
    CutServer play(8, ShortLeases(8));
    auto& simulation = play.mSimulation;
    simulation.CutServer(play.mServer, milliseconds(5600));
    simulation.RunFor(milliseconds(5200));
    const auto epoch = simulation.Epoch();
    REQUIRE(simulation.EndLeader(true));
    while (simulation.Epoch() == epoch) {
      simulation.RunFor(milliseconds(1));
    }
    simulation.RunFor(milliseconds(ms));
    simulation.EndLeader(false);
    simulation.CutServer(play.mServer, seconds(20));
    simulation.RunFor(seconds(30));
    INFO("killed " << ms << " ms after its claim");
    CHECK(simulation.Invariants().Violations().empty());
  }
}

TEST_CASE("A server that is cut off right after its first response to a leader "
          "works on under its earlier lease")
{
  for (int ms = 0; ms <= 60; ++ms) {
    CutServer play(9, ShortLeases(9));
    auto& simulation = play.mSimulation;
    const auto epoch = simulation.Epoch();
    REQUIRE(simulation.EndLeader(true));
    while (simulation.Epoch() == epoch) {
      simulation.RunFor(milliseconds(1));
    }
    simulation.RunFor(milliseconds(ms));
    simulation.CutServer(play.mServer, seconds(20));
    simulation.RunFor(seconds(30));
    INFO("cut off " << ms << " ms after the claim");
    CHECK(simulation.Invariants().Violations().empty());
  }
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
