#include <doctest/doctest.h>

#include "flamingoloom/scheduler/scheduler_fixture.h"

namespace flamingoloom::scheduler {
namespace {

struct ReportFixture : Fixture
{
  WaitingReport Report()
  {
    std::map<std::string, Job*> jobs;
    for (const auto& [id, job] : mScheduler.Jobs()) {
      jobs.emplace(id, job.get());
    }
    return { mScheduler.ServerFleet(), mOutOfService, jobs, mNow };
  }

  // The reason for which the longest-waiting step of the only account waits.
  WaitReason Reason()
  {
    const auto report = Report();
    REQUIRE(report.Accounts().size() == 1);
    return report.Accounts()[0].mLongest.mReason;
  }

  std::set<base::DataCentreId> mOutOfService;
};

// Guards against a line that blames missing capacity while the step waits for
// the rack of its data.
TEST_CASE("A step that waits for the rack of its data says so")
{
  ReportFixture f;
  f.AddServers(1, "r1");
  f.AddServers(2, "r2", 1);
  f.Add(Fixture::MakeJob("first", 1, 8));
  auto job = Fixture::MakeJob("local", 1, 8);
  job.mSteps[0].mDataRack = "r1";
  f.mInfos[0].mLabels = { "first" };
  f.StartAll();
  auto blocker = Fixture::MakeJob("blocker", 1, 8);
  blocker.mSteps[0].mDataRack = "r1";
  f.Add(blocker);
  f.StartAll();
  f.Add(job);
  f.RunPass();
  CHECK(f.Reason() == WaitReason::eLocalCapacity);
  const auto room = f.Report().Accounts()[0].mLongest.mRoom;
  CHECK(room.mNear == 0);
  CHECK(room.mFree > 0);
}

TEST_CASE("A step without free capacity says so, with its wait")
{
  ReportFixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("first", 1, 8));
  f.StartAll();
  f.Add(Fixture::MakeJob("second", 1, 8));
  f.RunPass();
  CHECK(f.Reason() == WaitReason::eNoCapacity);
  f.mNow += seconds(3);
  CHECK(f.Report().Accounts()[0].mLongest.mWaited >= seconds(3));
  CHECK(f.Report().Summary().mFreeAccelerators == 0);
}

TEST_CASE("A step that only quarantined or draining servers could run says so")
{
  ReportFixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("first", 1, 8));
  const auto start = f.StartAll().at(0);
  // A server that rejects a start for want of room is left alone for a moment.
  f.Add(Fixture::MakeJob("second", 1, 8));
  f.Fixture::Report(
    start.mServer, {}, { { 1, start.mAttempt, TaskEndReason::eDone, "" } });
  const auto second = f.RunPass().mStarts.at(0);
  f.mScheduler.OnStart(f.mNow, second, StartResult::eNoCapacity, false);
  f.RunPass();
  CHECK(f.Reason() == WaitReason::eQuarantine);
  CHECK(f.Report().Summary().mQuarantined == 1);
  f.mInfos[0].mDraining = true;
  f.UpdateServers();
  CHECK(f.Reason() == WaitReason::eUnusableServers);
  CHECK(f.Report().Summary().mDraining == 1);
}

TEST_CASE("A gang says that it waits for what it or another gang has planned")
{
  ReportFixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("first", 4, 1));
  f.StartAll();
  auto gang = Fixture::MakeJob("gang", 2, 4);
  gang.mSteps[0].mGang = true;
  f.Add(gang);
  f.RunPass();
  CHECK(f.Reason() == WaitReason::ePlanned);
  CHECK(f.Report().Summary().mPlannedAccelerators == 8);
  auto small = Fixture::MakeJob("small", 1, 1);
  small.mRules.mPriority = 2;
  small.mAccount = base::AccountId("other");
  f.Add(small);
  f.RunPass();
  const auto report = f.Report();
  REQUIRE(report.Accounts().size() == 2);
  for (const auto& account : report.Accounts()) {
    CHECK(account.mLongest.mReason == (account.mAccount == small.mAccount
                                         ? WaitReason::ePlannedByOthers
                                         : WaitReason::ePlanned));
  }
}

TEST_CASE("A step is not reported while one of its tasks runs")
{
  ReportFixture f;
  f.AddServers(1);
  f.Add(Fixture::MakeJob("first", 2, 8));
  CHECK(f.StartAll().size() == 1);
  CHECK(f.Report().Accounts().empty());
}

// Guards against work that stands still after a change of leader without a line
// that says where it may still run.
TEST_CASE("An attempt of an earlier leader is reported as unresolved")
{
  ReportFixture f;
  f.Add(Fixture::MakeJob("a", 1, 8));
  f.mScheduler.RestoreStep(
    "a",
    { 0,
      0,
      { { 0, jobs::TaskOutcome::eAssigned, 1, ServerId("gone"), 0, "" } },
      0 },
    f.mNow + seconds(12));
  f.mScheduler.Resume(f.mNow);
  CHECK(f.Reason() == WaitReason::eUnresolved);
}

} // namespace
} // namespace flamingoloom::scheduler
