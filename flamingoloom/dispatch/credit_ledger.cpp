#include "flamingoloom/dispatch/credit_ledger.h"

#include <algorithm>
#include <iterator>

namespace flamingoloom::dispatch {

void CreditLedger::DropExpired(base::Time aNow)
{
  std::erase_if(
    mHolders, [&](const auto& aEntry) { return aEntry.second.mUntil <= aNow; });
}

int CreditLedger::Granted(base::Time aNow, const base::ServerId& aServer) const
{
  int granted = 0;
  for (const auto& [holder, grant] : mHolders) {
    if (grant.mUntil <= aNow) {
      continue;
    }
    for (const platform::Credit& credit : grant.mCredits) {
      granted += credit.mServer.mId == aServer ? credit.mCount : 0;
    }
  }
  return granted;
}

std::vector<platform::Credit> CreditLedger::Grant(
  base::Time aNow,
  base::Time aUntil,
  const base::InstanceId& aHolder,
  int aWanted,
  const std::vector<ServerSlots>& aServers)
{
  DropExpired(aNow);
  // The holder itself is counted among the holders that share the slots.
  mHolders[aHolder] = HolderGrant{ aUntil, aWanted, {} };
  int holders = static_cast<int>(mHolders.size());
  int position =
    static_cast<int>(std::distance(mHolders.begin(), mHolders.find(aHolder)));

  std::vector<platform::Credit> credits;
  int offset = 0;
  for (const ServerSlots& server : aServers) {
    int share = server.mSlots / holders;
    // The remainder of each server goes to other holders than the remainder of
    // the server before it.
    int turn = (position + offset) % holders;
    share += turn < server.mSlots % holders ? 1 : 0;
    offset += server.mSlots % holders;
    int free = server.mSlots - Granted(aNow, server.mServer.mId);
    int count = std::clamp(share, 0, std::max(free, 0));
    if (count > 0) {
      credits.push_back({ server.mServer, count });
    }
  }
  mHolders[aHolder].mCredits = credits;
  mLastExpiry = std::max(mLastExpiry, aUntil);
  return credits;
}

} // namespace flamingoloom::dispatch
