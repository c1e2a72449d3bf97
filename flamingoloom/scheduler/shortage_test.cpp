// What waits while room is short, and the room that is kept for urgent work.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

jobs::JobSpec Urgent(const std::string& aId, int aTasks, int aAccelerators)
{
  auto job = Fixture::MakeJob(aId, aTasks, aAccelerators);
  job.mRules.mPriority = 0;
  return job;
}

std::vector<std::string> JobsOf(const std::vector<StartCommand>& aStarts)
{
  std::vector<std::string> jobs;
  for (const auto& start : aStarts) {
    const auto& job = start.mAttempt.mTask.mJob;
    if (jobs.empty() || jobs.back() != job) {
      jobs.push_back(job);
    }
  }
  return jobs;
}

TEST_CASE(
  "Work becomes late with its objective, and too late at three times it")
{
  const Time accepted{ seconds(100) };
  const auto objective = accepted + seconds(4);
  const auto at = [&](milliseconds aAfter) {
    return TimelinessOf(accepted + aAfter, accepted, objective, seconds(2));
  };
  CHECK(at(milliseconds(2000)) == Timeliness::eInTime);
  CHECK(at(milliseconds(2001)) == Timeliness::eLate);
  CHECK(at(milliseconds(10000)) == Timeliness::eLate);
  CHECK(at(milliseconds(10001)) == Timeliness::eTooLate);
}

TEST_CASE("Claims are compared by what a longer wait costs the caller")
{
  const WaitingClaim urgent{ .mPriority = 0 };
  const WaitingClaim batch{ .mPriority = 2 };
  const WaitingClaim late{ .mPriority = 0, .mLate = true };
  const WaitingClaim tooLate{ .mTooLate = true, .mWorkIfTooLate = 10 };
  const WaitingClaim tooLateAndLarge{ .mTooLate = true, .mWorkIfTooLate = 90 };
  const WaitingClaim beyondRate{ .mBeyondRate = true, .mPriority = 0 };
  const WaitingClaim down{ .mHasEnd = false, .mPriority = 2 };
  std::vector<WaitingClaim> claims{ tooLateAndLarge, beyondRate, batch, late,
                                    tooLate,         urgent,     down };
  std::sort(claims.begin(), claims.end());
  const std::vector<WaitingClaim> expected{ down,      urgent,  late,
                                            batch,     tooLate, tooLateAndLarge,
                                            beyondRate };
  CHECK(claims == expected);
}

// Guards against urgent work that nobody waits for any more, and that takes the
// room of work which could still be in time: the load after an outage.
TEST_CASE("Work that is too late waits for work that is not")
{
  Fixture f;
  f.Add(Urgent("late", 1, 8));
  f.mNow += seconds(60);
  f.Add(Fixture::MakeJob("batch", 1, 8));
  f.AddServers(1);
  CHECK(JobsOf(f.RunPass().mStarts) == std::vector<std::string>{ "batch" });
}

TEST_CASE("Work that is too late still runs within its account's guarantee")
{
  Fixture f;
  f.mScheduler.SetAccountTerms({ { base::AccountId("shop"), { 8 } } });
  f.Add(Urgent("late", 1, 8));
  f.mNow += seconds(60);
  f.Add(Fixture::MakeJob("batch", 1, 8));
  f.AddServers(1);
  CHECK(JobsOf(f.RunPass().mStarts) == std::vector<std::string>{ "late" });
}

TEST_CASE("The expected urgent demand follows the arrivals of the last seconds")
{
  UrgentDemand demand;
  Time now{ seconds(100) };
  CHECK(demand.ExpectedAccelerators(now) == 0);
  for (int i = 0; i < 50; ++i) {
    demand.Record(now, 9);
    now += milliseconds(100);
  }
  CHECK(demand.ExpectedAccelerators(now) == 90);
  CHECK(demand.ExpectedAccelerators(now + seconds(6)) == 0);
}

// Twelve racks of two servers, with one of the racks empty.
struct FullFleet : Fixture
{
  explicit FullFleet(int aRacks = 12)
  {
    for (int rack = 0; rack < aRacks; ++rack) {
      AddServers(2, ("r" + std::to_string(10 + rack)).c_str(), 2 * rack);
    }
    Add(Fixture::MakeJob("running", 2 * aRacks - 2, 8));
    const auto starts = StartAll();
    REQUIRE(starts.size() == 2U * static_cast<std::size_t>(aRacks) - 2);
    // Tells the scheduler of urgent demand.
    Add(Urgent("first", 1, 16));
    mScheduler.Cancel("first");
  }
};

// The load of long work that takes each gap, so that urgent work has to stop
// running work each time.
TEST_CASE("While the fleet is full a rack is kept for urgent work")
{
  FullFleet f;
  f.Add(Fixture::MakeJob("batch", 1, 8));
  CHECK(f.StartAll().empty());
  f.Add(Urgent("urgent", 2, 8));
  CHECK(JobsOf(f.StartAll()) == std::vector<std::string>{ "urgent" });
}

TEST_CASE("Without urgent demand nothing is kept")
{
  FullFleet f;
  f.mNow += seconds(6);
  f.Add(Fixture::MakeJob("batch", 1, 8));
  CHECK(f.StartAll().size() == 1);
}

// Guards against small fleets that keep a large part of their room.
TEST_CASE("A rack that is a large part of the fleet is not kept")
{
  FullFleet f(4);
  f.Add(Fixture::MakeJob("batch", 1, 8));
  CHECK(f.StartAll().size() == 1);
}

// Guards against work that stands still beside plenty of room.
TEST_CASE("A fleet with plenty of room keeps nothing")
{
  Fixture f;
  for (int rack = 0; rack < 12; ++rack) {
    f.AddServers(2, ("r" + std::to_string(10 + rack)).c_str(), 2 * rack);
  }
  f.Add(Urgent("first", 1, 16));
  f.mScheduler.Cancel("first");
  f.Add(Fixture::MakeJob("batch", 24, 8));
  CHECK(f.StartAll().size() == 24);
}

TEST_CASE("Work whose data is in a kept rack, and services, may run there")
{
  FullFleet f;
  std::set<std::string> busy;
  for (const auto& [id, server] : f.mScheduler.ServerFleet().Servers()) {
    if (!server.mAttempts.empty()) {
      busy.insert(server.mInfo.mRack);
    }
  }
  std::string idle;
  for (const auto& info : f.mInfos) {
    idle = busy.count(info.mRack) == 0 ? info.mRack : idle;
  }
  auto near = Fixture::MakeJob("near", 1, 8);
  near.mSteps[0].mDataRack = idle;
  f.Add(near);
  auto service = Fixture::MakeJob("service", 1, 8);
  service.mSteps[0].mLongRunning = true;
  f.Add(service);
  CHECK(f.StartAll().size() == 2);
}

} // namespace
} // namespace flamingoloom::scheduler
