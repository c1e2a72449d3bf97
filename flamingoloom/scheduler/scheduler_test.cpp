#include <doctest/doctest.h>

#include <map>
#include <set>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

// Guards against a start command that is sent before its assignment is stored:
// if the leader crashes in between, the next leader does not know of the
// attempt and starts the task again.
TEST_CASE("A start command is sent only after its assignment is stored")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("a", 1, 1));
  f.mScheduler.Schedule(f.mNow, 0);
  CHECK(f.mScheduler.TakeCommands().mStarts.empty());
  f.Store();
  CHECK(f.mScheduler.TakeCommands().mStarts.size() == 1);
}

// Guards against a completion that is acknowledged before it is stored: the
// server drops it, and if the leader crashes the completion is lost.
TEST_CASE("A completion is acknowledged only after it is stored")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("a", 1, 1));
  const auto start = f.StartAll().at(0);
  f.Report(
    start.mServer, {}, { { 1, start.mAttempt, TaskEndReason::eDone, "" } });
  CHECK(f.mScheduler.AcknowledgedCompletions(start.mServer) == 0);
  f.Store();
  CHECK(f.mScheduler.AcknowledgedCompletions(start.mServer) == 1);
  CHECK(f.State("a") == JobState::eCompleted);
}

// A start command that timed out may still take effect later. Guards against
// starting the task elsewhere before that is ruled out, which would run it
// twice.
TEST_CASE("A start that timed out is stopped before the task starts again")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::MakeJob("a", 1, 1));
  const auto start = f.RunPass().mStarts.at(0);
  f.mScheduler.OnStart(f.mNow, start, StartResult::eUnknown, true);
  f.Report(start.mServer, {}, {});
  auto commands = f.RunPass();
  CHECK(commands.mStarts.empty());
  REQUIRE(commands.mStops.size() == 1);
  f.mScheduler.OnStop(f.mNow, commands.mStops[0], true);
  f.mNow += milliseconds(1);
  f.Report(start.mServer, {}, {});
  CHECK(f.RunPass().mStarts.size() == 1);
}

// A rejection of a retry says nothing about the earlier call attempt that timed
// out and may still arrive. Guards against starting the task elsewhere on such
// a rejection.
TEST_CASE(
  "A rejection after a timed-out call attempt does not requeue the task")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::MakeJob("a", 1, 1));
  const auto start = f.RunPass().mStarts.at(0);
  f.mScheduler.OnStart(f.mNow, start, StartResult::eNoCapacity, true);
  const auto commands = f.RunPass();
  CHECK(commands.mStarts.empty());
  CHECK(commands.mStops.size() == 1);
}

// Guards against starting a task elsewhere while it may still run on a server
// that is only unreachable because of a network partition.
TEST_CASE("Attempts on an unresponsive server are abandoned at lease expiry")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::MakeJob("a", 1, 1));
  const auto start = f.StartAll().at(0);
  f.mScheduler.RecordLease(start.mServer, f.mNow + seconds(30));
  f.mScheduler.OnServerUnresponsive(f.mNow, start.mServer);
  f.mNow += seconds(29);
  CHECK(f.RunPass().mStarts.empty());
  f.mNow += seconds(2);
  const auto restarts = f.RunPass().mStarts;
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0].mServer != start.mServer);
  CHECK(restarts[0].mAttempt.mAttemptNumber == 2);
}

// Guards against a new leader that starts tasks again which the previous leader
// has started, before their servers have reported.
TEST_CASE("A new leader recovers assignments and restarts only absent tasks")
{
  Fixture f;
  f.Add(Fixture::MakeJob("a", 2, 1));
  f.mScheduler.RestoreStep(
    "a",
    { 0,
      0,
      { { 0, jobs::TaskOutcome::eAssigned, 1, ServerId("s0"), 0, "" },
        { 1, jobs::TaskOutcome::eAssigned, 1, ServerId("s1"), 0, "" } } },
    f.mNow + seconds(12));
  f.mScheduler.Resume(f.mNow);
  CHECK(f.RunPass().mStarts.empty());
  f.AddServers(2);
  // AddServers sends reports without tasks, so both attempts are absent and
  // both servers are fenced.
  CHECK(f.RunPass().mStarts.size() == 2);
}

