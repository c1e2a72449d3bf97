#include <doctest/doctest.h>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

// Guards against a guarantee that waits for other accounts' work to end.
TEST_CASE("A guaranteed job stops less urgent work and takes its place")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::Job("low", 1, 8));
  const auto low = f.StartAll().at(0);
  auto job = Fixture::Job("high", 1, 8);
  job.mRules.mPriority = 0;
  f.mScheduler.SetGuarantees({ { job.mAccount, 8 } });
  f.Add(job);
  // Not before half of a stop's time, in which room may come free by itself.
  CHECK(f.Pass().mStops.empty());
  f.WaitToPreempt();
  const auto commands = f.Pass();
  REQUIRE(commands.mStops.size() == 1);
  CHECK(commands.mStops[0].mAttempt == low.mAttempt);
  f.mNow += milliseconds(50);
  f.Report(
    low.mServer, {}, { { 1, low.mAttempt, TaskEndReason::eStopped, "" } });
  const auto starts = f.Pass().mStarts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].mAttempt.mTask.mJob == "high");
}

// Guards against a guarantee that others of the same priority have taken.
TEST_CASE("A guaranteed job takes room from accounts beyond their guarantee")
{
  Fixture f;
  f.AddServers(1);
  auto other = Fixture::Job("other", 1, 8);
  other.mRules.mPriority = 0;
  other.mAccount = base::AccountId("large");
  f.mScheduler.SetGuarantees(
    { { base::AccountId("shop"), 8 }, { other.mAccount, 4 } });
  f.Add(other);
  f.StartAll();
  auto job = Fixture::Job("high", 1, 8);
  job.mRules.mPriority = 0;
  f.Add(job);
  CHECK(f.Pass().mStops.empty());
  f.mNow += milliseconds(600);
  const auto commands = f.Pass();
  REQUIRE(commands.mStops.size() == 1);
  CHECK(commands.mStops[0].mAttempt.mTask.mJob == "other");
}

// Guards against an account that loses its whole guarantee in the moment in
// which its clients ask for more.
TEST_CASE("An account that asks for more than its guarantee keeps it")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::Job("low", 2, 8));
  f.StartAll();
  f.mScheduler.SetGuarantees({ { base::AccountId("shop"), 8 } });
  for (const char* id : { "high1", "high2" }) {
    auto job = Fixture::Job(id, 1, 8);
    job.mRules.mPriority = 0;
    f.Add(job);
  }
  f.Pass();
  f.WaitToPreempt();
  CHECK(f.Pass().mStops.size() == 1);
  f.mNow += milliseconds(1000);
  CHECK(f.Pass().mStops.empty());
}

// Guards against small work that fills each gap, so that a gang never finds
// all of its room free at once.
TEST_CASE("A gang that does not fit reserves room that comes free soon")
{
  Fixture f;
  f.AddServers(1);
  auto small = Fixture::Job("small", 4, 1);
  small.mRules.mPriority = 2;
  f.Add(small);
  const auto running = f.StartAll();
  REQUIRE(running.size() == 4);
  auto gang = Fixture::Job("gang", 2, 4);
  gang.mSteps[0].mGang = true;
  f.Add(gang);
  small.mId = "more";
  f.Add(small);
  CHECK(f.StartAll().empty());
  f.mNow += milliseconds(1000);
  f.ReportDone(running);
  const auto starts = f.Pass().mStarts;
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].mAttempt.mTask.mJob == "gang");
}

// Guards against a start on a server that came back as one of another kind
// while its room was reserved.
TEST_CASE("A reservation ends when its server has another label")
{
  Fixture f;
  f.AddServers(1);
  f.mInfos[0].mLabels = { "fast" };
  f.UpdateServers();
  f.Add(Fixture::Job("first", 4, 1));
  const auto running = f.StartAll();
  auto gang = Fixture::Job("gang", 2, 4);
  gang.mSteps[0].mGang = true;
  gang.mSteps[0].mRequiredLabel = "fast";
  f.Add(gang);
  CHECK(f.StartAll().empty());
  f.mNow += milliseconds(100);
  f.ReportDone(running);
  f.mInfos[0].mLabels = { "slow" };
  f.mInfos[0].mStartedMs = 2;
  f.UpdateServers();
  f.Report(running[0].mServer, {}, {}, 2);
  CHECK(f.Pass().mStarts.empty());
}

// Guards against reserved room that a more urgent job has to wait for.
TEST_CASE("More urgent work takes room that is only reserved")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::Job("first", 4, 1));
  f.StartAll();
  auto gang = Fixture::Job("gang", 2, 4);
  gang.mSteps[0].mGang = true;
  f.Add(gang);
  CHECK(f.StartAll().empty());
  auto urgent = Fixture::Job("urgent", 2, 1);
  urgent.mRules.mPriority = 0;
  f.Add(urgent);
  CHECK(f.StartAll().size() == 2);
}

// Guards against guaranteed jobs that take each other's room, so that a wide
// one waits for as long as others come.
TEST_CASE("Room that is being made for a job is not taken by a more urgent one")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::Job("low", 1, 8));
  const auto low = f.StartAll().at(0);
  f.mScheduler.SetGuarantees({ { base::AccountId("shop"), 16 } });
  auto first = Fixture::Job("first", 1, 8);
  first.mRules.mPriority = 0;
  f.Add(first);
  f.Pass();
  f.WaitToPreempt();
  CHECK(f.Pass().mStops.size() == 1);
  auto second = Fixture::Job("second", 1, 8);
  second.mRules.mPriority = 0;
  second.mRules.mStretch = 1.0;
  f.Add(second);
  f.Report(
    low.mServer, {}, { { 1, low.mAttempt, TaskEndReason::eStopped, "" } });
  const auto starts = f.Pass().mStarts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].mAttempt.mTask.mJob == "first");
}

} // namespace
} // namespace flamingoloom::scheduler
