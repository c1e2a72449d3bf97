// Until when leases may last that earlier leaders have granted.
//
//   EarlierLeases leases(now + seconds(12));
//   leases.SetExpiry(server, now + seconds(2));
//   leases.ExpireBy(server);
//
// Not thread-safe.
#pragma once

#include <map>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::scheduler {

class EarlierLeases
{
public:
  // All leases have expired by aDefault, unless SetExpiry says otherwise for a
  // server. Implicit: one bound for all servers is the usual case.
  EarlierLeases(base::Time aDefault) // NOLINT(google-explicit-constructor)
    : mDefault(aDefault)
  {
  }

  // The leases of aServer have expired by aTime.
  void SetExpiry(const base::ServerId& aServer, base::Time aTime)
  {
    mByServer.insert_or_assign(aServer, aTime);
  }

  base::Time ExpireBy(const base::ServerId& aServer) const
  {
    const auto bound = mByServer.find(aServer);
    return bound == mByServer.end() ? mDefault : bound->second;
  }

  // The bound of servers without one of their own.
  base::Time Default() const { return mDefault; }
  const std::map<base::ServerId, base::Time>& ByServer() const
  {
    return mByServer;
  }

  friend bool operator==(const EarlierLeases&, const EarlierLeases&) = default;

private:
  base::Time mDefault;
  std::map<base::ServerId, base::Time> mByServer;
};

} // namespace flamingoloom::scheduler
