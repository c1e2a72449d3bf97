// Tracks which backend servers have acknowledged the epoch of a held lease.
//
// The epoch is the fencing token of the lease: a server that has acknowledged
// an epoch rejects every task start that carries a lower one. Not thread-safe.
#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::ownership {

class FenceTracker
{
public:
  // Records that the server rejects epochs below aEpoch.
  void OnAcknowledged(const base::ServerId& aServer, base::Epoch aEpoch)
  {
    base::Epoch& known = mAcknowledged[aServer];
    known = std::max(known, aEpoch);
  }

  bool IsFenced(const base::ServerId& aServer, base::Epoch aEpoch) const
  {
    auto found = mAcknowledged.find(aServer);
    return found != mAcknowledged.end() && found->second >= aEpoch;
  }

  // Returns the members of aServers that have not acknowledged aEpoch.
  std::vector<platform::Member> Missing(
    const std::vector<platform::Member>& aServers,
    base::Epoch aEpoch) const
  {
    std::vector<platform::Member> missing;
    for (const platform::Member& server : aServers) {
      if (!IsFenced(base::ServerId(server.mId), aEpoch)) {
        missing.push_back(server);
      }
    }
    return missing;
  }

private:
  std::map<base::ServerId, base::Epoch> mAcknowledged;
};

} // namespace flamingoloom::ownership
