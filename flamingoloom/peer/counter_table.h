// The counters of one PeerNode, as they are updated and read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/peer/counters.h"

namespace flamingoloom::peer::internal {

// Thread-safe. Counts at most aMaxPeers peers separately. Beyond that, the
// counters of the least recently used peer are added to
// NodeCounters::mEvictedPeers. Without this limit the table would grow with
// each instance that is replaced by a new one.
class CounterTable
{
public:
  explicit CounterTable(std::size_t aMaxPeers);

  NodeCounters Snapshot() const;

  // Calls aChange with the counters, under the lock.
  template <class Change>
  void Update(Change aChange)
  {
    std::lock_guard lock(mMutex);
    aChange(mCounters);
  }

  // Calls aChange with the counters of aPeer, under the lock.
  template <class Change>
  void UpdatePeer(const base::InstanceId& aPeer, Change aChange)
  {
    std::lock_guard lock(mMutex);
    aChange(Entry(aPeer));
  }

private:
  PeerCounters& Entry(const base::InstanceId& aPeer);
  void RemoveLeastRecentlyUsed();

  const std::size_t mMaxPeers;
  mutable std::mutex mMutex;
  NodeCounters mCounters;
  std::map<base::InstanceId, std::uint64_t> mLastUse;
  std::uint64_t mUses = 0;
};

} // namespace flamingoloom::peer::internal