// Guards against a job that runs again after it has failed for good: the leader
// before ended once the failures were stored and the job's state was not.
TEST_CASE("A new leader starts no task that has failed as often as is allowed")
{
  for (const bool gang : { false, true }) {
    for (const int failures : { 2, 3 }) {
      Fixture f;
      f.AddServers(2);
      auto job = Fixture::MakeJob("a", 2, 1);
      job.mSteps[0].mGang = gang;
      REQUIRE(job.mRules.mMaxAttempts == 3);
      f.Add(job);
      f.mScheduler.RestoreStep(
        "a",
        { 0,
          0,
          { { 0, jobs::TaskOutcome::eWaiting, 3, ServerId("s0"), failures, "" },
            { 1, jobs::TaskOutcome::eWaiting, 3, ServerId("s1"), 0, "" } } },
        f.mNow + seconds(12));
      f.mScheduler.Resume(f.mNow);
      CHECK(f.RunPass().mStarts.size() == (failures == 3 ? 0 : 2));
      CHECK((f.State("a") == JobState::eFailed) == (failures == 3));
    }
  }
}

// Guards against an attempt that is never abandoned because its server has no
// entry in the store any more and so cannot be polled.
TEST_CASE(
  "A new leader abandons attempts on an unlisted server at lease expiry")
{
  Fixture f;
  f.Add(Fixture::MakeJob("a", 1, 1));
  f.mScheduler.RestoreStep(
    "a",
    { 0,
      0,
      { { 0, jobs::TaskOutcome::eAssigned, 1, ServerId("gone"), 0, "" } } },
    f.mNow + seconds(12));
  f.mScheduler.Resume(f.mNow);
  f.AddServers(1);
  CHECK(f.RunPass().mStarts.empty());
  f.mNow += seconds(13);
  CHECK(f.RunPass().mStarts.size() == 1);
}

// A server lists a limited number of completions, for example after the store
// was away and none could be acknowledged. Guards against starting tasks again
// that are done but not listed yet.
TEST_CASE("An attempt is not lost while further completions may follow")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("a", 3, 1));
  const auto starts = f.StartAll();
  REQUIRE(starts.size() == 3);
  f.mNow += seconds(1);
  ServerReport report{
    1, {}, { { 1, starts[0].mAttempt, TaskEndReason::eDone, "" } }
  };
  report.mMayHaveMoreCompletions = true;
  f.mScheduler.OnReport(f.mNow, starts[0].mServer, report, f.mNow);
  CHECK(f.RunPass().mStarts.empty());
  // Only the attempt that a complete list does not have is lost.
  f.Report(starts[0].mServer,
           {},
           { { 2, starts[1].mAttempt, TaskEndReason::eDone, "" } });
  const auto restarts = f.RunPass().mStarts;
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0].mAttempt.mTask == starts[2].mAttempt.mTask);
}

// Guards against a task that is retried more often than its queue allows.
TEST_CASE("A job fails when a task has used up its attempts")
{
  Fixture f;
  f.AddServers(4);
  auto job = Fixture::MakeJob("a", 1, 1);
  job.mRules.mMaxAttempts = 2;
  f.Add(job);
  for (int i = 0; i < 2; ++i) {
    const auto start = f.StartAll().at(0);
    f.Report(
      start.mServer, {}, { { 1, start.mAttempt, TaskEndReason::eFailed, "" } });
  }
  CHECK(f.State("a") == JobState::eFailed);
  CHECK(f.RunPass().mStarts.empty());
}

