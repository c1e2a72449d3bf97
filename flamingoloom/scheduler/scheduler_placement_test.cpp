#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <set>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

// A job within its account's guarantee has to start by preempting less urgent
// work. Guards against a guarantee that waits until that work completes.
TEST_CASE("A guaranteed job preempts less urgent work")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("low", 1, 8));
  const auto low = f.StartAll().at(0);
  auto job = Fixture::MakeJob("high", 1, 8);
  job.mRules.mPriority = 0;
  f.mScheduler.SetAccountTerms({ { job.mAccount, { 8 } } });
  f.Add(job);
  // Capacity may become free without preemption during half of the time that a
  // stop takes.
  CHECK(f.RunPass().mStops.empty());
  f.AdvanceToPreemption();
  const auto commands = f.RunPass();
  REQUIRE(commands.mStops.size() == 1);
  CHECK(commands.mStops[0].mAttempt == low.mAttempt);
  f.mNow += milliseconds(50);
  f.Report(
    low.mServer, {}, { { 1, low.mAttempt, TaskEndReason::eStopped, "" } });
  const auto starts = f.RunPass().mStarts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].mAttempt.mTask.mJob == "high");
}

// Another account of the same priority may use capacity beyond its own
// guarantee. Guards against it keeping the capacity when the owner of a
// guarantee needs it.
TEST_CASE("A guaranteed job preempts accounts that exceed their guarantee")
{
  Fixture f;
  f.AddServers(1);
  auto other = Fixture::MakeJob("other", 1, 8);
  other.mRules.mPriority = 0;
  other.mAccount = base::AccountId("large");
  f.mScheduler.SetAccountTerms(
    { { base::AccountId("shop"), { 8 } }, { other.mAccount, { 4 } } });
  f.Add(other);
  f.StartAll();
  auto job = Fixture::MakeJob("high", 1, 8);
  job.mRules.mPriority = 0;
  f.Add(job);
  CHECK(f.RunPass().mStops.empty());
  f.mNow += milliseconds(600);
  const auto commands = f.RunPass();
  REQUIRE(commands.mStops.size() == 1);
  CHECK(commands.mStops[0].mAttempt.mTask.mJob == "other");
}

// Guards against a guarantee that is applied to all or none of an account's
// jobs: the account would lose it as soon as its jobs need more.
TEST_CASE("An account that needs more than its guarantee keeps it")
{
  Fixture f;
  f.AddServers(2);
  f.Add(Fixture::MakeJob("low", 2, 8));
  f.StartAll();
  f.mScheduler.SetAccountTerms({ { base::AccountId("shop"), { 8 } } });
  for (const char* id : { "high1", "high2" }) {
    auto job = Fixture::MakeJob(id, 1, 8);
    job.mRules.mPriority = 0;
    f.Add(job);
  }
  f.RunPass();
  f.AdvanceToPreemption();
  CHECK(f.RunPass().mStops.size() == 1);
  f.mNow += milliseconds(1000);
  CHECK(f.RunPass().mStops.empty());
}

// Guards against starvation of a gang: small tasks take each bit of capacity
// that becomes free, so that never enough is free for all members.
TEST_CASE("A gang that does not fit reserves capacity that will soon be free")
{
  Fixture f;
  f.AddServers(1);
  auto small = Fixture::MakeJob("small", 4, 1);
  small.mRules.mPriority = 2;
  f.Add(small);
  const auto running = f.StartAll();
  REQUIRE(running.size() == 4);
  auto gang = Fixture::MakeJob("gang", 2, 4);
  gang.mSteps[0].mGang = true;
  f.Add(gang);
  small.mId = "more";
  f.Add(small);
  CHECK(f.StartAll().empty());
  f.mNow += milliseconds(1000);
  f.ReportDone(running);
  const auto starts = f.RunPass().mStarts;
  REQUIRE(starts.size() == 2);
  CHECK(starts[0].mAttempt.mTask.mJob == "gang");
}

// A server may restart with other labels while a gang has a reservation on it.
// Guards against starting the gang there although the requirements are no
// longer met.
TEST_CASE("A reservation is abandoned when its server has another label")
{
  Fixture f;
  f.AddServers(1);
  f.mInfos[0].mLabels = { "fast" };
  f.UpdateServers();
  f.Add(Fixture::MakeJob("first", 4, 1));
  const auto running = f.StartAll();
  auto gang = Fixture::MakeJob("gang", 2, 4);
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
  CHECK(f.RunPass().mStarts.empty());
}

// Guards against a more urgent job that waits because capacity is reserved for
// a less urgent gang.
TEST_CASE("More urgent work uses capacity that is only reserved")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("first", 4, 1));
  f.StartAll();
  auto gang = Fixture::MakeJob("gang", 2, 4);
  gang.mSteps[0].mGang = true;
  f.Add(gang);
  CHECK(f.StartAll().empty());
  auto urgent = Fixture::MakeJob("urgent", 2, 1);
  urgent.mRules.mPriority = 0;
  f.Add(urgent);
  CHECK(f.StartAll().size() == 2);
}

