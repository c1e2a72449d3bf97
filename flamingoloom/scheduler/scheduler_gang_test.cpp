// Gangs: placed, started and counted as a whole.
#include <doctest/doctest.h>

#include "flamingoloom/jobs/records.h"
#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

// Guards against a gang of which only some members have servers: they would
// occupy capacity without making progress.
TEST_CASE("All members of a gang are placed or none")
{
  Fixture f;
  f.AddServers(2);
  auto job = Fixture::MakeJob("a", 3, 8);
  job.mSteps[0].mGang = true;
  f.Add(job);
  CHECK(f.RunPass().mStarts.empty());
  f.AddServers(1, "r1", 2);
  CHECK(f.RunPass().mStarts.size() == 3);
}

// A server may reject the start of one member after other members have started.
// Guards against the others running on alone, and against members of different
// attempts running together.
TEST_CASE("A rejected member aborts the gang, which restarts as one attempt")
{
  Fixture f;
  f.AddServers(2);
  auto job = Fixture::MakeJob("a", 2, 8);
  job.mSteps[0].mGang = true;
  f.Add(job);
  const auto starts = f.RunPass().mStarts;
  REQUIRE(starts.size() == 2);
  f.mScheduler.OnStart(f.mNow, starts[0], StartResult::eStarted, false);
  f.mScheduler.OnStart(f.mNow, starts[1], StartResult::eNoCapacity, false);
  const auto commands = f.RunPass();
  CHECK(commands.mStarts.empty());
  REQUIRE(commands.mStops.size() == 1);
  f.mNow += seconds(1);
  f.Report(starts[0].mServer,
           {},
           { { 1, starts[0].mAttempt, TaskEndReason::eStopped, "" } });
  const auto restarts = f.RunPass().mStarts;
  REQUIRE(restarts.size() == 2);
  CHECK(restarts[0].mAttempt.mAttemptNumber == 2);
  CHECK(restarts[1].mAttempt.mAttemptNumber == 2);
}

// A server that does not respond to a start rarely responds to the stop either.
// Guards against the other members waiting for it until their servers end them.
TEST_CASE("A member whose start is not answered aborts the gang at once")
{
  for (const auto result :
       { StartResult::eUnknown, StartResult::eNoCapacity }) {
    Fixture f;
    f.AddServers(2);
    auto job = Fixture::MakeJob("a", 2, 8);
    job.mSteps[0].mGang = true;
    f.Add(job);
    const auto starts = f.RunPass().mStarts;
    REQUIRE(starts.size() == 2);
    f.mScheduler.OnStart(f.mNow, starts[0], StartResult::eStarted, false);
    f.mScheduler.OnStart(f.mNow, starts[1], result, true);
    const auto commands = f.RunPass();
    CHECK(commands.mStarts.empty());
    CHECK(commands.mStops.size() == 2);
  }
}

// Servers of a rack may all be faulty, and each reports its member as failed.
// Guards against a job that fails for good after one attempt of its gang.
TEST_CASE("An attempt of a gang fails once, however many members fail")
{
  Fixture f;
  f.AddServers(12);
  auto job = Fixture::MakeJob("a", 4, 8);
  job.mSteps[0].mGang = true;
  f.Add(job);
  for (int attempt = 1; attempt <= job.mRules.mMaxAttempts; ++attempt) {
    CHECK(f.State("a") != JobState::eFailed);
    const auto starts = f.StartAll();
    REQUIRE(starts.size() == 4);
    for (const auto& start : starts) {
      f.Report(start.mServer,
               {},
               { { attempt, start.mAttempt, TaskEndReason::eFailed, "" } });
    }
  }
  CHECK(f.State("a") == JobState::eFailed);
}

// As above, with a leader that stops after it has stored the first failure.
TEST_CASE("A new leader does not count an attempt of a gang as failed again")
{
  auto job = Fixture::MakeJob("a", 4, 8);
  job.mSteps[0].mGang = true;
  Fixture before;
  before.AddServers(4);
  before.Add(job);
  const auto starts = before.StartAll();
  REQUIRE(starts.size() == 4);
  before.Report(starts[0].mServer,
                {},
                { { 1, starts[0].mAttempt, TaskEndReason::eFailed, "" } });
  before.Store();
  Fixture after;
  after.Add(job);
  after.mScheduler.RestoreStep(
    "a",
    jobs::DecodeStep(before.mRows.at("run:" + jobs::StepKey("a", 0, 0)))
      .value(),
    after.mNow + seconds(12));
  after.mScheduler.Resume(after.mNow);
  after.mInfos = before.mInfos;
  after.UpdateServers();
  for (const auto& start : starts) {
    after.Report(
      start.mServer, {}, { { 1, start.mAttempt, TaskEndReason::eFailed, "" } });
  }
  after.Store();
  const auto row =
    jobs::DecodeStep(after.mRows.at("run:" + jobs::StepKey("a", 0, 0))).value();
  REQUIRE(row.mTasks.size() == 4);
  for (const auto& task : row.mTasks) {
    CHECK(task.mFailures == 1);
  }
}

} // namespace
} // namespace flamingoloom::scheduler