// Guards against a step that starts before all steps that it depends on are
// done.
TEST_CASE("A step waits for all tasks of the step that it depends on")
{
  Fixture f;
  f.AddServers(1);
  auto job = Fixture::MakeJob("a", 2, 1);
  job.mSteps.push_back(job.mSteps[0]);
  job.mSteps[1].mDependsOn = { 0 };
  f.Add(job);
  const auto starts = f.StartAll();
  REQUIRE(starts.size() == 2);
  f.Report(starts[0].mServer,
           { { starts[1].mAttempt, "", 50 } },
           { { 1, starts[0].mAttempt, TaskEndReason::eDone, "" } });
  CHECK(f.RunPass().mStarts.empty());
  f.Report(starts[0].mServer,
           {},
           { { 2, starts[1].mAttempt, TaskEndReason::eDone, "" } });
  CHECK(f.RunPass().mStarts.size() == 2);
}

// Guards against an occurrence that starts before it is due.
TEST_CASE("An occurrence starts when it is due")
{
  Fixture f;
  f.AddServers(1);
  auto job = Fixture::MakeJob("a", 1, 1);
  job.mOccurrences = 2;
  job.mFirstDueMs = f.mUnixMs + 100;
  job.mIntervalMs = 1000;
  f.Add(job);
  CHECK(f.RunPass().mStarts.empty());
  CHECK(f.mScheduler.MillisecondsToNextDue(f.mUnixMs) == 100);
  f.mUnixMs += 100;
  CHECK(f.StartAll().size() == 1);
  f.mUnixMs += 1000;
  CHECK(f.StartAll().size() == 1);
}

// Guards against starting tasks in a data centre that operators have taken out
// of service, and on servers that are draining.
TEST_CASE(
  "Nothing starts on draining servers or in data centres out of service")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("a", 1, 1));
  f.mScheduler.SetOutOfServiceDataCentres({ base::DataCentreId("dc1") });
  CHECK(f.RunPass().mStarts.empty());
  f.mScheduler.SetOutOfServiceDataCentres({});
  f.mInfos[0].mDraining = true;
  f.mScheduler.UpdateServers(f.mNow, f.mInfos, f.mNow);
  CHECK(f.RunPass().mStarts.empty());
}

// Guards against a limit per server that does not count the tasks assigned in
// the same pass.
TEST_CASE("A step has at most its maximum number of tasks per server")
{
  Fixture f;
  f.AddServers(3);
  auto job = Fixture::MakeJob("a", 5, 1);
  job.mSteps[0].mMaxPerServer = 1;
  f.Add(job);
  std::set<ServerId> used;
  const auto starts = f.RunPass().mStarts;
  for (const auto& start : starts) {
    used.insert(start.mServer);
  }
  CHECK(starts.size() == 3);
  CHECK(used.size() == 3);
  CHECK(f.RunPass().mStarts.empty());
}

// Guards against a batch that the store rejects for its number of entries: it
// would be retried without end, and nothing could be stored any more.
TEST_CASE("A batch has no more entries than a transaction may have")
{
  Fixture f;
  f.AddServers(1);
  for (int i = 0; i < 120; ++i) {
    auto job = Fixture::MakeJob("job" + std::to_string(i), 1, 0);
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
    f.mScheduler.OnStored(f.mNow, batch);
  }
  CHECK(f.mScheduler.TakeCommands().mStarts.size() == 120);
}

