// The holder's side of credit-based admission control: the slots of backend
// servers that the receiving instance may use without a call to the owner.
//
//   pool.Put(grant, requestedAt);
//   for (const FreeSlot& slot : pool.Free(now)) {
//     // choose one, then:
//     pool.Acquire(slot.mServer.mId);
//     // send the request with slot.mEpoch, and when it has completed:
//     pool.Release(slot.mServer.mId);
//   }
//
// A slot that is in use when its grant is replaced is counted as in use until
// it is released. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::dispatch {

// A server with at least one free credit.
struct FreeSlot
{
  platform::ServerAddress mServer;
  base::DataCentreId mDataCentre;
  base::Epoch mEpoch;
  int mFree = 0;
  int mInUse = 0;

  friend bool operator==(const FreeSlot&, const FreeSlot&) = default;
};

class CreditPool
{
public:
  // Replaces the credits of the grant's data centre. aRequestedAt is a time
  // before the request for the grant was sent; the credits expire mValidFor
  // after it. A grant with a lower epoch than the known one is ignored.
  void Put(const platform::CreditGrant& aGrant, base::Time aRequestedAt);

  // Discards the credits of a data centre, for example when its epoch is stale.
  void Drop(const base::DataCentreId& aDataCentre);

  // Returns the servers with a valid credit and a free slot at aNow, ordered by
  // data centre, and within one in the order of the grant.
  std::vector<FreeSlot> Free(base::Time aNow) const;

  // Marks one slot of the server as in use. Requires that Free has just listed
  // the server.
  void Acquire(const base::ServerId& aServer) { ++mInUse[aServer]; }
  void Release(const base::ServerId& aServer);

  int InUse(const base::ServerId& aServer) const;

private:
  struct Grant
  {
    platform::CreditGrant mGrant;
    base::Time mUntil{};
  };

  std::map<base::DataCentreId, Grant> mGrants;
  std::map<base::ServerId, int> mInUse;
};

} // namespace flamingoloom::dispatch
