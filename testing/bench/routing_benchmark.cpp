// Compares failure-weighted routing, the circuit breaker and least-loaded
// routing when 6% of the backend servers fail at once or hang.
//
// Instance's Routing parameter chooses by FailureTracker only, so this harness
// repeats the calls of control::QuickRequests over dispatch::CreditPool under
// the virtual clock: the same time-outs, tries and retry budget.
#include <algorithm>
#include <array>
#include <deque>
#include <fstream>
#include <memory>
#include <set>
#include <utility>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "flamingoloom/dispatch/retry_budget.h"
#include "testing/bench/circuit_breaker.h"
#include "testing/fakes/virtual_clock.h"

namespace flamingoloom::testing::bench {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr base::Duration kDeadline = 500ms;
constexpr base::Duration kTimeToFail = 20ms;
constexpr base::Duration kRunTime = 50ms;
constexpr base::Time kFirstCall{ 1s };
constexpr base::Time kBroken{ 20s };
constexpr base::Time kRepaired{ 80s };
constexpr base::Time kLastCall{ 120s };
constexpr int kCentres = 3;
constexpr int kServersPerCentre = 16;
constexpr int kMostTries = 5;

struct Weighted
{
  static constexpr const char* kName = "failure-weighted";
  std::optional<dispatch::Route> Choose(
    const std::vector<dispatch::FreeSlot>& aFree,
    const dispatch::RouteQuery& aQuery)
  {
    auto route = dispatch::WeightedRouting::Choose(aFree, mTracker, aQuery);
    if (route && route->mIsProbe) {
      mTracker.OnProbe(route->mSlot.mServer.mId, aQuery.mNow);
    }
    return route;
  }
  void OnResult(const base::ServerId& aServer, bool aSucceeded, base::Time aNow)
  {
    if (aSucceeded) {
      mTracker.OnSuccess(aServer);
    } else {
      mTracker.OnFailure(aServer, aNow);
    }
  }
  dispatch::FailureTracker mTracker;
};

struct Breaker
{
  static constexpr const char* kName = "circuit breaker";
  std::optional<dispatch::Route> Choose(
    const std::vector<dispatch::FreeSlot>& aFree,
    const dispatch::RouteQuery& aQuery)
  {
    auto route = ChooseWithBreaker(aFree, mBreaker, aQuery);
    if (route) {
      mBreaker.OnSend(route->mSlot.mServer.mId, aQuery.mNow);
    }
    return route;
  }
  void OnResult(const base::ServerId& aServer, bool aSucceeded, base::Time aNow)
  {
    mBreaker.OnResult(aServer, aSucceeded, aNow);
  }
  CircuitBreaker mBreaker;
};

struct LeastLoaded
{
  static constexpr const char* kName = "least-loaded";
  static std::optional<dispatch::Route> Choose(
    const std::vector<dispatch::FreeSlot>& aFree,
    const dispatch::RouteQuery& aQuery)
  {
    return dispatch::LeastLoadedRouting::Choose(
      aFree, dispatch::FailureTracker(), aQuery);
  }
  static void OnResult(const base::ServerId&, bool, base::Time) {}
};

struct Load
{
  double mPerSecond = 0;
  // Credits for each server.
  int mCredits = 0;
  bool mHangs = false;
  std::uint64_t mSeed = 1;
};

struct Figures
{
  int mCalls = 0;
  int mInTime = 0;
  // Calls that arrived while servers were broken.
  int mCallsBroken = 0;
  int mInTimeBroken = 0;
  int mAttempts = 0;
  int mBrokenAttempts = 0;
  std::vector<base::Duration> mTimes;
  // From the repair to the first success of each server that was broken.
  std::vector<base::Duration> mReturns;
};

template <class Policy>
class Harness
{
public:
  Harness(const Load& aLoad, Figures& aFigures)
    : mLoad(aLoad)
    , mFigures(aFigures)
    , mClock(aLoad.mSeed)
  {
  }

  void Run()
  {
    PutCredits();
    mClock.At(kFirstCall, [this] { Arrive(); });
    mClock.RunUntil(kLastCall + kDeadline);
  }

private:
  struct Call
  {
    base::Time mBegin;
    int mTries = 0;
    std::vector<base::ServerId> mTried;
    bool mEnded = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  static std::string CentreName(int aCentre)
  {
    return std::string(1, static_cast<char>('a' + aCentre));
  }