// Guards against starvation of a wide guaranteed job: a later, more urgent one
// takes the capacity that preemption has freed for the first, and so on.
TEST_CASE("Capacity freed by preemption is not used by a more urgent job")
{
  Fixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("low", 1, 8));
  const auto low = f.StartAll().at(0);
  f.mScheduler.SetAccountTerms({ { base::AccountId("shop"), { 16 } } });
  auto first = Fixture::MakeJob("first", 1, 8);
  first.mRules.mPriority = 0;
  f.Add(first);
  f.RunPass();
  f.AdvanceToPreemption();
  CHECK(f.RunPass().mStops.size() == 1);
  auto second = Fixture::MakeJob("second", 1, 8);
  second.mRules.mPriority = 0;
  second.mRules.mStretch = 1.0;
  f.Add(second);
  f.Report(
    low.mServer, {}, { { 1, low.mAttempt, TaskEndReason::eStopped, "" } });
  const auto starts = f.RunPass().mStarts;
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].mAttempt.mTask.mJob == "first");
}

// Guards against a gang that uses up its attempts on faulty servers beside
// sound ones, as its members only change places.
TEST_CASE("A gang avoids the servers on which any of its members failed")
{
  for (const bool sameRack : { false, true }) {
    INFO("same rack: " << sameRack);
    Fixture f;
    f.AddServers(4, "r1");
    f.AddServers(4, "r2", 4);
    auto job = Fixture::MakeJob("a", 4, 8);
    job.mSteps[0].mGang = true;
    job.mSteps[0].mSameRack = sameRack;
    f.Add(job);
    const auto starts = f.StartAll();
    REQUIRE(starts.size() == 4);
    std::set<ServerId> failed;
    for (const auto& start : starts) {
      failed.insert(start.mServer);
      f.Report(start.mServer,
               {},
               { { 1, start.mAttempt, TaskEndReason::eFailed, "" } });
    }
    const auto restarts = f.RunPass().mStarts;
    CHECK(restarts.size() == 4);
    for (const auto& start : restarts) {
      CHECK(failed.count(start.mServer) == 0);
    }
  }
}

// Guards against a long-running task that is not started again after a crash as
// long as more urgent work fills the fleet.
TEST_CASE("A long-running task that is down comes before more urgent work")
{
  // The platform allows 6 s.
  constexpr auto kRestartTime = seconds(6);
  constexpr auto kPassInterval = milliseconds(250);
  // The urgent work takes whole servers, or leaves only gaps.
  for (const int accelerators : { 8, 1 }) {
    INFO("accelerators of an urgent task: " << accelerators);
    Fixture f;
    f.AddServers(2);
    auto service = Fixture::MakeJob("service", 1, 8);
    service.mSteps[0].mLongRunning = true;
    service.mRules.mPriority = 2;
    f.Add(service);
    const auto start = f.StartAll().at(0);
    int jobs = 0;
    for (; jobs < 64; ++jobs) {
      f.Add(Fixture::MakeJob("urgent" + std::to_string(jobs), 1, accelerators));
    }
    std::map<ServerId, std::deque<StartCommand>> running;
    for (const auto& urgent : f.StartAll()) {
      running[urgent.mServer].push_back(urgent);
    }
    f.Report(start.mServer,
             {},
             { { 1, start.mAttempt, TaskEndReason::eLeaseExpired, "" } });
    bool serviceRuns = false;
    std::map<ServerId, std::int64_t> completions{ { start.mServer, 1 } };
    for (base::Duration down{ 0 }; down < kRestartTime && !serviceRuns;
         down += kPassInterval) {
      for (const auto& urgent : f.StartAll()) {
        serviceRuns = serviceRuns || urgent.mAttempt.mTask.mJob == "service";
        running[urgent.mServer].push_back(urgent);
      }
      f.mNow += kPassInterval;
      // One urgent task ends on each server, as others keep coming.
      for (auto& [server, starts] : running) {
        if (!starts.empty()) {
          const auto ended = starts.front();
          starts.pop_front();
          std::vector<RunningTask> others;
          for (const auto& other : starts) {
            others.push_back({ other.mAttempt, "", 50 });
          }
          f.Report(server,
                   others,
                   { { ++completions[server],
                       ended.mAttempt,
                       TaskEndReason::eDone,
                       "" } });
        }
        f.Add(
          Fixture::MakeJob("urgent" + std::to_string(jobs++), 1, accelerators));
      }
    }
    CHECK(serviceRuns);
  }
}

} // namespace
} // namespace flamingoloom::scheduler
