// The owner's side of credit-based admission control: records how many
// unrecorded requests each instance may run at once on each backend server of
// the owned data centre.
//
// The slots of each server are divided evenly among the instances that request
// credits. Credits expire, so the owner can take a data centre out of service
// without the acknowledgement of any instance.
// Not thread-safe.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::dispatch {

// The slots of one server that may be granted as credits.
struct ServerSlots
{
  platform::ServerAddress mServer;
  int mSlots = 0;

  friend bool operator==(const ServerSlots&, const ServerSlots&) = default;
};

class CreditLedger
{
public:
  // Grants aHolder its share of the slots of aServers until aUntil, and returns
  // it. A holder's new grant replaces its previous one. Each server's slots are
  // divided among the holders whose grants have not expired; the remainder of
  // the division goes to different holders on different servers, so that no
  // slot stays idle.
  std::vector<platform::Credit> Grant(base::Time aNow,
                                      base::Time aUntil,
                                      const base::InstanceId& aHolder,
                                      int aWanted,
                                      const std::vector<ServerSlots>& aServers);

  // Time at which all credits granted so far have expired.
  base::Time LastExpiry() const { return mLastExpiry; }

  // Number of slots of a server that are granted at aNow.
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
  base::Time mLastExpiry{};
};

} // namespace flamingoloom::dispatch
