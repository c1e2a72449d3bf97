#include <doctest/doctest.h>

#include <algorithm>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

using base::AccountId;

const AccountId kShop("shop");

// An account with at most four accelerators, beside room for many more.
struct AccountFixture : Fixture
{
  AccountFixture()
  {
    AddServers(4);
    SetMaximum(4);
  }

  void SetMaximum(std::int64_t aAccelerators, std::int64_t aGuaranteed = 0)
  {
    mScheduler.SetAccountTerms(
      { { kShop, { aGuaranteed, 0, { 0, 0, aAccelerators } } } });
  }

  // Lists the starts as running, each on its server, and nothing else.
  void ReportRunning(const std::vector<StartCommand>& aStarts)
  {
    for (const auto& info : mInfos) {
      std::vector<RunningTask> running;
      for (const auto& start : aStarts) {
        if (start.mServer == info.mId) {
          running.push_back({ start.mAttempt, "", 10 });
        }
      }
      Report(info.mId, running, {});
    }
  }
};

// Guards against accounts that take more than operators allow them (the
// accelerators belong to others).
TEST_CASE("A step wider than its account's maximum runs in waves")
{
  AccountFixture f;
  f.Add(Fixture::MakeJob("a", 10, 1));
  const auto first = f.StartAll();
  CHECK(first.size() == 4);
  CHECK(f.StartAll().empty());
  f.Report(first[0].mServer,
           {},
           { { 1, first[0].mAttempt, TaskEndReason::eDone, "" } });
  CHECK(f.StartAll().size() <= 4);
  f.mScheduler.SetAccountTerms({});
  CHECK(!f.StartAll().empty());
}

// Guards against a count that falls with the request to stop, not with the end.
TEST_CASE("A task that is being stopped counts until its server lists its end")
{
  AccountFixture f;
  f.Add(Fixture::MakeJob("a", 4, 1));
  const auto starts = f.StartAll();
  REQUIRE(starts.size() == 4);
  f.Add(Fixture::MakeJob("b", 4, 1));
  f.mScheduler.Cancel("a");
  const auto stops = f.RunPass().mStops;
  CHECK(stops.size() == 4);
  for (const auto& stop : stops) {
    f.mScheduler.OnStop(f.mNow, stop, true);
  }
  f.ReportRunning(starts);
  CHECK(f.StartAll().empty());
  f.mNow += milliseconds(10);
  f.ReportRunning({});
  CHECK(f.StartAll().size() == 4);
}

TEST_CASE("A start without an answer counts until it is shown to be gone")
{
  AccountFixture f;
  f.Add(Fixture::MakeJob("a", 4, 1));
  for (const auto& start : f.RunPass().mStarts) {
    f.mScheduler.OnStart(f.mNow, start, StartResult::eUnknown, false);
  }
  f.Add(Fixture::MakeJob("b", 4, 1));
  CHECK(f.RunPass().mStarts.empty());
  f.mNow += milliseconds(10);
  // No server has responded to a command about the attempts.
  f.ReportRunning({});
  CHECK(f.RunPass().mStarts.empty());
}

TEST_CASE("Tasks on a silent server count until its leases have ended")
{
  AccountFixture f;
  f.Add(Fixture::MakeJob("a", 4, 1));
  const auto starts = f.StartAll();
  REQUIRE(starts.size() == 4);
  for (const auto& info : f.mInfos) {
    f.mScheduler.RecordLease(info.mId, f.mNow + seconds(6));
  }
  std::set<ServerId> lost;
  for (const auto& start : starts) {
    lost.insert(start.mServer);
    f.mScheduler.OnServerUnresponsive(f.mNow, start.mServer);
  }
  f.Add(Fixture::MakeJob("b", 4, 1));
  f.mNow += seconds(5);
  CHECK(f.RunPass().mStarts.empty());
  f.mNow += seconds(10);
  CHECK(f.RunPass().mStarts.size() == 4);
}

// Guards against a late start whose attempt was given up: it runs beside the
// work that took its place.
TEST_CASE("An attempt that runs although nobody wants it counts")
{
  AccountFixture f;
  f.Add(Fixture::MakeJob("a", 1, 4));
  const auto starts = f.RunPass().mStarts;
  REQUIRE(starts.size() == 1);
  f.mScheduler.OnStart(f.mNow, starts[0], StartResult::eNoCapacity, false);
  f.Report(starts[0].mServer, { { starts[0].mAttempt, "", 0 } }, {});
  CHECK(f.RunPass().mStarts.empty());
  f.mNow += milliseconds(10);
  f.Report(starts[0].mServer, {}, {});
  f.mNow += seconds(1);
  CHECK(f.RunPass().mStarts.size() == 1);
}

