#include "flamingoloom/scheduler/account_limits.h"

#include <doctest/doctest.h>

#include "flamingoloom/scheduler/account_rates.h"

namespace flamingoloom::scheduler {
namespace {

using base::AccountId;
using jobs::Resources;

const AccountId kShop("shop");

AccountLimits LimitsOf(const Resources& aMaximum, double aTolerance = 0)
{
  AccountLimits limits(aTolerance);
  limits.SetTerms({ { kShop, { 0, 0, aMaximum } } });
  return limits;
}

jobs::StepSpec Gang(int aTasks, const Resources& aPerTask)
{
  jobs::StepSpec step;
  step.mGang = true;
  step.mTaskCount = aTasks;
  step.mPerTask = aPerTask;
  return step;
}

// Guards against a limit of one resource that hides that of another.
TEST_CASE("Each resource has a limit of its own, and 0 is none")
{
  const Resources need{ 1000, 500, 1 };
  CHECK(LimitsOf({ 3000, 0, 0 }).Room(kShop, need, 10) == 3);
  CHECK(LimitsOf({ 0, 1000, 0 }).Room(kShop, need, 10) == 2);
  CHECK(LimitsOf({ 0, 0, 5 }).Room(kShop, need, 10) == 5);
  CHECK(LimitsOf({ 3000, 1000, 5 }).Room(kShop, need, 10) == 2);
  CHECK(LimitsOf({}).Room(kShop, need, 10) == 10);
  CHECK(LimitsOf({ 3000, 1000, 5 }).Room(AccountId("x"), need, 10) == 10);
}

TEST_CASE("What an account has running is subtracted until it is removed")
{
  auto limits = LimitsOf({ 0, 0, 4 });
  const Resources need{ 0, 0, 2 };
  limits.Add(kShop, need);
  CHECK(limits.Room(kShop, need, 10) == 1);
  limits.Add(kShop, need);
  CHECK(limits.Room(kShop, need, 10) == 0);
  limits.Remove(kShop, need);
  CHECK(limits.Room(kShop, need, 10) == 1);
}

// Guards against starts by a negative room after the maximum has fallen.
TEST_CASE("Nothing may start while more runs than a lowered maximum")
{
  auto limits = LimitsOf({ 0, 0, 8 });
  for (int i = 0; i < 4; ++i) {
    limits.Add(kShop, { 0, 0, 2 });
  }
  limits.SetTerms({ { kShop, { 0, 0, { 0, 0, 2 } } } });
  CHECK(limits.Room(kShop, { 0, 0, 1 }, 10) == 0);
  CHECK(limits.Room(kShop, { 0, 0, 0 }, 10) == 0);
}

// Guards against work that can never run: a task has no smaller form.
TEST_CASE("A task that is larger than the maximum runs alone")
{
  auto limits = LimitsOf({ 0, 0, 4 });
  const Resources large{ 0, 0, 8 };
  CHECK(limits.Room(kShop, large, 3) == 1);
  limits.Add(kShop, large);
  CHECK(limits.Room(kShop, large, 2) == 0);
  CHECK(limits.Room(kShop, { 0, 0, 1 }, 2) == 0);
}

TEST_CASE("A gang that exceeds the maximum runs alone, within the tolerance")
{
  const Resources need{ 0, 0, 1 };
  CHECK(MayEverRun(Gang(11, need), { 0, 0, 10 }, 0));
  CHECK(!MayEverRun(Gang(12, need), { 0, 0, 10 }, 0));
  CHECK(MayEverRun(Gang(12, need), { 0, 0, 10 }, 0.1));
  CHECK(!MayEverRun(Gang(13, need), { 0, 0, 10 }, 0.1));
  CHECK(MayEverRun(Gang(500, need), {}, 0));
  jobs::StepSpec wide = Gang(500, need);
  wide.mGang = false;
  CHECK(MayEverRun(wide, { 0, 0, 10 }, 0));

  auto limits = LimitsOf({ 0, 0, 10 });
  CHECK(limits.Admits(kShop, Gang(11, need)));
  limits.Add(kShop, need);
  CHECK(!limits.Admits(kShop, Gang(11, need)));
  CHECK(limits.Admits(kShop, Gang(9, need)));
  CHECK(!limits.Admits(kShop, Gang(10, need)));
}

// Guards against an account that sends many times its rate and so loses the
// claim of all its jobs, or keeps that of all of them.
TEST_CASE("Jobs beyond an account's rate are told from those within it")
{
  AccountRates rates(std::chrono::seconds(5));
  rates.SetRate(kShop, 2.0);
  int within = 0;
  // Twelve a second over 20 s, after a full window of ten.
  for (std::int64_t ms = 1'000'000; ms < 1'020'000; ms += 83) {
    within += rates.IsBeyond(kShop, ms) ? 0 : 1;
  }
  CHECK(within >= 49);
  CHECK(within <= 51);
  CHECK(!rates.IsBeyond(kShop, 1'030'000));
  CHECK(!rates.IsBeyond(AccountId("x"), 1'030'000));
}

TEST_CASE("A time of day that steps back gives no further claims")
{
  AccountRates rates(std::chrono::seconds(1));
  rates.SetRate(kShop, 1.0);
  CHECK(!rates.IsBeyond(kShop, 1'000'000));
  CHECK(rates.IsBeyond(kShop, 990'000));
  CHECK(rates.IsBeyond(kShop, 1'000'500));
  CHECK(!rates.IsBeyond(kShop, 1'001'000));
}

} // namespace
} // namespace flamingoloom::scheduler
