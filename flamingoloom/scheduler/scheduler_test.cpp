#include <doctest/doctest.h>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

// Guards against a successor that does not know of a start.
TEST_CASE("A start is ordered only after it is stored")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::Job("a", 1, 1));
  f.mScheduler.Schedule(f.mNow, 0);
  CHECK(f.mScheduler.TakeCommands().mStarts.empty());
  f.Store();
  CHECK(f.mScheduler.TakeCommands().mStarts.size() == 1);
}

// Guards against an end that is lost because it was acknowledged too early.
TEST_CASE("An end is acknowledged only after it is stored")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::Job("a", 1, 1));
  const auto start = f.StartAll().at(0);
  f.Report(
    start.mServer, {}, { { 1, start.mAttempt, TaskEndReason::eDone, "" } });
  CHECK(f.mScheduler.AcknowledgedCompletions(start.mServer) == 0);
  f.Store();
  CHECK(f.mScheduler.AcknowledgedCompletions(start.mServer) == 1);
  CHECK(f.State("a") == JobState::eCompleted);
}

// Guards against a gang of which only a part runs.
TEST_CASE("A gang is placed whole or not at all")
{
  Fixture f;
  f.AddServers(2);
  auto job = Fixture::Job("a", 3, 8);
  job.mSteps[0].mGang = true;
  f.Add(job);
  CHECK(f.Pass().mStarts.empty());
  f.AddServers(1, "r1", 2);
  CHECK(f.Pass().mStarts.size() == 3);
}

// Guards against a gang whose members are left behind by a refused start.
TEST_CASE("A refused member stops the gang and it starts again under one run")
{
  Fixture f;
  f.AddServers(2);
  auto job = Fixture::Job("a", 2, 8);
  job.mSteps[0].mGang = true;
  f.Add(job);
  const auto starts = f.Pass().mStarts;
  REQUIRE(starts.size() == 2);
  f.mScheduler.OnStart(f.mNow, starts[0], StartResult::eStarted, false);
  f.mScheduler.OnStart(f.mNow, starts[1], StartResult::eNoCapacity, false);
  const auto commands = f.Pass();
  CHECK(commands.mStarts.empty());
  REQUIRE(commands.mStops.size() == 1);
  f.mNow += seconds(1);
  f.Report(starts[0].mServer,
           {},
           { { 1, starts[0].mAttempt, TaskEndReason::eStopped, "" } });
  const auto again = f.Pass().mStarts;
  REQUIRE(again.size() == 2);
  CHECK(again[0].mAttempt.mAttemptNumber == 2);
  CHECK(again[1].mAttempt.mAttemptNumber == 2);
}

// Guards against two runs when an order without an answer is carried out late.
TEST_CASE("A start without an answer is stopped before the task starts again")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::Job("a", 1, 1));
  const auto start = f.Pass().mStarts.at(0);
  f.mScheduler.OnStart(f.mNow, start, StartResult::eUnknown, true);
  f.Report(start.mServer, {}, {});
  auto commands = f.Pass();
  CHECK(commands.mStarts.empty());
  REQUIRE(commands.mStops.size() == 1);
  f.mScheduler.OnStop(f.mNow, commands.mStops[0], true);
  f.mNow += milliseconds(1);
  f.Report(start.mServer, {}, {});
  CHECK(f.Pass().mStarts.size() == 1);
}

// Guards against a refusal being trusted while an earlier try is under way.
TEST_CASE("A refusal after an unanswered try does not free the task")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::Job("a", 1, 1));
  const auto start = f.Pass().mStarts.at(0);
  f.mScheduler.OnStart(f.mNow, start, StartResult::eNoCapacity, true);
  const auto commands = f.Pass();
  CHECK(commands.mStarts.empty());
  CHECK(commands.mStops.size() == 1);
}

// Guards against a task that starts elsewhere while it runs behind a cut.
TEST_CASE("Runs on a silent server are given up only when its leases ended")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::Job("a", 1, 1));
  const auto start = f.StartAll().at(0);
  f.mScheduler.RecordLease(start.mServer, f.mNow + seconds(30));
  f.mScheduler.OnServerUnresponsive(f.mNow, start.mServer);
  f.mNow += seconds(29);
  CHECK(f.Pass().mStarts.empty());
  f.mNow += seconds(2);
  const auto again = f.Pass().mStarts;
  REQUIRE(again.size() == 1);
  CHECK(again[0].mServer != start.mServer);
  CHECK(again[0].mAttempt.mAttemptNumber == 2);
}

