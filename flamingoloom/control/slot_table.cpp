#include "flamingoloom/control/slot_table.h"

#include <algorithm>

namespace flamingoloom::control {

void SlotTable::SetServers(const std::vector<platform::Member>& aServers)
{
  mServers = aServers;
}

const platform::Member* SlotTable::LeastUsed(
  const std::vector<base::ServerId>& aExcluded) const
{
  const platform::Member* best = nullptr;
  int bestUsed = mSlots;
  for (const platform::Member& server : mServers) {
    base::ServerId id(server.mId);
    auto used = mUsed.find(id);
    int count = used == mUsed.end() ? 0 : used->second;
    bool isExcluded =
      std::find(aExcluded.begin(), aExcluded.end(), id) != aExcluded.end();
    if (!isExcluded && count < bestUsed) {
      best = &server;
      bestUsed = count;
    }
  }
  return best;
}

std::optional<std::vector<ledger::TaskPlacement>> SlotTable::Place(
  const base::RequestId& aRequest,
  int aTasks,
  const std::vector<base::ServerId>& aExcluded)
{
  std::vector<ledger::TaskPlacement> placements;
  for (int task = 0; task < aTasks; ++task) {
    const platform::Member* server = LeastUsed(aExcluded);
    if (!server) {
      Finish(aRequest);
      return std::nullopt;
    }
    base::ServerId id(server->mId);
    ++mUsed[id];
    mHeld[aRequest].push_back(id);
    placements.push_back({ { id, server->mAddress }, {} });
  }
  return placements;
}

void SlotTable::Adopt(const base::RequestId& aRequest,
                      const std::vector<ledger::TaskPlacement>& aPlacements)
{
  for (const ledger::TaskPlacement& taskPlacement : aPlacements) {
    ++mUsed[taskPlacement.mServer.mId];
    mHeld[aRequest].push_back(taskPlacement.mServer.mId);
  }
}

void SlotTable::Finish(const base::RequestId& aRequest)
{
  auto held = mHeld.find(aRequest);
  if (held == mHeld.end()) {
    return;
  }
  for (const base::ServerId& server : held->second) {
    --mUsed[server];
  }
  mHeld.erase(held);
}

void SlotTable::Clear()
{
  mServers.clear();
  mUsed.clear();
  mHeld.clear();
}

} // namespace flamingoloom::control
