// Servers that start again, do not respond, or come back after their work was
// given up.
#include <doctest/doctest.h>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

// Guards against a second run beside one whose lease an incarnation of the
// server has taken with an expiry by the clock of the one before.
TEST_CASE("The leases of a server that has restarted last as long as it allows")
{
  const auto maxLease = SchedulerSettings{}.mMaxServerLease;
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::MakeJob("a", 1, 1));
  const auto start = f.StartAll().at(0);
  // The bound of the incarnation before is earlier.
  f.mNow += maxLease / 2;
  f.mScheduler.OnServerRestarted(start.mServer);
  f.Report(start.mServer, { { start.mAttempt, "", 0 } }, {}, 2);
  const auto reportedAt = f.mNow;
  f.mScheduler.RecordLease(start.mServer, f.mNow + maxLease / 2);
  f.mScheduler.OnServerUnresponsive(f.mNow, start.mServer);
  f.mNow = reportedAt + maxLease - milliseconds(20);
  CHECK(f.RunPass().mStarts.empty());
  f.mNow = reportedAt + maxLease;
  CHECK(f.RunPass().mStarts.size() == 1);
}

// Guards against a second run beside one that an unknown incarnation of the
// server has begun.
TEST_CASE("An attempt whose start may stray is given up no sooner than that "
          "allows")
{
  for (const bool takenBack : { false, true }) {
    Fixture f;
    f.AddServers(2);
    f.Add(Fixture::MakeJob("a", 1, 1));
    const auto start = f.RunPass().mStarts.at(0);
    const auto straysUntil = f.mNow + seconds(22);
    f.mScheduler.OnStartMayStray(start, straysUntil);
    const auto leases = f.mScheduler.LeasesAtRelease(f.mNow, 10);
    CHECK(leases.ExpireBy(start.mServer) == straysUntil);
    CHECK(leases.Default() < straysUntil);
    if (takenBack) {
      f.mScheduler.OnStartMayStray(start, {});
    }
    f.mScheduler.OnServerUnresponsive(f.mNow, start.mServer);
    f.mNow = straysUntil - milliseconds(20);
    CHECK(f.RunPass().mStarts.size() == (takenBack ? 1 : 0));
    f.mNow = straysUntil;
    CHECK(f.RunPass().mStarts.size() == (takenBack ? 0 : 1));
  }
}

// Guards against a server that is never used again once its work was given up.
TEST_CASE("A listed server that does not respond is polled without work too")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::MakeJob("a", 1, 1));
  const auto start = f.StartAll().at(0);
  f.mScheduler.OnServerUnresponsive(f.mNow, start.mServer);
  f.mNow += seconds(13);
  REQUIRE(f.RunPass().mStarts.size() == 1);
  CHECK(f.mScheduler.NeedsReports(start.mServer));
  f.Report(start.mServer, {}, {});
  CHECK_FALSE(f.mScheduler.NeedsReports(start.mServer));
}

// Guards against work that is done twice, or thrown away, after its server was
// cut off.
TEST_CASE("A late completion counts, and the attempt after it is stopped")
{
  for (const bool started : { false, true }) {
    Fixture f;
    f.AddServers(2);
    f.Add(Fixture::MakeJob("a", 1, 1));
    const auto start = f.StartAll().at(0);
    f.mScheduler.OnServerUnresponsive(f.mNow, start.mServer);
    f.mNow += seconds(13);
    const auto restart = f.RunPass().mStarts.at(0);
    if (started) {
      f.mScheduler.OnStart(f.mNow, restart, StartResult::eStarted, false);
    }
    f.Report(
      start.mServer, {}, { { 1, start.mAttempt, TaskEndReason::eDone, "" } });
    CHECK(f.State("a") == JobState::eCompleted);
    const auto commands = f.RunPass();
    CHECK(commands.mStarts.empty());
    REQUIRE(commands.mStops.size() == 1);
    CHECK(commands.mStops[0] ==
          StopCommand{ restart.mServer, restart.mAttempt });
  }
}

} // namespace
} // namespace flamingoloom::scheduler
