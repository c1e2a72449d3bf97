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
  std::vector<ledger::TaskPlacement> mPlacements;
  // Work that must end before the job may start.
  std::vector<placement::Preemption> mPreempted;
  bool mWithinGuarantee = false;
};

// A job that holds accelerators already. The pointers are valid for one call.
struct RunningJob
{
  const ledger::Record* mRecord = nullptr;
  const config::JobKind* mKind = nullptr;
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

  // Whether the kind would find a place if all servers that may get new work
  // were empty.
  bool CouldFit(const config::JobKind& aKind) const;

  // Places waiting jobs in the given order, with a reservation for the first
  // large gang that must wait.
  std::vector<PlacedJob> Decide(const std::vector<placement::Job>& aWaiting,
                                base::Time aNow);

  // Takes over attempts that are already running, best all at once. Attempts
  // whose places cannot be found in the data centre are left out: their
  // accelerators look free here, but their servers refuse a second task.
  void Adopt(const std::vector<RunningJob>& aRunning, base::Time aNow);
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
  std::optional<placement::Allocation> ToAllocation(const RunningJob& aRunning,
                                                    base::Time aNow) const;
  std::optional<std::vector<ledger::TaskPlacement>> ToPlacements(
    const placement::Job& aJob,
    const std::vector<placement::Range>& aBlocks) const;
  bool TakeTask(int aCount,
                int aEnd,
                int& aNext,
                std::vector<ledger::TaskPlacement>& aPlacements) const;

  placement::DataCentreCapacity mCapacity;
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