// Guards against a change of leader as a way around the maximum.
TEST_CASE("A new leader counts what the one before has assigned")
{
  AccountFixture f;
  f.Add(Fixture::MakeJob("a", 4, 1));
  REQUIRE(f.StartAll().size() == 4);
  Scheduler next({}, {});
  next.SetAccountTerms({ { kShop, { 0, 0, { 0, 0, 4 } } } });
  next.AddJob(f.mNow, Fixture::MakeJob("a", 4, 1));
  next.AddJob(f.mNow, Fixture::MakeJob("b", 4, 1));
  for (const auto& [key, value] : f.mRows) {
    if (key.rfind(std::string(jobs::kStepTable) + ":", 0) == 0) {
      REQUIRE(
        next.RestoreStep("a", *jobs::DecodeStep(value), f.mNow + seconds(12)));
    }
  }
  next.Resume(f.mNow);
  // A server that runs nothing of them has responded; the others have not.
  auto spare = f.mInfos.back();
  spare.mId = ServerId("spare");
  next.UpdateServers(f.mNow, { spare }, f.mNow + seconds(12));
  next.OnReport(f.mNow, spare.mId, { 1, {}, {} }, f.mNow);
  next.Schedule(f.mNow, 0);
  CHECK(!next.HasChanges());
}

TEST_CASE("A gang waits until all of its members are within the maximum")
{
  AccountFixture f;
  f.Add(Fixture::MakeJob("a", 2, 1));
  REQUIRE(f.StartAll().size() == 2);
  auto gang = Fixture::MakeJob("b", 4, 1);
  gang.mSteps[0].mGang = true;
  f.Add(gang);
  CHECK(f.StartAll().empty());
  f.SetMaximum(6);
  CHECK(f.StartAll().size() == 4);
}

// Guards against capacity that was planned before the maximum fell.
TEST_CASE("A plan does not bring an account above its maximum")
{
  AccountFixture f;
  f.SetMaximum(40, 16);
  auto batch = Fixture::MakeJob("batch", 4, 8);
  batch.mAccount = AccountId("other");
  f.Add(batch);
  REQUIRE(f.StartAll().size() == 4);
  auto urgent = Fixture::MakeJob("urgent", 2, 8);
  urgent.mRules.mPriority = 0;
  urgent.mSteps[0].mGang = true;
  f.Add(urgent);
  f.AdvanceToPreemption();
  const auto stops = f.RunPass().mStops;
  REQUIRE(stops.size() == 2);
  f.SetMaximum(4, 16);
  for (const auto& stop : stops) {
    f.Report(
      stop.mServer, {}, { { 1, stop.mAttempt, TaskEndReason::eStopped, "" } });
  }
  const auto starts = f.RunPass().mStarts;
  CHECK(std::none_of(starts.begin(), starts.end(), [](const auto& aStart) {
    return aStart.mAttempt.mTask.mJob == "urgent";
  }));
}

// Guards against the other copy of a task that is done: it is being stopped,
// but runs until then.
TEST_CASE("What runs of a task that is done counts until it has stopped")
{
  AccountFixture f;
  f.Add(Fixture::MakeJob("a", 1, 4));
  const auto first = f.RunPass().mStarts;
  REQUIRE(first.size() == 1);
  f.mScheduler.OnStart(f.mNow, first[0], StartResult::eNoCapacity, false);
  f.mNow += milliseconds(300);
  const auto second = f.StartAll();
  REQUIRE(second.size() == 1);
  REQUIRE(second[0].mAttempt.mAttemptNumber == 2);
  // The first attempt was carried out late, and is done.
  f.Report(first[0].mServer,
           {},
           { { 1, first[0].mAttempt, TaskEndReason::eDone, "" } });
  CHECK(f.State("a") == JobState::eCompleted);
  f.Add(Fixture::MakeJob("b", 1, 4));
  CHECK(f.RunPass().mStarts.empty());
  f.mNow += milliseconds(10);
  f.Report(second[0].mServer, {}, {});
  f.mNow += milliseconds(10);
  CHECK(f.RunPass().mStarts.size() == 1);
}

TEST_CASE("A maximum that falls stops nothing and holds back further starts")
{
  AccountFixture f;
  f.Add(Fixture::MakeJob("a", 4, 1));
  REQUIRE(f.StartAll().size() == 4);
  f.SetMaximum(2);
  f.Add(Fixture::MakeJob("b", 1, 1));
  const auto commands = f.RunPass();
  CHECK(commands.mStarts.empty());
  CHECK(commands.mStops.empty());
}

// Guards against starts by a configuration that another one has replaced.
TEST_CASE("Accounts with a maximum start nothing by outdated terms")
{
  AccountFixture f;
  f.mScheduler.SetAccountTermsValidUntil(f.mNow);
  f.Add(Fixture::MakeJob("a", 1, 1));
  auto other = Fixture::MakeJob("b", 1, 1);
  other.mAccount = AccountId("unlimited");
  f.Add(other);
  const auto starts = f.RunPass().mStarts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].mAttempt.mTask.mJob == "b");
  f.mScheduler.SetAccountTermsValidUntil(f.mNow + seconds(2));
  CHECK(f.RunPass().mStarts.size() == 1);
}

