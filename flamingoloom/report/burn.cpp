#include "flamingoloom/report/burn.h"

#include <algorithm>

namespace flamingoloom::report {
namespace {

std::array<BucketRing, kWindowCount> MakeRings()
{
  auto ring = [](std::size_t aWindow) {
    return BucketRing(kBurnWindows[aWindow].mLength /
                      static_cast<std::int64_t>(kBucketsPerWindow));
  };
  return { ring(0), ring(1), ring(2), ring(3) };
}

} // namespace

CompletionCounts& CompletionCounts::operator+=(const CompletionCounts& aOther)
{
  mInTime += aOther.mInTime;
  mEnded += aOther.mEnded;
  return *this;
}

// --- BucketRing ----------------------------------------------------------

std::int64_t BucketRing::IndexAt(base::Time aNow) const
{
  return aNow.time_since_epoch() / mWidth;
}

void BucketRing::AdvanceTo(std::int64_t aIndex)
{
  const auto size = static_cast<std::int64_t>(kBucketsPerWindow);
  std::int64_t first = std::max(mNewest + 1, aIndex - size + 1);
  for (std::int64_t i = first; i <= aIndex; ++i) {
    mRing[static_cast<std::size_t>(i % size)] = {};
  }
  mNewest = std::max(mNewest, aIndex);
}

void BucketRing::Add(base::Time aNow, CompletionCounts aCounts)
{
  AdvanceTo(IndexAt(aNow));
  mRing[static_cast<std::size_t>(mNewest) % kBucketsPerWindow] += aCounts;
}

History BucketRing::Buckets(base::Time aNow) const
{
  BucketRing current = *this;
  current.AdvanceTo(IndexAt(aNow));
  History history{};
  for (std::size_t age = 0; age < kBucketsPerWindow; ++age) {
    std::int64_t index = current.mNewest - static_cast<std::int64_t>(age);
    if (index >= 0) {
      history[age] =
        current.mRing[static_cast<std::size_t>(index) % kBucketsPerWindow];
    }
  }
  return history;
}

// --- BurnCounter ---------------------------------------------------------

void BurnCounter::Record(base::Time aNow, const RequestCompletion& aCompletion)
{
  if (aCompletion.mResult == Result::eCancelled) {
    return;
  }
  Pair* pair = FindOrAdd(aNow, { aCompletion.mAccount, aCompletion.mKind });
  if (!pair) {
    ++mNotCounted;
    return;
  }
  CompletionCounts counts{ aCompletion.mResult == Result::eInTime ? 1U : 0U,
                           1 };
  for (BucketRing& ring : pair->mRings) {
    ring.Add(aNow, counts);
  }
  pair->mLastCompletion = aNow;
}

BurnCounter::Pair* BurnCounter::FindOrAdd(base::Time aNow, const PairKey& aKey)
{
  auto found = mPairs.find(aKey);
  if (found != mPairs.end()) {
    return &found->second;
  }
  if (mPairs.size() >= kMaxPairs) {
    DropExpired(aNow);
  }
  if (mPairs.size() >= kMaxPairs) {
    return nullptr;
  }
  return &mPairs.emplace(aKey, Pair{ MakeRings(), aNow }).first->second;
}

void BurnCounter::DropExpired(base::Time aNow)
{
  std::erase_if(mPairs, [aNow](const auto& aPair) {
    return aNow - aPair.second.mLastCompletion >
           kBurnWindows[kBudgetWindow].mLength;
  });
}

BurnCounts BurnCounter::Counts(base::Time aNow) const
{
  BurnCounts counts;
  counts.mNotCounted = mNotCounted;
  for (const auto& [key, pair] : mPairs) {
    Windows& windows = counts.mPairs[key];
    for (std::size_t i = 0; i < kWindowCount; ++i) {
      windows[i] = pair.mRings[i].Buckets(aNow);
    }
  }
  return counts;
}

// --- Merging and rates ---------------------------------------------------

void Merge(BurnCounts& aInto, const BurnCounts& aOther)
{
  aInto.mNotCounted += aOther.mNotCounted;
  for (const auto& [key, windows] : aOther.mPairs) {
    Windows& into = aInto.mPairs[key];
    for (std::size_t i = 0; i < kWindowCount; ++i) {
      for (std::size_t age = 0; age < kBucketsPerWindow; ++age) {
        into[i][age] += windows[i][age];
      }
    }
  }
}

CompletionCounts Total(const History& aHistory)
{
  CompletionCounts total;
  for (const CompletionCounts& bucket : aHistory) {
    total += bucket;
  }
  return total;
}

std::optional<double> BurnRate(const CompletionCounts& aCounts,
                               double aObjective)
{
  if (aCounts.mEnded <= aCounts.mInTime) {
    return 0;
  }
  double allowed = 1 - aObjective;
  if (allowed <= 0) {
    return std::nullopt;
  }
  double bad = aCounts.mEnded - aCounts.mInTime;
  return bad / aCounts.mEnded / allowed;
}

std::optional<double> BudgetLeft(const CompletionCounts& aCounts,
                                 double aObjective)
{
  auto rate = BurnRate(aCounts, aObjective);
  return rate ? std::optional(1 - *rate) : std::nullopt;
}

} // namespace flamingoloom::report
