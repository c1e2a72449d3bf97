// Counts of requests that ended in time, per client account and job kind, over
// the windows of the burn report, and the burn rates that follow from them.
//
//   BurnCounter counter(startTime);
//   counter.Record(now, end);
//   BurnCounts counts = counter.Counts(now);
//   Merge(counts, countsOfAnotherInstance);
//   auto rate = BurnRate(Total(history), 0.99);
//
// Memory is fixed: at most kMostPairs pairs of about 2 KB each. Not
// thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/report/request_completion.h"

namespace flamingoloom::report {

struct BurnWindow
{
  const char* mName;
  base::Duration mLength;
};

inline constexpr std::size_t kWindowCount = 4;
inline constexpr std::array<BurnWindow, kWindowCount> kBurnWindows = {
  BurnWindow{ "5m", std::chrono::minutes(5) },
  BurnWindow{ "1h", std::chrono::hours(1) },
  BurnWindow{ "6h", std::chrono::hours(6) },
  BurnWindow{ "3d", std::chrono::hours(72) },
};
// The window over which the error budget is granted.
inline constexpr std::size_t kBudgetWindow = 3;

// A window covers between 59 and 60 sixtieths of its length, because the
// newest bucket is still being filled.
inline constexpr std::size_t kBucketsPerWindow = 60;

// 63 accounts with 16 kinds each, the size of docs/design.md section 1.7.
inline constexpr std::size_t kMostPairs = 1024;

struct CompletionCounts
{
  std::uint32_t mInTime = 0;
  // All that ended, in time or not; without cancelled requests.
  std::uint32_t mEnded = 0;

  CompletionCounts& operator+=(const CompletionCounts& aOther);

  friend bool operator==(const CompletionCounts&,
                         const CompletionCounts&) = default;
};

// One window's buckets by age, the newest first.
using History = std::array<CompletionCounts, kBucketsPerWindow>;
using Windows = std::array<History, kWindowCount>;
using PairKey = std::pair<base::AccountId, base::KindId>;

struct BurnCounts
{
  std::map<PairKey, Windows> mPairs;
  // Ends that were not counted because there were kMostPairs pairs.
  std::uint64_t mNotCounted = 0;

  friend bool operator==(const BurnCounts&, const BurnCounts&) = default;
};

// The last kBucketsPerWindow buckets of one width.
class BucketRing
{
public:
  explicit BucketRing(base::Duration aBucketWidth)
    : mWidth(aBucketWidth)
  {
  }

  // Requires that aNow does not go back.
  void Add(base::Time aNow, CompletionCounts aCounts);
  History Buckets(base::Time aNow) const;

private:
  std::int64_t IndexAt(base::Time aNow) const;
  void AdvanceTo(std::int64_t aIndex);

  base::Duration mWidth;
  // Number of the newest bucket since the start of the time line.
  std::int64_t mNewest = 0;
  std::array<CompletionCounts, kBucketsPerWindow> mRing{};
};

class BurnCounter
{
public:
  explicit BurnCounter(base::Time aStart)
    : mStart(aStart)
  {
  }

  // Requires that aNow does not go back. Cancelled requests are ignored.
  void Record(base::Time aNow, const RequestCompletion& aCompletion);
  BurnCounts Counts(base::Time aNow) const;
  base::Duration CountingFor(base::Time aNow) const { return aNow - mStart; }

private:
  struct Pair
  {
    std::array<BucketRing, kWindowCount> mRings;
    base::Time mLast{};
  };

  // Null when there is no room for another pair.
  Pair* FindOrAdd(base::Time aNow, const PairKey& aKey);
  // Drops the pairs with nothing in any window.
  void DropExpired(base::Time aNow);

  base::Time mStart;
  std::map<PairKey, Pair> mPairs;
  std::uint64_t mNotCounted = 0;
};

// Adds aOther to aInto. The buckets of two instances are not aligned, so a
// merged bucket is exact to one bucket width.
void Merge(BurnCounts& aInto, const BurnCounts& aOther);

CompletionCounts Total(const History& aHistory);

// Share of requests not in time divided by the share that the objective
// allows: 1 uses up exactly the budget. 0 when nothing ended. Nothing when the
// objective allows no bad request and there was one.
std::optional<double> BurnRate(const CompletionCounts& aCounts,
                               double aObjective);

// Share of the error budget that is left, given the counts of kBudgetWindow;
// negative when it is overspent. Nothing as for BurnRate.
std::optional<double> BudgetLeft(const CompletionCounts& aCounts,
                                 double aObjective);

} // namespace flamingoloom::report
