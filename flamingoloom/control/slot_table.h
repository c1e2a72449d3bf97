// The slots of the backend servers of one data centre that are reserved for
// recorded requests without accelerators. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/ledger/record.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::control {

class SlotTable
{
public:
  // aSlots of each server are reserved for recorded requests.
  explicit SlotTable(int aSlots)
    : mSlots(aSlots)
  {
  }

  // Sets the servers that may get new work. Slots in use on other servers stay
  // counted until they are released.
  void SetServers(const std::vector<platform::Member>& aServers);

  bool HasServers() const { return !mServers.empty(); }

  // Allocates one slot for each of aTasks on the servers with the fewest slots
  // in use, except those in aExcluded. Returns nothing, and allocates nothing,
  // if there are not enough.
  std::optional<std::vector<ledger::TaskPlacement>> Place(
    const base::RequestId& aRequest,
    int aTasks,
    const std::vector<base::ServerId>& aExcluded);

  // Counts the slots of an attempt that is already running.
  void Adopt(const base::RequestId& aRequest,
             const std::vector<ledger::TaskPlacement>& aPlacements);
  void Finish(const base::RequestId& aRequest);
  void Clear();

private:
  const platform::Member* LeastUsed(
    const std::vector<base::ServerId>& aExcluded) const;

  int mSlots;
  std::vector<platform::Member> mServers;
  std::map<base::ServerId, int> mUsed;
  std::map<base::RequestId, std::vector<base::ServerId>> mHeld;
};

} // namespace flamingoloom::control
