// How long steps wait for capacity near their data, or in one rack.
#include <doctest/doctest.h>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

// The platform's limit for work that stands beside plenty of idle capacity.
constexpr auto kMaxWaitBesideRoom = seconds(3);
constexpr auto kPassInterval = milliseconds(50);
constexpr int kAcceleratorsPerServer = 8;

// A rack r1 of two servers, and a rack r2.
struct LocalityFixture : Fixture
{
  explicit LocalityFixture(int aServersElsewhere)
  {
    AddServers(2, "r1");
    AddServers(aServersElsewhere, "r2", 2);
  }

  // A job of two tasks that each take a whole server of r1.
  static jobs::JobSpec MakeLocalJob(base::Duration aEstimate, bool aGang)
  {
    auto job = MakeJob("local", 2, kAcceleratorsPerServer);
    job.mRules.mTargetLatency = milliseconds(1200);
    job.mSteps[0].mDataRack = "r1";
    job.mSteps[0].mEstimate = aEstimate;
    job.mSteps[0].mGang = aGang;
    return job;
  }

  // Starts tasks that fill as many servers of a rack.
  std::vector<StartCommand> Fill(const char* aRack,
                                 int aServers,
                                 base::Duration aEstimate,
                                 bool aLongRunning = false)
  {
    auto job =
      MakeJob(std::string("fill ") + aRack, aServers, kAcceleratorsPerServer);
    job.mSteps[0].mDataRack = aRack;
    job.mSteps[0].mEstimate = aEstimate;
    job.mSteps[0].mLongRunning = aLongRunning;
    Add(job);
    return StartAll();
  }

  // Runs passes until tasks start, or for aTime. Returns the starts.
  std::vector<StartCommand> RunPassesFor(base::Duration aTime)
  {
    std::vector<StartCommand> starts;
    const auto end = mNow + aTime;
    while (starts.empty() && mNow + kPassInterval <= end) {
      // A pass of the fixture takes some of the interval.
      mNow += kPassInterval - milliseconds(10);
      starts = StartAll();
    }
    return starts;
  }

  std::string RackOf(const StartCommand& aStart) const
  {
    return mScheduler.ServerFleet().Find(aStart.mServer)->mInfo.mRack;
  }
};

// Guards against a step that stands still while it can be in time near its data
// only, though long work holds the servers there and others are idle.
TEST_CASE("A step leaves the rack of its data when others are idle")
{
  for (const bool gang : { false, true }) {
    for (const int estimate : { 1, 2, 4, 6, 60 }) {
      INFO("gang: " << gang << ", estimate in s: " << estimate);
      LocalityFixture f(8);
      REQUIRE(f.Fill("r1", 2, seconds(2), true).size() == 2);
      f.Add(LocalityFixture::MakeLocalJob(seconds(estimate), gang));
      const auto starts = f.RunPassesFor(kMaxWaitBesideRoom);
      REQUIRE(starts.size() == 2);
      CHECK(f.RackOf(starts[0]) == "r2");
      CHECK(f.RackOf(starts[1]) == "r2");
    }
  }
}

// Guards against a gang that stands still as no rack has room for all members,
// though several racks together have.
TEST_CASE("A same-rack gang uses several racks when these are idle")
{
  for (const int estimate : { 1, 2, 4, 6, 60 }) {
    INFO("estimate in s: " << estimate);
    Fixture f;
    f.AddServers(4, "r1");
    f.AddServers(4, "r2", 4);
    f.AddServers(4, "r3", 8);
    for (const char* rack : { "r1", "r2", "r3" }) {
      auto service = Fixture::MakeJob(rack, 1, kAcceleratorsPerServer);
      service.mSteps[0].mLongRunning = true;
      service.mSteps[0].mDataRack = rack;
      f.Add(service);
    }
    REQUIRE(f.StartAll().size() == 3);
    auto gang = LocalityFixture::MakeLocalJob(seconds(estimate), true);
    gang.mSteps[0].mTaskCount = 4;
    gang.mSteps[0].mDataRack.clear();
    gang.mSteps[0].mSameRack = true;
    f.Add(gang);
    std::size_t started = 0;
    for (base::Duration waited{ 0 };
         waited + kPassInterval <= kMaxWaitBesideRoom && started == 0;
         waited += kPassInterval) {
      f.mNow += kPassInterval - milliseconds(10);
      started = f.StartAll().size();
    }
    CHECK(started == 4);
  }
}