// While the store is slow more rows change than a batch takes. Guards against
// starts, and the ends of jobs, that wait for rows that nobody waits for.
TEST_CASE("Urgent starts and ends are stored before the progress of other jobs")
{
  Fixture f;
  f.AddServers(60);
  constexpr int kBusyJobs = 200;
  for (int i = 0; i < kBusyJobs; ++i) {
    f.Add(Fixture::MakeJob("busy" + std::to_string(i), 2, 1));
  }
  std::map<ServerId, ServerReport> reports;
  for (const auto& start : f.StartAll()) {
    auto& report = reports[start.mServer];
    // One task of each job ends, and both of one job.
    if (start.mAttempt.mTask.mIndex == 0 ||
        start.mAttempt.mTask.mJob == "busy7") {
      const auto number =
        static_cast<std::int64_t>(report.mCompletions.size()) + 1;
      report.mCompletions.push_back(
        { number, start.mAttempt, TaskEndReason::eDone, "" });
    } else {
      report.mRunning.push_back({ start.mAttempt, "", 10, -1 });
    }
  }
  for (const auto& [server, report] : reports) {
    f.Report(server, report.mRunning, report.mCompletions);
  }
  auto urgent = Fixture::MakeJob("urgent", 1, 1);
  urgent.mRules.mPriority = 0;
  f.Add(urgent);
  f.mScheduler.Schedule(f.mNow, 0);
  const auto batch = f.mScheduler.TakeBatch(0);
  std::set<std::string> keys;
  std::size_t progress = 0;
  for (const auto& row : batch.mRows) {
    keys.insert(row.mTable + ":" + row.mKey);
    progress += row.mKey.rfind("busy", 0) == 0 ? 1 : 0;
  }
  CHECK(keys.count("run:" + jobs::StepKey("urgent", 0, 0)) == 1);
  CHECK(keys.count("run:" + jobs::StepKey("busy7", 0, 0)) == 1);
  CHECK(keys.count("state:busy7") == 1);
  // The rest is not left waiting either.
  CHECK(progress >= 20);
}

// Guards against long work that is started again elsewhere since its percentage
// does not change between two reports.
TEST_CASE("A task that takes hours does not count as hanging")
{
  Fixture f;
  f.AddServers(2);
  auto job = Fixture::MakeJob("a", 1, 1);
  job.mSteps[0].mEstimate = std::chrono::hours(1);
  f.Add(job);
  const auto start = f.StartAll().at(0);
  for (int second = 0; second < 1800; second += 2) {
    f.mNow += seconds(2);
    f.Report(start.mServer, { { start.mAttempt, "", second / 36, -1 } }, {});
    CHECK(f.RunPass().mStops.empty());
  }
  // Without any progress for several percent of its time it does hang.
  for (int second = 0; second < 600; second += 2) {
    f.mNow += seconds(2);
    f.Report(start.mServer, { { start.mAttempt, "", 50, -1 } }, {});
    if (!f.RunPass().mStops.empty()) {
      return;
    }
  }
  FAIL("the task was not stopped");
}

// Guards against a task that seems slow only since its server's reports are
// late.
TEST_CASE("A late report does not make a task a straggler")
{
  Fixture f;
  f.AddServers(4);
  f.Add(Fixture::MakeJob("a", 4, 8));
  const auto starts = f.StartAll();
  REQUIRE(starts.size() == 4);
  const auto report =
    [&](const StartCommand& aStart, int aPercent, base::Duration aDelay) {
      f.mScheduler.OnReport(
        f.mNow,
        aStart.mServer,
        { 1, { { aStart.mAttempt, "", aPercent, -1 } }, {}, aDelay },
        f.mNow - aDelay);
    };
  f.mNow += seconds(8);
  for (int i = 0; i < 3; ++i) {
    report(starts[static_cast<std::size_t>(i)], 80, milliseconds(0));
  }
  // The state of 6 s ago: 16% after 2 s.
  report(starts[3], 16, seconds(6));
  CHECK(f.RunPass().mStops.empty());
}