  void PutCredits()
  {
    for (int centre = 0; centre < kCentres; ++centre) {
      platform::CreditGrant grant;
      grant.mDataCentre = base::DataCentreId(CentreName(centre));
      grant.mEpoch = base::Epoch(1);
      grant.mValidFor = 2s;
      for (int i = 1; i <= kServersPerCentre; ++i) {
        std::string name = fmt::format("{}-s{}", CentreName(centre), i);
        grant.mCredits.push_back(
          { { base::ServerId(name), "" }, mLoad.mCredits });
      }
      mPool.Put(grant, mClock.Now());
    }
    Pump();
    mClock.After(500ms, [this] { PutCredits(); });
  }

  void Arrive()
  {
    if (mClock.Now() >= kLastCall) {
      return;
    }
    auto call = std::make_shared<Call>();
    call->mBegin = mClock.Now();
    mBudget.OnFirstAttempt();
    ++mFigures.mCalls;
    mFigures.mCallsBroken += IsBrokenTime() ? 1 : 0;
    mClock.After(kDeadline, [this, call] { End(*call, false); });
    Try(call);
    auto mean = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(1 / mLoad.mPerSecond));
    mClock.After(mClock.Between(0ms, 2 * mean), [this] { Arrive(); });
  }

  bool IsBrokenTime() const
  {
    return mClock.Now() >= kBroken && mClock.Now() < kRepaired;
  }
  bool IsBroken(const base::ServerId& aServer) const
  {
    return IsBrokenTime() && WasBroken(aServer);
  }
  static bool WasBroken(const base::ServerId& aServer)
  {
    return aServer.Value().ends_with("-s3");
  }
  static int Distance(const base::DataCentreId& aDataCentre)
  {
    return aDataCentre.Value()[0] - 'a';
  }

  void Try(const CallPtr& aCall)
  {
    if (!TryNow(aCall)) {
      mWaiting.push_back(aCall);
    }
  }

  void Pump()
  {
    while (!mWaiting.empty() &&
           (mWaiting.front()->mEnded || TryNow(mWaiting.front()))) {
      mWaiting.pop_front();
    }
  }

  bool TryNow(const CallPtr& aCall)
  {
    dispatch::RouteQuery query;
    query.mNow = mClock.Now();
    query.mMayProbe = aCall->mTries == 0;
    query.mTried = aCall->mTried;
    query.mRandom = mClock.Random();
    query.mDistance = Distance;
    auto route = mPolicy.Choose(mPool.Free(query.mNow), query);
    if (!route) {
      return false;
    }
    Send(aCall, route->mSlot.mServer.mId);
    return true;
  }

  void Send(const CallPtr& aCall, const base::ServerId& aServer)
  {
    constexpr std::array kFactors{ 0.1, 0.8, 1.0, 1.0, 1.2, 3.0 };
    constexpr std::array kLatency{ 100us, 1000us, 20000us };
    ++aCall->mTries;
    ++mFigures.mAttempts;
    mPool.Acquire(aServer);
    base::Duration left = aCall->mBegin + kDeadline - mClock.Now();
    base::Duration limit =
      aCall->mTries == 1 ? left / 2 : std::max<base::Duration>(left, 0ms);
    bool broken = IsBroken(aServer);
    mFigures.mBrokenAttempts += broken ? 1 : 0;
    auto runTime = std::chrono::duration_cast<base::Duration>(
      kRunTime * kFactors[mClock.Random() % kFactors.size()]);
    base::Duration needed =
      (broken ? kTimeToFail : runTime) +
      2 * kLatency[static_cast<std::size_t>(aServer.Value()[0] - 'a')];
    if ((broken && mLoad.mHangs) || needed > limit) {
      mClock.After(limit, [=, this] { OnResult(aCall, aServer, false); });
    } else {
      mClock.After(needed, [=, this] { OnResult(aCall, aServer, !broken); });
    }
  }

  void OnResult(const CallPtr& aCall,
                const base::ServerId& aServer,
                bool aSucceeded)
  {
    mPool.Release(aServer);
    mPolicy.OnResult(aServer, aSucceeded, mClock.Now());
    if (aSucceeded && WasBroken(aServer) && mClock.Now() >= kRepaired &&
        mReturned.insert(aServer).second) {
      mFigures.mReturns.push_back(mClock.Now() - kRepaired);
    }
    if (aSucceeded) {
      End(*aCall, true);
    } else if (!aCall->mEnded) {
      aCall->mTried.push_back(aServer);
      if (aCall->mTries >= kMostTries || !mBudget.TakeRetry()) {
        End(*aCall, false);
      } else {
        Try(aCall);
      }
    }
    Pump();
  }

