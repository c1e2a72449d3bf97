// Random queues with exact run times: backfill must not delay the first job.
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "flamingoloom/placement/backfill.h"

namespace flamingoloom::placement {

namespace {

using std::chrono::seconds;

const DataCentreCapacity kCapacity{ base::DataCentreId("a"), 2, 4, 4 };

// Gap to the previous arrival, size and run time.
using Arrival = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

class ExactQueue
{
public:
  explicit ExactQueue(int aLargeGang)
    : mPlacement(kCapacity)
    , mLargeGang(aLargeGang)
  {
  }

  void Run(const std::vector<Arrival>& aArrivals)
  {
    base::Time next;
    int key = 0;
    for (const auto& [gap, size, runTime] : aArrivals) {
      next += seconds(gap % 8);
      EndUntil(next);
      mNow = next;
      mWaiting.push_back(Job{ { base::AccountId("x"), std::to_string(++key) },
                              {},
                              1 << size % 6,
                              1,
                              true,
                              seconds(1 + runTime % 50) });
      Decide();
    }
    EndUntil(base::Time::max());
    RC_ASSERT(mWaiting.empty());
  }

private:
  void EndUntil(base::Time aLimit)
  {
    while (!mEnds.empty() && mEnds.begin()->first <= aLimit) {
      mNow = mEnds.begin()->first;
      for (auto end = mEnds.begin(); end != mEnds.end() && end->first == mNow;
           end = mEnds.erase(end)) {
        mPlacement.Finish(end->second);
      }
      Decide();
    }
  }

  void Decide()
  {
    const auto queue = DecideQueue(mPlacement, mWaiting, mNow, mLargeGang);
    std::vector<Job> waiting;
    for (std::size_t i = 0; i < mWaiting.size(); ++i) {
      const Job& job = mWaiting[i];
      if (std::holds_alternative<Placed>(queue.mDecisions[i])) {
        mEnds.emplace(mNow + job.mExpectedRunTime, job.mRequest);
      } else {
        waiting.push_back(job);
      }
    }
    mWaiting = std::move(waiting);
    CheckFirst();
  }

  // The first job starts no later than expected when it became the first.
  void CheckFirst()
  {
    if (mWaiting.empty() || mWaiting.front().mRequest != mFirst) {
      mFirst = mWaiting.empty() ? base::RequestId{} : mWaiting.front().mRequest;
      mLatest.reset();
    }
    if (mWaiting.empty()) {
      return;
    }
    const auto expected = mPlacement.Reserve(mWaiting.front(), mNow);
    RC_ASSERT(expected);
    // The macro evaluates all parts of its expression.
    if (mLatest) {
      RC_ASSERT(expected->mStart <= *mLatest);
    }
    mLatest = expected->mStart;
  }

  Placement mPlacement;
  int mLargeGang;
  base::Time mNow;
  std::vector<Job> mWaiting;
  std::multimap<base::Time, base::RequestId> mEnds;
  base::RequestId mFirst;
  std::optional<base::Time> mLatest;
};

bool FirstIsNeverDelayed(int aLargeGang)
{
  return rc::check([&] {
    ExactQueue(aLargeGang)
      .Run(*rc::gen::scale(4.0, rc::gen::arbitrary<std::vector<Arrival>>()));
  });
}

} // namespace

// Guards against backfill that delays the job with the reservation.
TEST_CASE("with exact run times backfill does not delay the first job")
{
  CHECK(FirstIsNeverDelayed(1));
}

// Guards against a property that would pass without reservations.
TEST_CASE("without reservations the first job is delayed")
{
  MESSAGE("the falsified property that follows is expected");
  constexpr int kNoReservations = 1'000;
  CHECK_FALSE(FirstIsNeverDelayed(kNoReservations));
}

} // namespace flamingoloom::placement
