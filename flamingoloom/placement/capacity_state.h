// Tracks which capacity of one data centre is held by which kind of work, and
// whether the guarantees can still be provided.
//
// Work holds a block in one of three ways (enum Hold). Work within a guarantee
// lies in a claim: a block of a guaranteed shape that is reserved for the
// client account while the account uses any part of it. A guaranteed shape
// without a claim is outstanding. The deficit consists of the outstanding
// shapes that cannot be packed together into the capacity that is neither
// claimed nor held by non-preemptible work. It is zero unless servers were lost
// or drained or the guarantees changed.
//
// When the last work in a claim ends, the claim's block is free again for the
// shape that becomes outstanding. This raises the deficit only when a part of
// the block is disabled.
//
// A value type; copies are used for tentative changes. One thread at a time.
#pragma once

#include <optional>
#include <vector>

#include "flamingoloom/placement/block_tree.h"

namespace flamingoloom::placement {

enum class Hold
{
  // The work can be preempted, so the block counts as available to guarantees.
  eReclaimable,
  // The work cannot be preempted and is not covered by a guarantee.
  eBeyondGuarantee,
  // The work cannot be preempted and lies in a claim of its client account.
  eWithinGuarantee,
};

// Outstanding shapes that cannot be provided, by level. Both members are zero
// unless servers were lost or drained or the guarantees changed.
struct Deficit
{
  // Counts only the servers that are in service.
  LevelCounts mWithServersInService{};
  // Counts as if all servers were in service. Without this member, work placed
  // during an outage could block a guarantee after the outage.
  LevelCounts mWithAllServers{};

  bool IsZero() const { return *this == Deficit{}; }

  friend bool operator==(const Deficit&, const Deficit&) = default;
};

// A block that is reserved for one client account within its guarantee. The
// owner of the CapacityState assigns the account numbers.
struct Claim
{
  Block mBlock;
  int mAccount = 0;
  // Accelerators of the block that are held by work within the guarantee.
  int mUsed = 0;

  friend bool operator==(const Claim&, const Claim&) = default;
};

class CapacityState
{
public:
  explicit CapacityState(const Layout& aLayout);

  // Capacity that holds no work. Disabled positions are not free in this and
  // the following trees.
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
  // The deficit that would result if work beyond a guarantee held the block.
  Deficit DeficitWithout(const Block& aBlock) const;
  // The deficit that would result if the block were claimed for an outstanding
  // shape.
  Deficit DeficitWithClaim(const Block& aBlock) const;

  // Returns a number from 0 to kDeficitClasses - 1 that is equal for blocks of
  // one level whose allocation changes the deficit in the same way: the counts
  // of free blocks after the change depend only on the sizes of the maximal
  // free blocks that are split. Precondition: the block is free in Unclaimed().
  int DeficitClassOf(const Block& aBlock) const;
  static constexpr int kDeficitClasses = kLevels * kLevels;

  // Replaces all guarantees; aShapes is indexed by account number. Claims that
  // the new guarantees do not cover end, and their work is beyond the guarantee
  // from then on. The caller identifies this work with IsClaimed.
  void SetGuarantees(std::vector<LevelCounts> aShapes);

  // Claims the block for an outstanding shape of the account. Preconditions:
  // the block is free in Unclaimed(), and a shape of its level is outstanding
  // for the account.
  void AddClaim(int aAccount, const Block& aBlock);
  // Marks the block as held by work. Preconditions: the block holds no work;
  // with eWithinGuarantee a claim of the account contains it, and with
  // eBeyondGuarantee it lies outside of all claims.
  void AllocateBlock(const Block& aBlock, Hold aHold);
  // Frees the block, which must be held as aHold. When this was the last work
  // in a claim, the claim ends and is returned.
  std::optional<Claim> Release(const Block& aBlock, Hold aHold);
  // Claims aBlock for work that holds parts of it already. aHeld lists these
  // parts, which the account's work beyond its guarantee holds. Preconditions:
  // the rest of aBlock is free in Unclaimed(), and a shape of its level is
  // outstanding for the account.
  void AddClaimForHeldBlocks(int aAccount,
                             const Block& aBlock,
                             const std::vector<Block>& aHeld);

  bool IsClaimed(const Block& aBlock) const;

  void Disable(int aPosition);
  void Enable(int aPosition);

  std::size_t MemoryBytes() const;

private:
  // The index of the claim that contains the block, or mClaims.size() if none
  // does.
  std::size_t FindClaim(const Block& aBlock) const;
  void EndClaim(std::size_t aClaim);
  LevelCounts& MutableOutstanding(int aAccount);
  Deficit DeficitAfterRemoval(const Block& aRemoved,
                              const LevelCounts& aOutstanding) const;
  void RemoveFromUnclaimed(const Block& aBlock);
  void ReturnToUnclaimed(const Block& aBlock);
  // Returns the capacity of a claim that the guarantees no longer cover, except
  // for what its non-preemptible work holds.
  void DropClaim(const Claim& aClaim);

  BlockTree mFree;
  BlockTree mReclaimable;
  BlockTree mUnclaimed;
  // The same as mUnclaimed, but with all servers in service.
  BlockTree mUnclaimedWithAllServers;
  std::vector<Claim> mClaims;
  std::vector<LevelCounts> mOutstandingByAccount;
  LevelCounts mOutstanding{};
};

} // namespace flamingoloom::placement
