// Accelerators of one data centre: connects the placement library's numbered
// servers with the members that are listed. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/base/time.h"
#include "flamingoloom/config/configuration.h"
#include "flamingoloom/ledger/record.h"
#include "flamingoloom/placement/placement.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::control {

// A waiting job that now holds accelerators.
struct PlacedJob
{
  base::RequestId mRequest;
  std::vector<ledger::TaskPlace> mPlaces;
  // Work that must end before the job may start.
  std::vector<placement::Preemption> mPreempted;
};

class AcceleratorTable
{
public:
  // Takes the size and the guarantees of the data centre. Work that holds
  // accelerators keeps them when the size has not changed.
  void Configure(const config::Configuration& aConfiguration,
                 const base::DataCentreId& aDataCentre);

  // aListed are all servers of the data centre, aUsable those that may get
  // new work. A server keeps its number while it is listed or holds work.
  void SetServers(const std::vector<platform::Member>& aListed,
                  const std::vector<platform::Member>& aUsable);

  // Accelerators of the servers that may get new work.
  int InService() const
  {
    return static_cast<int>(mInService.size()) *
           mCapacity.mAcceleratorsPerServer;
  }

  // Places waiting jobs in the given order, with a reservation for the first
  // large gang that must wait.
  std::vector<PlacedJob> Decide(const std::vector<placement::Job>& aWaiting,
                                base::Time aNow);

  // Takes over an attempt that is already running. False when its places
  // cannot be found in the data centre.
  bool Adopt(const ledger::Record& aRecord,
             const config::JobKind& aKind,
             base::Time aNow);
  void Finish(const base::RequestId& aRequest);
  void Clear();

  // The allocator, for views; null before the first configuration.
  const placement::Placement* Allocator() const
  {
    return mPlacement ? &*mPlacement : nullptr;
  }
  // The server with a number, or nothing.
  std::optional<platform::Member> ServerAt(int aNumber) const;

private:
  int NumberFor(const platform::Member& aServer);
  bool HoldsWork(int aNumber) const;
  std::optional<std::vector<ledger::TaskPlace>> ToPlaces(
    const placement::Job& aJob,
    const std::vector<placement::Range>& aBlocks) const;
  bool TakeTask(int aCount,
                int aEnd,
                int& aNext,
                std::vector<ledger::TaskPlace>& aPlaces) const;

  placement::CentreCapacity mCapacity;
  std::optional<placement::Placement> mPlacement;
  std::map<int, platform::Member> mServers;
  std::map<std::string, int> mNumbers;
  std::set<int> mInService;
};

// The part of a kind that placement needs.
placement::Job MakeJob(const base::RequestId& aRequest,
                       const config::JobKind& aKind,
                       base::Duration aExpectedRunTime);

} // namespace flamingoloom::control
