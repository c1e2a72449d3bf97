#include "testing/real_cluster/still_judge.h"

#include <doctest/doctest.h>

namespace flamingoloom::testing::real_cluster {
namespace {

constexpr int kMaxAttempts = 2;
constexpr Capacity kNeed{ 1000, 100, 1 };
constexpr Capacity kServer{ 8000, 800, 8 };
constexpr double kLookMs = 100;

JobStep Step(int aCount = 1)
{
  JobStep step;
  step.mCount = aCount;
  step.mNeed = kNeed;
  return step;
}

JobStep Gang(int aCount)
{
  auto step = Step(aCount);
  step.mGang = true;
  return step;
}

struct World
{
  StillJudge mJudge{ kMaxAttempts };
  double mNowMs = 0;
  std::vector<Capacity> mRooms{ kServer, kServer };
  Capacity mUsed;

  void Submit(const std::string& aJob, const JobSteps& aSteps)
  {
    mJudge.Submit(aJob, aSteps);
    mJudge.Accept(aJob, mNowMs);
  }

  void Pass(double aMs)
  {
    for (const double untilMs = mNowMs + aMs; mNowMs < untilMs;) {
      mJudge.Look(mNowMs, mRooms, mUsed, { 16000, 1600, 16 });
      mNowMs += kLookMs;
    }
  }

