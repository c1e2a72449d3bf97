// Checks with random queues and exact run times that backfill does not delay
// the first job.
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

// Gap to the previous arrival, size and run time of one job, as raw numbers.
using Arrival = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

class ExactQueue
{
public:
  explicit ExactQueue(int aMinReservationSize)
    : mPlacement(kCapacity)
    , mMinReservationSize(aMinReservationSize)
  {
  }

  void Run(const std::vector<Arrival>& aArrivals)
  {
    base::Time next;
    int key = 0;
    for (const auto& [gap, size, runTime] : aArrivals) {
      next += seconds(gap % 8);
      CompleteUntil(next);
      mNow = next;
      mWaiting.push_back(Job{ { base::AccountId("x"), std::to_string(++key) },
                              {},
                              1 << size % 6,
                              1,
                              true,
                              seconds(1 + runTime % 50) });
      PlaceWaiting();
    }
    CompleteUntil(base::Time::max());
    RC_ASSERT(mWaiting.empty());
  }

private:
  void CompleteUntil(base::Time aLimit)
  {
    while (!mCompletions.empty() && mCompletions.begin()->first <= aLimit) {
      mNow = mCompletions.begin()->first;
      for (auto end = mCompletions.begin();
           end != mCompletions.end() && end->first == mNow;
           end = mCompletions.erase(end)) {
        mPlacement.Finish(end->second);
      }
      PlaceWaiting();
    }
  }

  void PlaceWaiting()
  {
    const auto queue =
      DecideQueue(mPlacement, mWaiting, mNow, mMinReservationSize);
    std::vector<Job> waiting;
    for (std::size_t i = 0; i < mWaiting.size(); ++i) {
      const Job& job = mWaiting[i];
      if (std::holds_alternative<Placed>(queue.mDecisions[i])) {
        mCompletions.emplace(mNow + job.mExpectedRunTime, job.mRequest);
      } else {
        waiting.push_back(job);
      }
    }
    mWaiting = std::move(waiting);
    CheckFirst();
  }

  // Asserts that the job at the head of the queue is never expected to start
  // later than it was when it became the head.
  void CheckFirst()
  {
    if (mWaiting.empty() || mWaiting.front().mRequest != mFirstRequest) {
      mFirstRequest =
        mWaiting.empty() ? base::RequestId{} : mWaiting.front().mRequest;
      mLatestStart.reset();
    }
    if (mWaiting.empty()) {
      return;
    }
    const auto expected = mPlacement.Reserve(mWaiting.front(), mNow);
    RC_ASSERT(expected);
    // The condition is outside of the macro because the macro evaluates all
    // parts of its expression, also *mLatestStart when it has no value.
    if (mLatestStart) {
      RC_ASSERT(expected->mStart <= *mLatestStart);
    }
    mLatestStart = expected->mStart;
  }

  Placement mPlacement;
  int mMinReservationSize;
  base::Time mNow;
  std::vector<Job> mWaiting;
  std::multimap<base::Time, base::RequestId> mCompletions;
  base::RequestId mFirstRequest;
  std::optional<base::Time> mLatestStart;
};

bool FirstIsNeverDelayed(int aMinReservationSize)
{
  return rc::check([&] {
    ExactQueue(aMinReservationSize)
      .Run(*rc::gen::scale(4.0, rc::gen::arbitrary<std::vector<Arrival>>()));
  });
}

} // namespace

// Guards against backfill that places a job on blocks of the reservation
// although it runs beyond the start of the reservation, which delays the first
// job.
TEST_CASE("backfill with exact run times does not delay the first job")
{
  CHECK(FirstIsNeverDelayed(1));
}

// Guards against a property above that detects nothing: without reservations,
// small jobs must delay the first job.
TEST_CASE("without reservations the first job is delayed")
{
  MESSAGE("the property check below is expected to fail");
  constexpr int kNoReservations = 1'000;
  CHECK_FALSE(FirstIsNeverDelayed(kNoReservations));
}

} // namespace flamingoloom::placement