// Guards against a successor that starts what its predecessor has started.
TEST_CASE("A successor takes over what runs and starts what does not")
{
  Fixture f;
  f.Add(Fixture::Job("a", 2, 1));
  f.mScheduler.RestoreStep(
    "a",
    { 0,
      0,
      { { 0, jobs::TaskOutcome::eAssigned, 1, ServerId("s0"), 0, "" },
        { 1, jobs::TaskOutcome::eAssigned, 1, ServerId("s1"), 0, "" } } },
    5,
    f.mNow + seconds(12));
  f.mScheduler.Resume(f.mNow);
  CHECK(f.Pass().mStarts.empty());
  f.AddServers(2);
  // AddServers reports empty lists: both are absent and fenced by now.
  CHECK(f.Pass().mStarts.size() == 2);
}

// Guards against work that waits for ever for a server that is gone.
TEST_CASE("A successor gives up runs on a server without an entry in time")
{
  Fixture f;
  f.Add(Fixture::Job("a", 1, 1));
  f.mScheduler.RestoreStep(
    "a",
    { 0,
      0,
      { { 0, jobs::TaskOutcome::eAssigned, 1, ServerId("gone"), 0, "" } } },
    5,
    f.mNow + seconds(12));
  f.mScheduler.Resume(f.mNow);
  f.AddServers(1);
  CHECK(f.Pass().mStarts.empty());
  f.mNow += seconds(13);
  CHECK(f.Pass().mStarts.size() == 1);
}

// Guards against a task that is tried more often than its queue allows.
TEST_CASE("A job fails when a task has failed as often as its queue allows")
{
  Fixture f;
  f.AddServers(4);
  auto job = Fixture::Job("a", 1, 1);
  job.mRules.mMaxAttempts = 2;
  f.Add(job);
  for (int i = 0; i < 2; ++i) {
    const auto start = f.StartAll().at(0);
    f.Report(
      start.mServer, {}, { { 1, start.mAttempt, TaskEndReason::eFailed, "" } });
  }
  CHECK(f.State("a") == JobState::eFailed);
  CHECK(f.Pass().mStarts.empty());
}

// Guards against a step that starts before the steps it depends on are done.
TEST_CASE("A later step waits for all tasks of the earlier one")
{
  Fixture f;
  f.AddServers(1);
  auto job = Fixture::Job("a", 2, 1);
  job.mSteps.push_back(job.mSteps[0]);
  job.mSteps[1].mDependsOn = { 0 };
  f.Add(job);
  const auto starts = f.StartAll();
  REQUIRE(starts.size() == 2);
  f.Report(starts[0].mServer,
           { { starts[1].mAttempt, "", 50 } },
           { { 1, starts[0].mAttempt, TaskEndReason::eDone, "" } });
  CHECK(f.Pass().mStarts.empty());
  f.Report(starts[0].mServer,
           {},
           { { 2, starts[1].mAttempt, TaskEndReason::eDone, "" } });
  CHECK(f.Pass().mStarts.size() == 2);
}

// Guards against an occurrence that starts before its time.
TEST_CASE("An occurrence starts when it is due")
{
  Fixture f;
  f.AddServers(1);
  auto job = Fixture::Job("a", 1, 1);
  job.mOccurrences = 2;
  job.mFirstDueMs = f.mUnixMs + 100;
  job.mIntervalMs = 1000;
  f.Add(job);
  CHECK(f.Pass().mStarts.empty());
  CHECK(f.mScheduler.MillisecondsToNextDue(f.mUnixMs) == 100);
  f.mUnixMs += 100;
  CHECK(f.StartAll().size() == 1);
  f.mUnixMs += 1000;
  CHECK(f.StartAll().size() == 1);
}

