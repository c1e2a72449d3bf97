// The state of the placement in one data centre: running work, servers in
// service, and guarantees.
//
// BasicPlacement (placement.h) adds the choice of blocks. A value type; one
// thread at a time.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/placement/allocation_table.h"
#include "flamingoloom/placement/capacity_state.h"
#include "flamingoloom/placement/guarantee_plan.h"
#include "flamingoloom/placement/work.h"

namespace flamingoloom::placement {

class PlacementState
{
public:
  // Precondition: all sizes in aCapacity are at least 1.
  explicit PlacementState(const DataCentreCapacity& aCapacity);

  // Replaces the guarantees of this data centre. Running work keeps its blocks.
  // Shapes outside of 1 to 128 and counts below 1 are ignored, because
  // PlanGuarantees has checked the configuration before.
  void SetGuarantees(std::span<const Demand> aGuarantees);

  // Adds work that is already running, such as after a takeover by a new owner.
  // The caller passes all of it in one call, after SetGuarantees, because the
  // claims of the guarantees are derived from it. Fails with eInvalid for a
  // block that is not aligned or is outside of the data centre, and with
  // eConflict when a request already has an allocation or a block is in use.
  // Nothing changes on failure.
  base::Expected<void> Adopt(std::span<const Allocation> aAllocations);

  // Releases all blocks of the request. The caller calls this when the work has
  // ended, was cancelled or has released its accelerators after preemption.
  // Returns false when the request has no allocation here.
  bool Finish(const base::RequestId& aRequest);

  // Takes the server out of service: no new work is placed on it, and its
  // running work continues. Servers are numbered through all racks.
  // Precondition: aServer is at least 0 and less than the number of servers.
  void DrainServer(int aServer);
  // Does the same as DrainServer and stops each gang with a task on the server.
  // The stopped gangs are returned; they hold their blocks on other servers
  // until Finish.
  std::vector<Preemption> LoseServer(int aServer);
  // Returns the server to service after a drain or loss.
  void ReturnServer(int aServer);

  // Guaranteed shapes that their client accounts do not use and that cannot be
  // provided at present. These are zero unless servers were lost or drained or
  // the guarantees changed. While they are not zero, no non-preemptible work is
  // placed beyond the guarantees.
  LevelCounts DeficitNow() const
  {
    return mCapacity.CurrentDeficit().mWithServersInService;
  }

  // Returns the share of the free accelerators, from 0 to 1, that cannot be
  // used by the larger of aWaitingShape and the largest guaranteed shape.
  // aWaitingShape is the largest shape among the waiting jobs, or 0. The result
  // is 0 when no accelerator is free or when there is no such shape.
  double Fragmentation(int aWaitingShape = 0) const;

  std::vector<Allocation> Allocations() const;
  std::optional<Allocation> FindAllocation(
    const base::RequestId& aRequest) const;
  const Layout& Shape() const { return mLayout; }
  int FreeAccelerators() const { return mCapacity.Free().FreeAccelerators(); }
  // The maximal free blocks, by level.
  const LevelCounts& FreeBlocks() const
  {
    return mCapacity.Free().FreeBlocks();
  }
  std::size_t MemoryBytes() const;

protected:
  using Index = AllocationTable::Index;

  // Returns the number of the client account; assigns one at its first use.
  int AccountNumber(const base::AccountId& aAccount);
  LevelCounts GuaranteesOf(const base::AccountId& aAccount) const;
  Range ToRange(const Block& aBlock) const;
  std::vector<Range> ToRanges(const std::vector<HeldBlock>& aHeld) const;
  // Precondition: ToRange has returned the ranges.
  std::vector<Block> ToBlocks(const std::vector<Range>& aRanges) const;
  std::optional<NeverReason> FindNeverReason(const Job& aJob) const;
  // Returns why a job waits that could not be placed outside of aReserved.
  // Precondition: Place has just failed for the job with aReserved.
  WaitReason FindWaitReason(const Job& aJob,
                            const std::vector<Block>& aReserved) const;
  // Releases all blocks of the allocation. Other work of the client account may
  // then use the claims that end.
  void ReleaseBlocks(Index aIndex);
  // Marks the allocation as stopping and releases the blocks of aRemoved at
  // once. The allocation holds the rest as reclaimable until Finish.
  Preemption StopAllocation(Index aIndex, const std::vector<Block>& aRemoved);

  Layout mLayout;
  CapacityState mCapacity;
  AllocationTable mTable;
  // Guarantees by account number, and their total.
  std::vector<LevelCounts> mGuarantees;
  LevelCounts mTotalGuarantees{};

private:
  enum class ServerState
  {
    eInService,
    eOutOfService,
  };

  std::optional<Block> ToBlock(const Range& aRange) const;
  base::Expected<std::vector<Block>> ReadBlocks(
    const Allocation& aAllocation) const;
  void AdoptBlocks(const Allocation& aAllocation,
                   const std::vector<Block>& aBlocks);
  // Claims, in place of the ended claim, a block of the same size that other
  // work of the account holds beyond its guarantee, if there is one.
  void ReuseEndedClaim(const Claim& aClaim);
  // Marks work as beyond the guarantee if its claim ended when the guarantees
  // changed.
  void ReclassifyUnclaimedWork();
  Allocation ToAllocation(Index aIndex) const;
  void SetServerState(int aServer, ServerState aState);

  std::vector<base::AccountId> mAccounts;
  std::vector<ServerState> mServerStates;
};

} // namespace flamingoloom::placement
