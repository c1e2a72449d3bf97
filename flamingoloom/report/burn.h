// Counts the requests that completed within their targets, per pair of client
// account and job kind and per window of the burn report, and computes the burn
// rates of the error budget.
//
//   BurnCounter counter(startTime);
//   counter.Record(now, completion);
//   BurnCounts counts = counter.Counts(now);
//   Merge(counts, countsOfAnotherInstance);
//   auto rate = BurnRate(Total(history), 0.99);  // objective 99%
//
// Memory is bounded: at most kMaxPairs pairs of about 2 KB each. Not
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
// Index of the window over which the error budget is granted.
inline constexpr std::size_t kBudgetWindow = 3;

// A window covers between 59/60 and the whole of its length, because the newest
// bucket is still being filled.
inline constexpr std::size_t kBucketsPerWindow = 60;

// Enough for 63 accounts with 16 kinds each (docs/design.md, section 1.7).
inline constexpr std::size_t kMaxPairs = 1024;

struct CompletionCounts
{
  std::uint32_t mInTime = 0;
  // All completed requests, in time or not, except for cancelled ones.
  std::uint32_t mEnded = 0;

  CompletionCounts& operator+=(const CompletionCounts& aOther);

  friend bool operator==(const CompletionCounts&,
                         const CompletionCounts&) = default;
};

// The buckets of one window, the newest first.
using History = std::array<CompletionCounts, kBucketsPerWindow>;
using Windows = std::array<History, kWindowCount>;
using PairKey = std::pair<base::AccountId, base::KindId>;

struct BurnCounts
{
  std::map<PairKey, Windows> mPairs;
  // Completions that were not counted because there were kMaxPairs pairs.
  std::uint64_t mNotCounted = 0;

  friend bool operator==(const BurnCounts&, const BurnCounts&) = default;
};

// Ring buffer of the last kBucketsPerWindow buckets, all of the same width.
class BucketRing
{
public:
  explicit BucketRing(base::Duration aBucketWidth)
    : mWidth(aBucketWidth)
  {
  }

  // Requires that aNow is not earlier than in the previous call.
  void Add(base::Time aNow, CompletionCounts aCounts);
  History Buckets(base::Time aNow) const;

private:
  std::int64_t IndexAt(base::Time aNow) const;
  void AdvanceTo(std::int64_t aIndex);

  base::Duration mWidth;
  // Number of the newest bucket, counted from the epoch of the clock.
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

  // Ignores cancelled requests. Requires that aNow is not earlier than in the
  // previous call.
  void Record(base::Time aNow, const RequestCompletion& aCompletion);
  BurnCounts Counts(base::Time aNow) const;
  base::Duration CountingFor(base::Time aNow) const { return aNow - mStart; }

private:
  struct Pair
  {
    std::array<BucketRing, kWindowCount> mRings;
    base::Time mLastCompletion{};
  };

  // Returns null when the pair is new and there are kMaxPairs pairs.
  Pair* FindOrAdd(base::Time aNow, const PairKey& aKey);
  // Removes the pairs without a completion in any window.
  void DropExpired(base::Time aNow);

  base::Time mStart;
  std::map<PairKey, Pair> mPairs;
  std::uint64_t mNotCounted = 0;
};

// Adds aOther to aInto. The buckets of two instances are not aligned in time,
// so completions in a merged bucket may be off by up to one bucket width.
void Merge(BurnCounts& aInto, const BurnCounts& aOther);

CompletionCounts Total(const History& aHistory);

// Returns the share of requests that were not in time, divided by the share
// that the objective allows: at a rate of 1, the error budget is used up
// exactly. Returns 0 when no request completed, and no value when the objective
// allows no bad request and there was one.
std::optional<double> BurnRate(const CompletionCounts& aCounts,
                               double aObjective);

// Returns the share of the error budget that is left, given the counts of
// kBudgetWindow; negative when the budget is overspent. Returns no value in the
// same case as BurnRate.
std::optional<double> BudgetLeft(const CompletionCounts& aCounts,
                                 double aObjective);

} // namespace flamingoloom::report