// Guards against work in a data centre that operators have taken out, and on
// servers that are leaving.
TEST_CASE("Nothing starts on a draining server or in a data centre that is out")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::Job("a", 1, 1));
  f.mScheduler.SetOutOfServiceDataCentres({ base::DataCentreId("dc1") });
  CHECK(f.Pass().mStarts.empty());
  f.mScheduler.SetOutOfServiceDataCentres({});
  f.mInfos[0].mDraining = true;
  f.mScheduler.UpdateServers(f.mNow, f.mInfos, f.mNow);
  CHECK(f.Pass().mStarts.empty());
}

// Guards against tasks placed in one pass being left out of the count.
TEST_CASE("No more tasks of a step share a server than it allows")
{
  Fixture f;
  f.AddServers(3);
  auto job = Fixture::Job("a", 5, 1);
  job.mSteps[0].mMaxPerServer = 1;
  f.Add(job);
  std::set<ServerId> used;
  const auto starts = f.Pass().mStarts;
  for (const auto& start : starts) {
    used.insert(start.mServer);
  }
  CHECK(starts.size() == 3);
  CHECK(used.size() == 3);
  CHECK(f.Pass().mStarts.empty());
}

// Guards against a transaction that the store refuses for its size, which
// stops all further commits.
TEST_CASE("A batch stays below the entries that a transaction may have")
{
  Fixture f;
  f.AddServers(1);
  for (int i = 0; i < 120; ++i) {
    auto job = Fixture::Job("job" + std::to_string(i), 1, 0);
    job.mSteps[0].mPerTask = { 1, 1, 0 };
    f.Add(job);
  }
  f.mScheduler.Schedule(f.mNow, 0);
  while (f.mScheduler.HasChanges()) {
    const auto batch = f.mScheduler.TakeBatch(0);
    std::size_t entries = 1;
    for (const auto& row : batch.mRows) {
      entries += row.mExpectedVersion ? 2 : 1;
    }
    CHECK(entries <= 100);
    f.mScheduler.OnStored(f.mNow, batch, ++f.mVersion);
  }
  CHECK(f.mScheduler.TakeCommands().mStarts.size() == 120);
}

// Guards against work that is lost with a server that said when it leaves.
TEST_CASE("Work that cannot end before its server leaves moves at once")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::Job("a", 1, 1));
  const auto start = f.StartAll().at(0);
  for (auto& info : f.mInfos) {
    if (info.mId == start.mServer) {
      info.mDraining = true;
      info.mTimeLeft = milliseconds(1500);
    }
  }
  f.mScheduler.UpdateServers(f.mNow, f.mInfos, f.mNow);
  const auto commands = f.Pass();
  REQUIRE(commands.mStops.size() == 1);
  f.mNow += milliseconds(50);
  f.Report(start.mServer,
           {},
           { { 1, start.mAttempt, TaskEndReason::eStopped, "cp" } });
  const auto again = f.Pass().mStarts;
  REQUIRE(again.size() == 1);
  CHECK(again[0].mServer != start.mServer);
  CHECK(again[0].mCheckpoint == "cp");
}

// Guards against a server that stands still and keeps its tasks.
TEST_CASE("A task whose progress stands still starts elsewhere")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::Job("a", 1, 1));
  const auto start = f.StartAll().at(0);
  for (int i = 0; i < 3; ++i) {
    f.mNow += milliseconds(2000);
    f.Report(start.mServer, { { start.mAttempt, "", 30 } }, {});
  }
  CHECK(f.Pass().mStops.size() == 1);
  f.mNow += milliseconds(50);
  f.Report(
    start.mServer, {}, { { 1, start.mAttempt, TaskEndReason::eStopped, "" } });
  const auto again = f.Pass().mStarts;
  REQUIRE(again.size() == 1);
  CHECK(again[0].mServer != start.mServer);
}

// Guards against a run that outlives its job.
TEST_CASE("Cancelling stops what runs and starts nothing more")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::Job("a", 1, 1));
  f.StartAll();
  f.mScheduler.Cancel("a");
  const auto commands = f.Pass();
  CHECK(commands.mStops.size() == 1);
  CHECK(f.State("a") == JobState::eCancelled);
}

} // namespace
} // namespace flamingoloom::scheduler
