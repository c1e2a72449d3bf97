#include "flamingoloom/dispatch/credit_pool.h"

namespace flamingoloom::dispatch {

void CreditPool::Put(const platform::CreditGrant& aGrant,
                     base::Time aRequestedAt)
{
  auto found = mGrants.find(aGrant.mDataCentre);
  if (found != mGrants.end() && found->second.mGrant.mEpoch > aGrant.mEpoch) {
    return;
  }
  mGrants[aGrant.mDataCentre] =
    Grant{ aGrant, aRequestedAt + aGrant.mValidFor };
}

void CreditPool::Drop(const base::DataCentreId& aDataCentre)
{
  if (auto found = mGrants.find(aDataCentre); found != mGrants.end()) {
    found->second.mUntil = base::Time{};
  }
}

std::vector<FreeSlot> CreditPool::Free(base::Time aNow) const
{
  std::vector<FreeSlot> slots;
  for (const auto& [dataCentre, grant] : mGrants) {
    if (grant.mUntil <= aNow) {
      continue;
    }
    for (const platform::Credit& credit : grant.mGrant.mCredits) {
      int inUse = InUse(credit.mServer.mId);
      if (inUse < credit.mCount) {
        slots.push_back({ credit.mServer,
                          dataCentre,
                          grant.mGrant.mEpoch,
                          credit.mCount - inUse,
                          inUse });
      }
    }
  }
  return slots;
}

void CreditPool::Release(const base::ServerId& aServer)
{
  auto found = mInUse.find(aServer);
  if (found != mInUse.end() && --found->second <= 0) {
    mInUse.erase(found);
  }
}

int CreditPool::InUse(const base::ServerId& aServer) const
{
  auto found = mInUse.find(aServer);
  return found == mInUse.end() ? 0 : found->second;
}

} // namespace flamingoloom::dispatch