// A draining server announces when it exits. Guards against losing the work of
// a task that cannot complete before that.
TEST_CASE("Work that cannot complete before its server exits is migrated")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::MakeJob("a", 1, 1));
  const auto start = f.StartAll().at(0);
  for (auto& info : f.mInfos) {
    if (info.mId == start.mServer) {
      info.mDraining = true;
      info.mTimeLeft = milliseconds(1500);
    }
  }
  f.mScheduler.UpdateServers(f.mNow, f.mInfos, f.mNow);
  const auto commands = f.RunPass();
  REQUIRE(commands.mStops.size() == 1);
  f.mNow += milliseconds(50);
  f.Report(start.mServer,
           {},
           { { 1, start.mAttempt, TaskEndReason::eStopped, "cp" } });
  const auto restarts = f.RunPass().mStarts;
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0].mServer != start.mServer);
  CHECK(restarts[0].mCheckpoint == "cp");
}

// Guards against a task that stays on a server on which it makes no progress.
TEST_CASE("A task without progress is migrated")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::MakeJob("a", 1, 1));
  const auto start = f.StartAll().at(0);
  for (int i = 0; i < 3; ++i) {
    f.mNow += milliseconds(2000);
    f.Report(start.mServer, { { start.mAttempt, "", 30 } }, {});
  }
  CHECK(f.RunPass().mStops.size() == 1);
  f.mNow += milliseconds(50);
  f.Report(
    start.mServer, {}, { { 1, start.mAttempt, TaskEndReason::eStopped, "" } });
  const auto restarts = f.RunPass().mStarts;
  REQUIRE(restarts.size() == 1);
  CHECK(restarts[0].mServer != start.mServer);
}

// Servers may reject a start, or not respond to it. Guards against a queue
// length that leaves out jobs which have only been assigned to a server.
TEST_CASE("A job is queued until a server has started one of its tasks")
{
  for (const auto result : { StartResult::eUnhealthy,
                             StartResult::eNoCapacity,
                             StartResult::eUnknown }) {
    Fixture f;
    f.AddServers(1);
    f.Add(Fixture::MakeJob("a", 2, 1));
    const auto starts = f.RunPass().mStarts;
    REQUIRE(starts.size() == 2);
    CHECK(f.mScheduler.QueueLengths() == jobs::QueueLengths{ { "q", 1 } });
    for (const auto& start : starts) {
      f.mScheduler.OnStart(f.mNow, start, result, false);
    }
    f.RunPass();
    CHECK(f.mScheduler.QueueLengths() == jobs::QueueLengths{ { "q", 1 } });
    CHECK(f.State("a") == JobState::eQueued);
  }
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("a", 2, 1));
  const auto starts = f.RunPass().mStarts;
  f.mScheduler.OnStart(f.mNow, starts.at(0), StartResult::eStarted, false);
  CHECK(f.mScheduler.QueueLengths().empty());
  CHECK(f.State("a") == JobState::eRunning);
}

// The responses to a start may be lost, or be those to an earlier leader.
// Guards against a job that stays queued although its tasks run or have run.
TEST_CASE("A job is running once a report lists one of its tasks")
{
  for (const bool ended : { false, true }) {
    Fixture f;
    f.AddServers(1);
    f.Add(Fixture::MakeJob("a", 2, 1));
    const auto start = f.RunPass().mStarts.at(0);
    f.mScheduler.OnStart(f.mNow, start, StartResult::eUnknown, true);
    if (ended) {
      f.Report(start.mServer,
               {},
               { { 1, start.mAttempt, TaskEndReason::eStopped, "" } });
    } else {
      f.Report(start.mServer, { { start.mAttempt, "", 0 } }, {});
    }
    CHECK(f.mScheduler.QueueLengths().empty());
    CHECK(f.State("a") == JobState::eRunning);
  }
}

// Guards against attempts that keep running after their job was cancelled.
TEST_CASE("Cancellation stops running tasks and starts no further ones")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("a", 1, 1));
  f.StartAll();
  f.mScheduler.Cancel("a");
  const auto commands = f.RunPass();
  CHECK(commands.mStops.size() == 1);
  CHECK(f.State("a") == JobState::eCancelled);
}

} // namespace
} // namespace flamingoloom::scheduler
