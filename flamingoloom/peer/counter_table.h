// The counters of one PeerNode while they are being written.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/peer/counters.h"

namespace flamingoloom::peer::internal {

// Thread-safe. Keeps at most a given number of peers; the peer that was used
// least recently is then added to NodeCounters::mFormerPeers. Without this
// limit the table would grow with each instance that is replaced.
class CounterTable
{
public:
  explicit CounterTable(std::size_t aMaxPeers);

  NodeCounters Snapshot() const;

  template <class Change>
  void Update(Change aChange)
  {
    std::lock_guard lock(mMutex);
    aChange(mCounters);
  }

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
