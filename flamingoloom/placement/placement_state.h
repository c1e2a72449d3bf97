// The part of the allocator that does not choose blocks: what runs where, which
// servers are in service, and the guarantees.
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
  // Precondition: the sizes of the capacity are at least 1.
  explicit PlacementState(const DataCentreCapacity& aCapacity);

  // Replaces the guarantees of this data centre. Running work stays. Shapes
  // outside of 1 to 128 and counts below 1 are ignored: the configuration is
  // checked by PlanGuarantees before.
  void SetGuarantees(std::span<const Demand> aGuarantees);

  // Takes over work that is already running, such as after a change of the
  // owner. All of it should be given at once, after SetGuarantees: the claims
  // of the guarantees are derived from it. Fails with eInvalid for a block that
  // is not aligned or outside of the data centre, with eConflict when a request
  // is known or a block is in use. Nothing changes on failure.
  base::Expected<void> Adopt(std::span<const Allocation> aAllocations);

  // The work has ended, was cancelled or has left its blocks after preemption.
  // Returns false when the request holds nothing here.
  bool Finish(const base::RequestId& aRequest);

  // No new work is placed on the server; its running work continues.
  // Servers are numbered through all racks. Precondition: 0 <= server < count.
  void DrainServer(int aServer);
  // As DrainServer; in addition each gang with a task on the server must stop.
  // These are returned, and hold their other blocks until Finish.
  std::vector<Preemption> LoseServer(int aServer);
  // The server is in service again after a drain or loss.
  void ReturnServer(int aServer);

  // Guaranteed shapes, not in use by their client account, that cannot be
  // provided at present. Not zero only after servers were lost or drained or
  // the guarantees changed; work beyond guarantees that cannot be preempted is
  // then not placed.
  LevelCounts DeficitNow() const
  {
    return mCapacity.CurrentDeficit().mWithServersInService;
  }

  // Share of the free accelerators, 0 to 1, that the larger of aWaitingShape
  // and the largest guaranteed shape cannot use. aWaitingShape is the largest
  // shape that waits, or 0. The result is 0 when nothing is free or when there
  // is no such shape.
  double Fragmentation(int aWaitingShape = 0) const;

  std::vector<Allocation> Allocations() const;
  std::optional<Allocation> FindAllocation(
    const base::RequestId& aRequest) const;
  const Layout& DataCentreLayout() const { return mLayout; }
  int FreeAccelerators() const { return mCapacity.Free().FreeAccelerators(); }
  // Free accelerators, counted in blocks.
  const LevelCounts& FreeBlocks() const
  {
    return mCapacity.Free().FreeBlocks();
  }
  std::size_t MemoryBytes() const;

protected:
  using Index = AllocationTable::Index;

  // Number of the client account, given at its first use.
  int AccountNumber(const base::AccountId& aAccount);
  LevelCounts GuaranteesOf(const base::AccountId& aAccount) const;
  Range ToRange(const Block& aBlock) const;
  std::vector<Range> ToRanges(const std::vector<HeldBlock>& aHeld) const;
  // Precondition: the ranges came from ToRange.
  std::vector<Block> ToBlocks(const std::vector<Range>& aRanges) const;
  std::optional<NeverReason> FindNeverReason(const Job& aJob) const;
  // Precondition: the job was just not placed with aReserved left out.
  WaitReason FindWaitReason(const Job& aJob,
                            const std::vector<Block>& aReserved) const;
  // Frees all that the allocation holds and lets other work of the client
  // account use the claims that end.
  void ReleaseBlocks(Index aIndex);
  // Ends the allocation except for its blocks outside of aRemoved, which it
  // holds as reclaimable until Finish.
  Preemption StopAllocation(Index aIndex, const std::vector<Block>& aRemoved);

  Layout mLayout;
  CapacityState mCapacity;
  AllocationTable mTable;
  // Guarantees by account number, and their sum.
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
  void ReuseEndedClaim(const Claim& aClaim);
  // Work whose claim has ended with the guarantees is beyond the guarantee.
  void ReclassifyUnclaimedWork();
  Allocation ToAllocation(Index aIndex) const;
  void SetServerState(int aServer, ServerState aState);

  std::vector<base::AccountId> mAccounts;
  std::vector<ServerState> mServers;
};

} // namespace flamingoloom::placement
