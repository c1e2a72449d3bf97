// The holder's side of credits: the slots of backend servers that an entry
// instance may use without asking anybody.
//
//   pool.Put(grant, askedAt);
//   if (auto slot = pool.Acquire(now, choice)) {
//     // send with slot->mEpoch, later:
//     pool.Release(slot->mServer.mId);
//   }
//
// A slot in use when its grant is replaced stays counted until it is released.
// Not thread-safe.
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
  // Replaces the credits of the grant's data centre. aAskedAt is the time
  // before the request was sent; the credits end mValidFor after it. A grant
  // with a lower epoch than a known one is ignored.
  void Put(const platform::CreditGrant& aGrant, base::Time aAskedAt);

  // Drops the credits of a data centre, for example when its epoch is stale.
  void Drop(const base::DataCentreId& aDataCentre);

  // Valid credits with a free slot, in order of data centres and servers.
  std::vector<FreeSlot> Free(base::Time aNow) const;

  // Takes one slot of the server. Requires that Free listed it at aNow.
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
