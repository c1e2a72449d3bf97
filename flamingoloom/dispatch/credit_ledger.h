// The owner's side of credits: which instance may run how many small requests
// at once on which backend server of the owned data centre.
//
// Slots of each server are shared out evenly among the instances that ask.
// Credits end by themselves, so a take-out needs no instance's agreement.
// Not thread-safe.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::dispatch {

// Slots of a server that credits may use.
struct ServerSlots
{
  platform::ServerAddress mServer;
  int mSlots = 0;

  friend bool operator==(const ServerSlots&, const ServerSlots&) = default;
};

class CreditLedger
{
public:
  // Grants aHolder its share of aServers until aUntil. A holder's new grant
  // replaces its last one. Each server's slots are divided among the holders
  // of the last credit life; what is left over by rounding goes to holders in
  // turn, so that no slot lies idle.
  std::vector<platform::Credit> Grant(base::Time aNow,
                                      base::Time aUntil,
                                      const base::InstanceId& aHolder,
                                      int aWanted,
                                      const std::vector<ServerSlots>& aServers);

  // The last moment at which any granted credit is still valid.
  base::Time LastExpiry() const { return mLastEnd; }

  // Slots of a server that are granted at aNow.
  int Granted(base::Time aNow, const base::ServerId& aServer) const;

private:
  struct HolderGrant
  {
    base::Time mUntil{};
    int mWanted = 0;
    std::vector<platform::Credit> mCredits;
  };

  void DropExpired(base::Time aNow);

  std::map<base::InstanceId, HolderGrant> mHolders;
  base::Time mLastEnd{};
};

} // namespace flamingoloom::dispatch
