// Free places of the backend servers of one data centre for recorded requests:
// slots for plain work, accelerators for gangs and long runs.
//
// Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/config/configuration.h"
#include "flamingoloom/ledger/record.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::control {

class Capacity
{
public:
  // aSlots of each server are for recorded requests.
  explicit Capacity(int aSlots)
    : mSlots(aSlots)
  {
  }

  // The servers that may get new work now. Places in use elsewhere stay
  // counted until they are released.
  void SetServers(const std::vector<platform::Member>& aServers);

  // Takes a place for each task of the kind on servers other than aAvoid, or
  // nothing. A gang that must be adjacent gets accelerators of one server, or
  // whole servers of one rack.
  std::optional<std::vector<ledger::TaskPlace>> Place(
    const base::RequestId& aRequest,
    const config::JobKind& aKind,
    const std::vector<base::ServerId>& aAvoid);

  // Counts the places of an attempt that is already running.
  void Occupy(const base::RequestId& aRequest,
              const std::vector<ledger::TaskPlace>& aPlaces);
  void Release(const base::RequestId& aRequest);
  void Clear();

private:
  struct Server
  {
    platform::Member mMember;
    int mSlotsUsed = 0;
    std::set<int> mAcceleratorsUsed;
    bool mUsable = false;

    int FreeAccelerators() const;
    std::vector<int> Take(int aCount) const;
  };

  std::optional<ledger::TaskPlace> PlaceTask(
    const config::JobKind& aKind,
    const std::vector<base::ServerId>& aAvoid,
    std::optional<int> aRack,
    const std::string& aOnlyServer);
  std::optional<std::vector<ledger::TaskPlace>> PlaceAll(
    const base::RequestId& aRequest,
    const config::JobKind& aKind,
    const std::vector<base::ServerId>& aAvoid,
    std::optional<int> aRack,
    const std::string& aOnlyServer);
  void Count(const ledger::TaskPlace& aPlace, bool aTake);

  int mSlots;
  std::map<std::string, Server> mServers;
  std::map<base::RequestId, std::vector<ledger::TaskPlace>> mPlaces;
};

} // namespace flamingoloom::control