// Guards against waiting for work near the data that is always about to end.
TEST_CASE("A step does not wait for work that exceeds its estimate")
{
  for (const bool gang : { false, true }) {
    LocalityFixture f(8);
    REQUIRE(f.Fill("r1", 2, milliseconds(500)).size() == 2);
    f.Add(LocalityFixture::MakeLocalJob(seconds(4), gang));
    const auto starts = f.RunPassesFor(kMaxWaitBesideRoom);
    REQUIRE(starts.size() == 2);
    CHECK(f.RackOf(starts[0]) == "r2");
  }
}

// Guards against work that stands still after the load has gone down, as it did
// not wait beside idle capacity before.
TEST_CASE("A step leaves the rack of its data once others have become idle")
{
  LocalityFixture f(8);
  REQUIRE(f.Fill("r1", 2, seconds(2), true).size() == 2);
  const auto elsewhere = f.Fill("r2", 8, seconds(6));
  REQUIRE(elsewhere.size() == 8);
  f.Add(LocalityFixture::MakeLocalJob(seconds(6), true));
  REQUIRE(f.RunPassesFor(seconds(5)).empty());
  for (const auto& start : elsewhere) {
    f.ReportDone({ start });
  }
  CHECK(f.RunPassesFor(kMaxWaitBesideRoom).size() == 2);
}

// Guards against tasks that take a multiple of their run time from others.
TEST_CASE("A step waits for the rack of its data while the fleet is busy")
{
  for (const bool gang : { false, true }) {
    LocalityFixture f(16);
    REQUIRE(f.Fill("r1", 2, seconds(2), true).size() == 2);
    REQUIRE(f.Fill("r2", 11, seconds(60)).size() == 11);
    f.Add(LocalityFixture::MakeLocalJob(seconds(6), gang));
    CHECK(f.RunPassesFor(seconds(8)).empty());
  }
}

// Guards against many steps that fill the fleet together, as each counts it as
// idle.
TEST_CASE("Steps leave the rack of their data only until the fleet is busy")
{
  // Of 20 servers, two are held; what follows needs 18.
  constexpr int kJobs = 9;
  constexpr std::size_t kMostUsed = 14;
  LocalityFixture f(18);
  REQUIRE(f.Fill("r1", 2, seconds(2), true).size() == 2);
  for (int i = 0; i < kJobs; ++i) {
    auto job = LocalityFixture::MakeLocalJob(seconds(6), i % 2 == 0);
    job.mId += std::to_string(i);
    f.Add(job);
  }
  CHECK(f.RunPassesFor(kMaxWaitBesideRoom).size() + 2 == kMostUsed);
  CHECK(f.RunPassesFor(kMaxWaitBesideRoom).empty());
}

// Guards against running elsewhere, which takes a multiple of the time, right
// before the capacity near the data becomes free.
TEST_CASE("A step waits for capacity near its data that is free soon")
{
  for (const bool gang : { false, true }) {
    for (const int freeAfterMs : { 700, 1400, 1700 }) {
      INFO("gang: " << gang << ", free after ms: " << freeAfterMs);
      const auto freeAfter = milliseconds(freeAfterMs);
      LocalityFixture f(8);
      const auto running = f.Fill("r1", 2, freeAfter);
      REQUIRE(running.size() == 2);
      f.Add(LocalityFixture::MakeLocalJob(seconds(6), gang));
      CHECK(f.RunPassesFor(freeAfter).empty());
      for (const auto& start : running) {
        f.ReportDone({ start });
      }
      const auto starts = f.RunPassesFor(kPassInterval);
      REQUIRE(starts.size() == 2);
      CHECK(f.RackOf(starts[0]) == "r1");
      CHECK(f.RackOf(starts[1]) == "r1");
    }
  }
}

} // namespace
} // namespace flamingoloom::scheduler
