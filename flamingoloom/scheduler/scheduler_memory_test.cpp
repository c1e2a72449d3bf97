#include <doctest/doctest.h>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

// Fixture stores the ends of jobs with the store's time 1000.
constexpr std::int64_t kAfterEnd = 1001;

std::int64_t MemoryOf(const Fixture& aFixture, bool aUrgent = false)
{
  return aFixture.mScheduler.Memory().Of({ base::AccountId("shop"), aUrgent });
}

// Guards against jobs that have ended and take as much memory as before, until
// their rows are removed: an account that hands in and cancels without end
// filled the memory of the leader.
TEST_CASE("Only the keys of the rows remain of a job that has ended")
{
  Fixture fixture;
  fixture.AddServers(1);
  auto job = Fixture::MakeJob("a", 2, 1);
  job.mPayload = std::string(4000, 'x');
  fixture.Add(job);
  CHECK(MemoryOf(fixture) == admission::JobMemory(job));
  fixture.ReportDone(fixture.StartAll());
  fixture.RunPass();
  REQUIRE(fixture.State("a") == JobState::eCompleted);
  fixture.mScheduler.CompactEndedJobs(kAfterEnd - 1);
  CHECK(!fixture.mScheduler.IsEndedJob("a"));
  fixture.mScheduler.CompactEndedJobs(kAfterEnd);
  CHECK(fixture.mScheduler.IsEndedJob("a"));
  CHECK(fixture.mScheduler.Jobs().empty());
  CHECK(MemoryOf(fixture) == admission::EndedJobMemory(1));
  const auto expired = fixture.mScheduler.TakeExpiredJobs(kAfterEnd);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].mStepKeys == std::vector<std::string>{ "a/0/0" });
  CHECK(fixture.mScheduler.Memory() == admission::MemoryUse{});
}

// Guards against a task that runs on although its job is forgotten: nothing
// would stop it, and its server's capacity would be given away twice.
TEST_CASE("A job of which an attempt may run is not compacted")
{
  Fixture fixture;
  fixture.AddServers(1);
  fixture.Add(Fixture::MakeJob("a", 1, 1));
  REQUIRE(fixture.StartAll().size() == 1);
  REQUIRE(fixture.mScheduler.Cancel("a"));
  fixture.RunPass();
  fixture.mScheduler.CompactEndedJobs(kAfterEnd);
  CHECK(!fixture.mScheduler.IsEndedJob("a"));
  fixture.Report(
    ServerId("s0"),
    {},
    { { 1, { { "a", 0, 0, 0 }, 1 }, TaskEndReason::eStopped, "" } });
  fixture.RunPass();
  fixture.mScheduler.CompactEndedJobs(kAfterEnd);
  CHECK(fixture.mScheduler.IsEndedJob("a"));
}

// Guards against a job that runs again since its row is seen once more, and
// against a cancellation marker of it that is never removed.
TEST_CASE("A compacted job is known")
{
  Fixture fixture;
  fixture.AddServers(1);
  const auto job = Fixture::MakeJob("a", 1, 1);
  fixture.Add(job);
  fixture.ReportDone(fixture.StartAll());
  fixture.RunPass();
  fixture.mScheduler.CompactEndedJobs(kAfterEnd);
  fixture.Add(job);
  CHECK(fixture.RunPass().mStarts.empty());
  CHECK(fixture.mScheduler.IsKnownJob("a"));
  CHECK(fixture.mScheduler.Cancel("a"));
  const auto expired = fixture.mScheduler.TakeExpiredJobs(kAfterEnd);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].mCancelled);
}

// Guards against thousands of starts that are sent at once, each with its copy
// of the specification, and against urgent work that waits behind them.
TEST_CASE("Starts beyond the budget wait, urgent ones at the front")
{
  Fixture fixture;
  fixture.AddServers(2);
  auto job = Fixture::MakeJob("a", 8, 1);
  job.mPayload = std::string(4000, 'x');
  fixture.Add(job);
  fixture.mScheduler.Schedule(fixture.mNow, fixture.mUnixMs);
  fixture.Store();
  auto urgent = Fixture::MakeJob("b", 1, 1);
  urgent.mRules.mPriority = 0;
  fixture.Add(urgent);
  fixture.mScheduler.Schedule(fixture.mNow, fixture.mUnixMs);
  fixture.Store();
  StartCommand large;
  large.mPayload = std::make_shared<const std::string>(job.mPayload);
  const auto bytes = CommandMemory(large);
  // The urgent start is small. Of the others one fits beside it, since the
  // room of another is reserved.
  const auto first = fixture.mScheduler.TakeCommands({ 3 * bytes, bytes });
  REQUIRE(first.mStarts.size() == 2);
  CHECK(first.mStarts[0].mAttempt.mTask.mJob == "b");
  CHECK(first.mStarts[1].mAttempt.mTask.mJob == "a");
  CHECK(*first.mStarts[1].mPayload == job.mPayload);
  CHECK(fixture.mScheduler.HasCommands());
  CHECK(fixture.mScheduler.TakeCommands({ bytes, bytes }).mStarts.empty());
  CHECK(fixture.mScheduler.TakeCommands().mStarts.size() == 7);
  CHECK(!fixture.mScheduler.HasCommands());
}

// Guards against stops to servers that do not respond, which are sent again and
// again and held back urgent starts.
TEST_CASE("Stops leave room for urgent starts")
{
  Fixture fixture;
  fixture.AddServers(1);
  fixture.Add(Fixture::MakeJob("a", 4, 1));
  REQUIRE(fixture.StartAll().size() == 4);
  REQUIRE(fixture.mScheduler.Cancel("a"));
  auto urgent = Fixture::MakeJob("b", 1, 1);
  urgent.mRules.mPriority = 0;
  fixture.Add(urgent);
  fixture.mScheduler.Schedule(fixture.mNow, fixture.mUnixMs);
  fixture.Store();
  const auto reserved = 2 * CommandMemory({});
  const auto commands = fixture.mScheduler.TakeCommands(
    { kStopCommandMemory + reserved / 2, reserved });
  CHECK(commands.mStops.size() == 1);
  CHECK(commands.mStarts.size() == 1);
  CHECK(fixture.mScheduler.TakeCommands().mStops.size() == 3);
}

// Guards against a change of leader that gives an account its rate anew: jobs
// that have ended count too.
TEST_CASE("Jobs that have ended count for the rate of their account")
{
  Fixture fixture;
  AccountTermsMap terms;
  terms[base::AccountId("shop")].mWeight = 0.2;
  fixture.mScheduler.SetAccountTerms(terms);
  const admission::MemoryClass shop{ base::AccountId("shop"), false };
  fixture.mScheduler.AddEndedJob("a", { shop, 1000, 1000, false, {} });
  auto job = Fixture::MakeJob("b", 1, 1);
  job.mAcceptedMs = 1001;
  fixture.Add(job);
  fixture.mScheduler.Resume(fixture.mNow);
  CHECK(fixture.mScheduler.Jobs().at("b")->mBeyondRate);
}

} // namespace
} // namespace flamingoloom::scheduler
