#include "flamingoloom/placement/capacity_state.h"

#include <utility>

namespace flamingoloom::placement {

CapacityState::CapacityState(const Layout& aLayout)
  : mFree(aLayout)
  , mReclaimable(aLayout)
  , mUnclaimed(aLayout)
  , mUnclaimedWithAllServers(aLayout)
{
}

const LevelCounts& CapacityState::Outstanding(int aAccount) const
{
  static constexpr LevelCounts kNone{};
  return aAccount < static_cast<int>(mOutstandingByAccount.size())
           ? mOutstandingByAccount[aAccount]
           : kNone;
}

Deficit CapacityState::CurrentDeficit() const
{
  return { Shortfall(mUnclaimed.FreeBlocks(), mOutstanding),
           Shortfall(mUnclaimedWithAllServers.FreeBlocks(), mOutstanding) };
}

Deficit CapacityState::DeficitAfterRemoval(
  const Block& aRemoved,
  const LevelCounts& aOutstanding) const
{
  return { Shortfall(mUnclaimed.FreeBlocksWithout(aRemoved), aOutstanding),
           Shortfall(mUnclaimedWithAllServers.FreeBlocksWithout(aRemoved),
                     aOutstanding) };
}

Deficit CapacityState::DeficitWithout(const Block& aBlock) const
{
  return DeficitAfterRemoval(aBlock, mOutstanding);
}

Deficit CapacityState::DeficitWithClaim(const Block& aBlock) const
{
  LevelCounts outstanding = mOutstanding;
  --outstanding[aBlock.mLevel];
  return DeficitAfterRemoval(aBlock, outstanding);
}

int CapacityState::DeficitClassOf(const Block& aBlock) const
{
  return mUnclaimed.MaximalFreeLevel(aBlock) * kLevels +
         mUnclaimedWithAllServers.MaximalFreeLevel(aBlock);
}

void CapacityState::RemoveFromUnclaimed(const Block& aBlock)
{
  mUnclaimed.Allocate(aBlock);
  mUnclaimedWithAllServers.Allocate(aBlock);
}

void CapacityState::ReturnToUnclaimed(const Block& aBlock)
{
  mUnclaimed.Release(aBlock);
  mUnclaimedWithAllServers.Release(aBlock);
}

void CapacityState::SetGuarantees(std::vector<LevelCounts> aShapes)
{
  mOutstandingByAccount = std::move(aShapes);
  mOutstanding = {};
  for (const LevelCounts& shapes : mOutstandingByAccount) {
    for (int level = 0; level < kLevels; ++level) {
      mOutstanding[level] += shapes[level];
    }
  }
  for (const Claim& claim : std::exchange(mClaims, {})) {
    const int level = claim.mBlock.mLevel;
    if (Outstanding(claim.mAccount)[level] > 0) {
      --mOutstandingByAccount[claim.mAccount][level];
      --mOutstanding[level];
      mClaims.push_back(claim);
    } else {
      DropClaim(claim);
    }
  }
}

void CapacityState::DropClaim(const Claim& aClaim)
{
  ReturnToUnclaimed(aClaim.mBlock);
  for (int i = aClaim.mBlock.mPosition; i < aClaim.mBlock.End(); ++i) {
    if (mReclaimable.IsAllocated(i)) {
      RemoveFromUnclaimed({ i, 0 });
    }
  }
}

void CapacityState::AddClaim(int aAccount, const Block& aBlock)
{
  --MutableOutstanding(aAccount)[aBlock.mLevel];
  --mOutstanding[aBlock.mLevel];
  RemoveFromUnclaimed(aBlock);
  mClaims.push_back({ aBlock, aAccount, 0 });
}

void CapacityState::AllocateBlock(const Block& aBlock, Hold aHold)
{
  mFree.Allocate(aBlock);
  if (aHold == Hold::eReclaimable) {
    return;
  }
  mReclaimable.Allocate(aBlock);
  if (aHold == Hold::eBeyondGuarantee) {
    RemoveFromUnclaimed(aBlock);
  } else {
    mClaims[FindClaim(aBlock)].mUsed += aBlock.Size();
  }
}

std::optional<Claim> CapacityState::Release(const Block& aBlock, Hold aHold)
{
  mFree.Release(aBlock);
  if (aHold == Hold::eReclaimable) {
    return std::nullopt;
  }
  mReclaimable.Release(aBlock);
  if (aHold == Hold::eBeyondGuarantee) {
    ReturnToUnclaimed(aBlock);
    return std::nullopt;
  }
  const std::size_t index = FindClaim(aBlock);
  mClaims[index].mUsed -= aBlock.Size();
  if (mClaims[index].mUsed > 0) {
    return std::nullopt;
  }
  const Claim endedClaim = mClaims[index];
  EndClaim(index);
  return endedClaim;
}

void CapacityState::AddClaimForHeldBlocks(int aAccount,
                                          const Block& aBlock,
                                          const std::vector<Block>& aHeld)
{
  AddClaim(aAccount, aBlock);
  for (const Block& held : aHeld) {
    mClaims.back().mUsed += held.Size();
  }
}

bool CapacityState::IsClaimed(const Block& aBlock) const
{
  return FindClaim(aBlock) < mClaims.size();
}

std::size_t CapacityState::FindClaim(const Block& aBlock) const
{
  std::size_t index = 0;
  while (index < mClaims.size() && !mClaims[index].mBlock.Contains(aBlock)) {
    ++index;
  }
  return index;
}

void CapacityState::EndClaim(std::size_t aClaim)
{
  const Claim claim = mClaims[aClaim];
  ReturnToUnclaimed(claim.mBlock);
  ++MutableOutstanding(claim.mAccount)[claim.mBlock.mLevel];
  ++mOutstanding[claim.mBlock.mLevel];
  mClaims[aClaim] = mClaims.back();
  mClaims.pop_back();
}

LevelCounts& CapacityState::MutableOutstanding(int aAccount)
{
  if (aAccount >= static_cast<int>(mOutstandingByAccount.size())) {
    mOutstandingByAccount.resize(aAccount + 1);
  }
  return mOutstandingByAccount[aAccount];
}

void CapacityState::Disable(int aPosition)
{
  mFree.Disable(aPosition);
  mReclaimable.Disable(aPosition);
  mUnclaimed.Disable(aPosition);
}

void CapacityState::Enable(int aPosition)
{
  mFree.Enable(aPosition);
  mReclaimable.Enable(aPosition);
  mUnclaimed.Enable(aPosition);
}

std::size_t CapacityState::MemoryBytes() const
{
  return mFree.MemoryBytes() + mReclaimable.MemoryBytes() +
         mUnclaimed.MemoryBytes() + mUnclaimedWithAllServers.MemoryBytes() +
         mClaims.capacity() * sizeof(Claim) +
         mOutstandingByAccount.capacity() * sizeof(LevelCounts);
}

} // namespace flamingoloom::placement