// Guards against a guarantee that cannot be reclaimed because the account's own
// less urgent work has reached the maximum.
TEST_CASE("A guaranteed job stops its account's own less urgent work")
{
  AccountFixture f;
  f.SetMaximum(4, 2);
  f.Add(Fixture::MakeJob("batch", 4, 1));
  REQUIRE(f.StartAll().size() == 4);
  auto urgent = Fixture::MakeJob("urgent", 2, 1);
  urgent.mRules.mPriority = 0;
  f.Add(urgent);
  f.AdvanceToPreemption();
  const auto stops = f.RunPass().mStops;
  CHECK(stops.size() == 2);
  f.mNow += seconds(1);
  // What is being stopped is enough.
  CHECK(f.RunPass().mStops.empty());
}

// Guards against small tasks that take what has been freed for a gang: seen as
// a guarantee that was not reclaimed within 3.4 s.
TEST_CASE("What becomes free within the maximum goes to the first step held")
{
  AccountFixture f;
  f.SetMaximum(4, 3);
  f.Add(Fixture::MakeJob("batch", 12, 1));
  const auto running = f.StartAll();
  REQUIRE(running.size() == 4);
  auto urgent = Fixture::MakeJob("urgent", 3, 1);
  urgent.mRules.mPriority = 0;
  urgent.mSteps[0].mGang = true;
  f.Add(urgent);
  CHECK(f.StartAll().empty());
  // One task of the batch ends; the rest of it must not take its place.
  std::vector<RunningTask> others;
  for (const auto& start : running) {
    if (start.mServer == running[0].mServer &&
        start.mAttempt != running[0].mAttempt) {
      others.push_back({ start.mAttempt, "", 10 });
    }
  }
  f.Report(running[0].mServer,
           others,
           { { 1, running[0].mAttempt, TaskEndReason::eDone, "" } });
  CHECK(f.StartAll().empty());
}

TEST_CASE("Beyond the guarantee an account does not stop its own work")
{
  AccountFixture f;
  f.SetMaximum(4, 1);
  f.Add(Fixture::MakeJob("batch", 4, 1));
  REQUIRE(f.StartAll().size() == 4);
  auto urgent = Fixture::MakeJob("urgent", 2, 1);
  urgent.mRules.mPriority = 0;
  f.Add(urgent);
  f.AdvanceToPreemption();
  CHECK(f.RunPass().mStops.empty());
}

// The load of an account that holds most of a full fleet while another asks.
TEST_CASE("Free capacity goes to the account below its share first")
{
  Fixture f;
  f.AddServers(1);
  f.mScheduler.SetAccountTerms(
    { { kShop, { 0, 1.0, {} } }, { AccountId("small"), { 0, 1.0, {} } } });
  auto job = Fixture::MakeJob("a", 8, 1);
  // Seven of them use more than half of the server's 64 cores and accelerators.
  job.mSteps[0].mPerTask.mCpuMilli = 4000;
  f.Add(job);
  const auto starts = f.StartAll();
  REQUIRE(starts.size() == 8);
  f.Add(Fixture::MakeJob("b", 1, 1));
  f.mNow += milliseconds(100);
  auto small = Fixture::MakeJob("c", 1, 1);
  small.mAccount = AccountId("small");
  f.Add(small);
  std::vector<RunningTask> others;
  for (std::size_t i = 1; i < starts.size(); ++i) {
    others.push_back({ starts[i].mAttempt, "", 10 });
  }
  f.Report(starts[0].mServer,
           others,
           { { 1, starts[0].mAttempt, TaskEndReason::eDone, "" } });
  const auto next = f.StartAll();
  REQUIRE(!next.empty());
  CHECK(next[0].mAttempt.mTask.mJob == "c");
}

// The load of an account that sends many times its rate while others keep
// theirs: only what lies beyond the rate waits for the others.
TEST_CASE("Jobs beyond an account's rate come after those of others")
{
  Fixture f;
  f.mScheduler.SetAccountTerms(
    { { kShop, { 0, 1.0, {} } }, { AccountId("other"), { 0, 1.0, {} } } });
  std::vector<std::string> order;
  for (int i = 0; i < 20; ++i) {
    auto job = Fixture::MakeJob("hot" + std::to_string(10 + i), 1, 8);
    job.mAcceptedMs = 1'000'000 + i;
    f.Add(job);
  }
  f.mNow += milliseconds(100);
  auto other = Fixture::MakeJob("other", 1, 8);
  other.mAccount = AccountId("other");
  other.mAcceptedMs = 1'000'100;
  f.Add(other);
  f.AddServers(6);
  const auto starts = f.StartAll();
  REQUIRE(starts.size() == 6);
  CHECK(std::any_of(starts.begin(), starts.end(), [](const auto& aStart) {
    return aStart.mAttempt.mTask.mJob == "other";
  }));
}

} // namespace
} // namespace flamingoloom::scheduler
