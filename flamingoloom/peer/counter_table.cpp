#include "flamingoloom/peer/counter_table.h"

#include <algorithm>

namespace flamingoloom::peer::internal {
namespace {

void Add(PeerCounters& aSum, const PeerCounters& aAddend)
{
  aSum.mCalls += aAddend.mCalls;
  aSum.mFailures += aAddend.mFailures;
  aSum.mTimeouts += aAddend.mTimeouts;
  aSum.mBytesSent += aAddend.mBytesSent;
  aSum.mBytesReceived += aAddend.mBytesReceived;
}

} // namespace

CounterTable::CounterTable(std::size_t aMaxPeers)
  : mMaxPeers(std::max<std::size_t>(aMaxPeers, 1))
{
}

NodeCounters CounterTable::Snapshot() const
{
  std::lock_guard lock(mMutex);
  return mCounters;
}

PeerCounters& CounterTable::Entry(const base::InstanceId& aPeer)
{
  if (!mCounters.mPeers.contains(aPeer) &&
      mCounters.mPeers.size() >= mMaxPeers) {
    RemoveLeastRecentlyUsed();
  }
  mLastUse[aPeer] = ++mUses;
  return mCounters.mPeers[aPeer];
}

void CounterTable::RemoveLeastRecentlyUsed()
{
  auto oldest = std::min_element(
    mLastUse.begin(), mLastUse.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second < aTwo.second;
    });
  if (oldest == mLastUse.end()) {
    return;
  }
  Add(mCounters.mEvictedPeers, mCounters.mPeers[oldest->first]);
  mCounters.mPeers.erase(oldest->first);
  mLastUse.erase(oldest);
}

} // namespace flamingoloom::peer::internal