  int Broken()
  {
    mJudge.Finish(mNowMs);
    return mJudge.Broken();
  }
};

TEST_CASE("a job that stands beside room for over 3 s is reported")
{
  World world;
  world.Submit("a", { Step() });
  world.Pass(3500);
  world.mJudge.Start("a.0.0.0", 1, world.mNowMs);
  REQUIRE(world.Broken() == 1);
  CHECK(world.mJudge.Stills()[0].mMoved);
  CHECK(world.mJudge.Stills()[0].mFromMs == 0);
  CHECK(world.mJudge.Lines()[0] ==
        "still: job a has nothing running from 0.0 to 3.4 s, task 0.0 could "
        "run (0 runs so far; 0 more stand so, 0 move later) calm");
}

TEST_CASE("a job moves later also if its room went in between")
{
  World world;
  world.Submit("a", { Step() });
  world.Pass(4000);
  world.mRooms = {};
  world.Pass(1000);
  REQUIRE(world.mJudge.Stills().size() == 1);
  CHECK_FALSE(world.mJudge.Stills()[0].mMoved);
  world.mJudge.Start("a.0.0.0", 1, world.mNowMs);
  CHECK(world.mJudge.Stills()[0].mMoved);
}

TEST_CASE("a job that starts within 3 s is not reported")
{
  World world;
  world.Submit("a", { Step() });
  world.Pass(2900);
  world.mJudge.Start("a.0.0.0", 1, world.mNowMs);
  world.Pass(10000);
  world.mJudge.End("a.0.0.0", 1, "done", world.mNowMs);
  world.Pass(10000);
  CHECK(world.Broken() == 0);
}

TEST_CASE("a gang whose members have all ended is reported, one that partly "
          "runs is not")
{
  World world;
  world.Submit("a", { Gang(2) });
  world.mJudge.Start("a.0.0.0", 1, world.mNowMs);
  world.mJudge.Start("a.0.0.1", 1, world.mNowMs);
  world.mJudge.End("a.0.0.0", 1, "lost", world.mNowMs);
  world.Pass(5000);
  CHECK(world.mJudge.Stills().empty());
  CHECK(world.mJudge.HasRunSince("a", world.mNowMs));
  world.mJudge.End("a.0.0.1", 1, "broken", world.mNowMs);
  CHECK(world.mJudge.HasRunSince("a", world.mNowMs));
  CHECK_FALSE(world.mJudge.HasRunSince("a", world.mNowMs + 1));
  world.Pass(5000);
  REQUIRE(world.Broken() == 1);
  CHECK(world.mJudge.Stills()[0].mRuns == 2);
}

TEST_CASE("room counts twice over, for all members of a gang")
{
  for (const int members : { 8, 9 }) {
    World world;
    world.Submit("a", { Gang(members) });
    world.Pass(5000);
    CHECK(world.Broken() == (members == 8 ? 1 : 0));
  }
  World world;
  world.mRooms = { kNeed };
  world.Submit("a", { Step() });
  world.Pass(5000);
  CHECK(world.Broken() == 0);
}

TEST_CASE("a service of which half is in use excuses waiting")
{
  World world;
  world.mUsed.mGpus = 8;
  world.Submit("a", { Step() });
  world.Pass(5000);
  CHECK(world.Broken() == 0);
}

TEST_CASE("a step waits for the steps that it comes after")
{
  World world;
  auto second = Step();
  second.mAfter = { 0 };
  world.Submit("a", { Step(), second });
  world.mJudge.Start("a.0.0.0", 1, world.mNowMs);
  world.Pass(9000);
  CHECK(world.mJudge.Stills().empty());
  world.mJudge.End("a.0.0.0", 1, "done", world.mNowMs);
  world.Pass(3500);
  REQUIRE(world.Broken() == 1);
  CHECK(world.mJudge.Stills()[0].mStep == 1);
}

TEST_CASE("an end that was lost makes its task's turn come again")
{
  World world;
  world.Submit("a", { Step() });
  world.mJudge.Start("a.0.0.0", 1, world.mNowMs);
  world.mJudge.End("a.0.0.0", 1, "done", world.mNowMs);
  world.Pass(5000);
  CHECK(world.mJudge.Stills().empty());
  world.mJudge.Undo("a.0.0.0");
  world.Pass(5000);
  CHECK(world.Broken() == 1);
}

TEST_CASE("a span counts only if it and the 4 s before it are calm")
{
  for (const double passMs : { 6900, 7500 }) {
    World world;
    world.mJudge.Disrupt(0);
    world.Submit("a", { Step() });
    world.Pass(passMs);
    CHECK(world.Broken() == (passMs > 7000 ? 1 : 0));
    CHECK(world.mJudge.Stills().size() == 1);
  }
}

TEST_CASE("trouble does not excuse a job that stands after the end")
{
  World world;
  world.mJudge.EndTraffic(0);
  world.Submit("a", { Step() });
  world.Pass(13000);
  world.mJudge.Disrupt(world.mNowMs);
  world.Pass(1500);
  REQUIRE(world.Broken() == 1);
  CHECK(world.mJudge.Stills()[0].mAtEnd);
}

TEST_CASE("a long-running task is judged by itself, 6 s after its last run")
{
  World world;
  auto step = Step(2);
  step.mLasts = true;
  world.Submit("a", { step });
  world.mJudge.Start("a.0.0.0", 1, world.mNowMs);
  world.mJudge.Start("a.0.0.1", 1, world.mNowMs);
  world.mJudge.End("a.0.0.1", 1, "lost", world.mNowMs);
  world.Pass(9000);
  CHECK(world.mJudge.Stills().empty());
  world.Pass(1000);
  REQUIRE(world.Broken() == 1);
  CHECK(world.mJudge.Stills()[0].mIndex == 1);
}

TEST_CASE("jobs that are cancelled, not accepted or out of attempts are not "
          "owed")
{
  World world;
  world.Submit("cancelled", { Step() });
  world.mJudge.Forget("cancelled");
  world.mJudge.Submit("not accepted", { Step() });
  world.Submit("failed", { Step() });
  for (int run = 1; run <= kMaxAttempts; ++run) {
    world.mJudge.Start("failed.0.0.0", run, world.mNowMs);
    world.mJudge.End("failed.0.0.0", run, "failed", world.mNowMs);
  }
  world.Pass(9000);
  CHECK(world.Broken() == 0);
}

} // namespace
} // namespace flamingoloom::testing::real_cluster
