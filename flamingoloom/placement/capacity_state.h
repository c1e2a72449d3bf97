// Which capacity of one data centre is held by what kind of work, and whether
// the guarantees can still be provided.
//
// Work holds blocks in one of three ways (enum Hold). Work within a guarantee
// lies in a claim: a block of a guaranteed shape that is set aside for the
// client account while it uses any part of it. A guaranteed shape without a
// claim is outstanding. The deficit consists of the outstanding shapes that
// cannot be packed together into the capacity that is neither claimed nor held
// by work that cannot be preempted. It is zero unless servers were lost or
// drained or the guarantees changed.
//
// The end of work returns a block of the shape that becomes outstanding, so it
// raises the deficit only when a part of that block is disabled.
//
// A value type; copies serve as drafts. One thread at a time.
#pragma once

#include <optional>
#include <vector>

#include "flamingoloom/placement/block_tree.h"

namespace flamingoloom::placement {

enum class Hold
{
  // Can be preempted, so that the block counts as available to guarantees.
  eReclaimable,
  // Cannot be preempted and is not covered by a guarantee.
  eBeyondGuarantee,
  // Cannot be preempted; lies in a claim of its client account.
  eWithinGuarantee,
};

// Shapes that cannot be provided. Both parts are zero unless servers were lost
// or drained or the guarantees changed.
struct Deficit
{
  // With the servers that are in service.
  LevelCounts mWithServersInService{};
  // As if all servers were in service. Without this part, work placed during
  // an outage could block a guarantee after it.
  LevelCounts mWithAllServers{};

  bool IsZero() const { return *this == Deficit{}; }

  friend bool operator==(const Deficit&, const Deficit&) = default;
};

// Client accounts are numbered by the holder of the state.
struct Claim
{
  Block mBlock;
  int mAccount = 0;
  // Accelerators of the block that hold work within the guarantee.
  int mUsed = 0;

  friend bool operator==(const Claim&, const Claim&) = default;
};

class CapacityState
{
public:
  explicit CapacityState(const Layout& aLayout);

  // Capacity that holds no work.
  const BlockTree& Free() const { return mFree; }
  // Capacity that is free or reclaimable, inside and outside of claims.
  const BlockTree& Reclaimable() const { return mReclaimable; }
  // Reclaimable capacity outside of claims.
  const BlockTree& Unclaimed() const { return mUnclaimed; }
  const std::vector<Claim>& Claims() const { return mClaims; }

  // Guaranteed shapes of one client account that have no claim.
  const LevelCounts& Outstanding(int aAccount) const;
  // Guaranteed shapes of all client accounts that have no claim.
  const LevelCounts& Outstanding() const { return mOutstanding; }
  Deficit CurrentDeficit() const;
  // The deficit if the block held work beyond a guarantee.
  Deficit DeficitWithout(const Block& aBlock) const;
  // The deficit if the block were claimed for an outstanding shape.
  Deficit DeficitWithClaim(const Block& aBlock) const;

  // Equal for blocks of one level that change the deficit in the same way: the
  // count of free blocks after a change depends only on the sizes of the
  // maximal free blocks that are split. Less than kDeficitClasses.
  // Precondition: the block is free in Unclaimed().
  int DeficitClassOf(const Block& aBlock) const;
  static constexpr int kDeficitClasses = kLevels * kLevels;

  // Replaces all guarantees; aShapes is indexed by account. Claims that the
  // new guarantees do not cover end, and their work is beyond the guarantee
  // from then on; IsClaimed tells which work that is.
  void SetGuarantees(std::vector<LevelCounts> aShapes);

  // Precondition: the block is free in Unclaimed(), and a shape of its level
  // is outstanding for the account.
  void AddClaim(int aAccount, const Block& aBlock);
  // Precondition: the block is free; with eWithinGuarantee a claim of the
  // account contains it, otherwise it is free in Unclaimed() or reclaimable.
  void AllocateBlock(const Block& aBlock, Hold aHold);
  // Ends the claim when this was its last work. Returns the ended claim.
  std::optional<Claim> Release(const Block& aBlock, Hold aHold);
  // Makes a claim of aBlock for aHeld, the blocks inside of it that hold the
  // account's work beyond its guarantee. Precondition: the rest of aBlock is
  // free in Unclaimed(), and a shape of its level is outstanding.
  void AddClaimForHeldBlocks(int aAccount,
                             const Block& aBlock,
                             const std::vector<Block>& aHeld);

  bool IsClaimed(const Block& aBlock) const;

  void Disable(int aPosition);
  void Enable(int aPosition);

  std::size_t MemoryBytes() const;

private:
  // Index of the claim that contains the block, or mClaims.size().
  std::size_t FindClaim(const Block& aBlock) const;
  void EndClaim(std::size_t aClaim);
  LevelCounts& MutableOutstanding(int aAccount);
  Deficit DeficitAfterRemoval(const Block& aRemoved,
                              const LevelCounts& aOutstanding) const;
  void RemoveFromUnclaimed(const Block& aBlock);
  void ReturnToUnclaimed(const Block& aBlock);
  // Marks what a dropped claim still holds as beyond the guarantee.
  void DropClaim(const Claim& aClaim);

  BlockTree mFree;
  BlockTree mReclaimable;
  BlockTree mUnclaimed;
  // As mUnclaimed, with all servers in service.
  BlockTree mUnclaimedWithAllServers;
  std::vector<Claim> mClaims;
  std::vector<LevelCounts> mOutstandingByAccount;
  LevelCounts mOutstanding{};
};

} // namespace flamingoloom::placement