  void End(Call& aCall, bool aSucceeded)
  {
    if (std::exchange(aCall.mEnded, true)) {
      return;
    }
    mFigures.mTimes.push_back(mClock.Now() - aCall.mBegin);
    mFigures.mInTime += aSucceeded ? 1 : 0;
    bool broken = aCall.mBegin >= kBroken && aCall.mBegin < kRepaired;
    mFigures.mInTimeBroken += aSucceeded && broken ? 1 : 0;
  }

  Load mLoad;
  Figures& mFigures;
  fakes::VirtualClock mClock;
  Policy mPolicy;
  dispatch::CreditPool mPool;
  dispatch::RetryBudget mBudget;
  std::deque<CallPtr> mWaiting;
  std::set<base::ServerId> mReturned;
};

template <class Policy>
json Measure(Load aLoad, int aSeeds)
{
  Figures figures;
  for (int i = 0; i < aSeeds; ++i) {
    Harness<Policy>(aLoad, figures).Run();
    ++aLoad.mSeed;
  }
  std::ranges::sort(figures.mTimes);
  auto percentile = [&](std::size_t aPercent) {
    return static_cast<double>(
             figures.mTimes[figures.mTimes.size() * aPercent / 100].count()) /
           1000;
  };
  base::Duration sum{};
  for (base::Duration time : figures.mReturns) {
    sum += time;
  }
  auto returned = static_cast<base::Duration::rep>(figures.mReturns.size());
  json result{ { "policy", Policy::kName },
               { "mode", aLoad.mHangs ? "hang" : "fail at once" },
               { "perSecond", aLoad.mPerSecond },
               { "creditsPerServer", aLoad.mCredits },
               { "calls", figures.mCalls },
               { "inTimePercent", 100.0 * figures.mInTime / figures.mCalls },
               { "inTimeWhileBrokenPercent",
                 100.0 * figures.mInTimeBroken / figures.mCallsBroken },
               { "medianMs", percentile(50) },
               { "p99Ms", percentile(99) },
               { "attemptsOnBroken", figures.mBrokenAttempts },
               { "returnedServers", returned },
               { "meanReturnMs",
                 returned > 0 ? base::ToMilliseconds(sum / returned) : 0 } };
  fmt::print("{:<17} {:<13} {:>5.0f}/s {} credits: in time {:>7.3f}%, while "
             "broken {:>7.3f}%, median {:>5.1f} ms, p99 {:>6.1f} ms, {:>6} "
             "attempts on broken servers, {} returned after {} ms\n",
             Policy::kName,
             result["mode"].get<std::string>(),
             aLoad.mPerSecond,
             aLoad.mCredits,
             result["inTimePercent"].get<double>(),
             result["inTimeWhileBrokenPercent"].get<double>(),
             percentile(50),
             percentile(99),
             figures.mBrokenAttempts,
             returned,
             result["meanReturnMs"].get<long long>());
  return result;
}

} // namespace
} // namespace flamingoloom::testing::bench

int main(int aCount, char** aArguments)
{
  using namespace flamingoloom::testing::bench;
  CLI::App app{ "Compares routing with broken backend servers" };
  std::string output;
  int seeds = 3;
  app.add_option("--json", output, "file for the figures");
  app.add_option("--seeds", seeds, "seeds that are added up")
    ->check(CLI::PositiveNumber);
  CLI11_PARSE(app, aCount, aArguments);
  json results = json::array();
  for (bool hangs : { false, true }) {
    // One of six instances at the usual load, and at about three quarters of
    // what the near servers can do.
    for (const Load& load :
         { Load{ 67, 1, hangs, 1 }, Load{ 400, 2, hangs, 1 } }) {
      results.push_back(Measure<Weighted>(load, seeds));
      results.push_back(Measure<Breaker>(load, seeds));
      results.push_back(Measure<LeastLoaded>(load, seeds));
    }
  }
  if (!output.empty()) {
    std::ofstream(output) << results.dump(2) << "\n";
  }
  return 0;
}
