// Drawn orders of events (starts, stops, lost and late answers, crashes,
// changes of limits and of leader) against a model that counts what runs on the
// servers.
#include <doctest/doctest.h>

#include "testing/scheduler_load/scheduler_load.h"

namespace flamingoloom::testing::scheduler_load {
namespace {

using base::AccountId;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSeeds = 6;
constexpr int kServers = 60;
constexpr double kLoad = 0.12;

// Maxima around what the accounts ask for. Every third second one account has a
// quarter of it, and in between accounts without limits of some resources.
scheduler::AccountTermsMap ChangingTerms(base::Duration aElapsed)
{
  constexpr int kAccounts = 10;
  const auto second = base::ToMilliseconds(aElapsed) / 1000;
  scheduler::AccountTermsMap terms;
  for (int i = 0; i < kAccounts; ++i) {
    scheduler::AccountTerms account{ 16, 2.0, { 700'000, 1'500'000, 60 } };
    if (second % 3 == 0 && second % kAccounts == i) {
      account.mMaximum = { 175'000, 375'000, 15 };
    } else if ((second + i) % 7 == 0) {
      account.mMaximum = { 0, 1'500'000, 60 };
    }
    terms[AccountId("account" + std::to_string(i))] = account;
  }
  return terms;
}

LoadOptions Options(std::uint64_t aSeed)
{
  LoadOptions options;
  options.mSeed = aSeed;
  options.mServers = kServers;
  options.mLoad = kLoad;
  options.mTerms = ChangingTerms;
  return options;
}

void CheckMaxima(const std::function<void(LoadOptions&)>& aDisturb)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto options = Options(seed);
    aDisturb(options);
    SchedulerLoad load(options);
    load.Run();
    CAPTURE(seed);
    CHECK(load.Starts() > 100);
    CHECK(load.StartsAboveMaximum() == 0);
  }
}

TEST_CASE("No account exceeds a maximum that changes under load")
{
  CheckMaxima([](LoadOptions&) {});
}

// Guards against a successor that does not count what it has not yet heard of.
TEST_CASE("No account exceeds its maximum across changes of leader")
{
  CheckMaxima([](LoadOptions& aOptions) {
    aOptions.mHandOverInterval = milliseconds(2300);
  });
  CheckMaxima([](LoadOptions& aOptions) {
    aOptions.mHandOverInterval = milliseconds(3100);
    aOptions.mLeadersKilled = true;
  });
}

// Guards against attempts that are given up before they are known to be gone.
TEST_CASE("No account exceeds its maximum while answers are lost or late")
{
  CheckMaxima([](LoadOptions& aOptions) { aOptions.mLostAnswerShare = 0.1; });
}

TEST_CASE("No account exceeds its maximum while servers crash, fail and leave")
{
  CheckMaxima([](LoadOptions& aOptions) {
    aOptions.mLostAnswerShare = 0.05;
    aOptions.mHandOverInterval = seconds(5);
    aOptions.mCrashInterval = seconds(4);
    aOptions.mCrashTime = seconds(3);
    aOptions.mCrashShare = 0.05;
    aOptions.mFailingInterval = seconds(9);
    aOptions.mDrainInterval = seconds(1);
  });
}

} // namespace
} // namespace flamingoloom::testing::scheduler_load
