// The accelerators of one data centre. Maps the server indexes of the placement
// library to the listed members. Not thread-safe.
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

// A waiting job to which accelerators have been allocated.
struct PlacedJob
{
  base::RequestId mRequest;
  std::vector<ledger::TaskPlacement> mPlacements;
  // Jobs that must be preempted before this one may start.
  std::vector<placement::Preemption> mPreempted;
  bool mWithinGuarantee = false;
};

// A running job that holds accelerators. The pointers need to be valid only
// during the call.
struct RunningJob
{
  const ledger::Record* mRecord = nullptr;
  const config::JobKind* mKind = nullptr;
};

class AcceleratorTable
{
public:
  // Applies the size and the guarantees of the data centre. Running jobs keep
  // their accelerators if the size has not changed.
  void Configure(const config::Configuration& aConfiguration,
                 const base::DataCentreId& aDataCentre);

  // Sets all servers of the data centre (aListed) and those that may get new
  // work (aUsable). A server keeps its index while it is listed or has
  // allocations.
  void SetServers(const std::vector<platform::Member>& aListed,
                  const std::vector<platform::Member>& aUsable);

  // Returns true if a job of the kind would fit if all servers that may get new
  // work were empty.
  bool CouldFit(const config::JobKind& aKind) const;

  // Returns true if at most half of the places for an adjacent job of the kind
  // that the configuration provides consist of servers that may get new work.
  // Always false for kinds that need no range of several whole servers.
  bool HasLostHalfOfPlaces(const config::JobKind& aKind) const;

  // Allocates accelerators to waiting jobs in the given order, with a
  // reservation for the first large gang that must wait.
  std::vector<PlacedJob> Decide(const std::vector<placement::Job>& aWaiting,
                                base::Time aNow);

  // Adopts attempts that are already running; all of them should be passed in
  // one call. Attempts whose placements cannot be found in the data centre are
  // left out: their accelerators appear free here, but their servers reject a
  // second task.
  void Adopt(const std::vector<RunningJob>& aRunning, base::Time aNow);
  void Finish(const base::RequestId& aRequest);
  void Clear();

  // Returns the allocator, for views; null before the first configuration.
  const placement::Placement* Allocator() const
  {
    return mPlacement ? &*mPlacement : nullptr;
  }
  // Returns the server with this index, or nothing.
  std::optional<platform::Member> ServerAt(int aServerIndex) const;

private:
  // The number of servers in the aligned range that an adjacent job of the kind
  // needs; 1 if it needs no range.
  int ServersInRange(const config::JobKind& aKind) const;
  // The number of aligned ranges of this many servers that may all get new
  // work.
  int CountUsableRanges(int aServers) const;
  int ServerCount() const
  {
    return mCapacity.mRacks * mCapacity.mServersPerRack;
  }
  int IndexFor(const platform::Member& aServer);
  bool HasAllocations(int aServerIndex) const;
  std::optional<placement::Allocation> ToAllocation(const RunningJob& aRunning,
                                                    base::Time aNow) const;
  std::optional<std::vector<ledger::TaskPlacement>> ToPlacements(
    const placement::Job& aJob,
    const std::vector<placement::Range>& aBlocks) const;
  bool PlaceTask(int aCount,
                 int aEnd,
                 int& aNext,
                 std::vector<ledger::TaskPlacement>& aPlacements) const;

  placement::DataCentreCapacity mCapacity;
  std::optional<placement::Placement> mPlacement;
  std::map<int, platform::Member> mServers;
  std::map<std::string, int> mServerIndexes;
  std::set<int> mInService;
};

// Builds the placement job of a request of this kind.
placement::Job MakeJob(const base::RequestId& aRequest,
                       const config::JobKind& aKind,
                       base::Duration aExpectedRunTime);

} // namespace flamingoloom::control
