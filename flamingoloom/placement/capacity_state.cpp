#include "flamingoloom/placement/capacity_state.h"

#include <utility>

namespace flamingoloom::placement {

CapacityState::CapacityState(const Layout& aLayout)
  : mFree(aLayout)
  , mReclaimable(aLayout)
  , mUnclaimed(aLayout)
  , mUnclaimedWhole(aLayout)
{
}

const LevelCounts& CapacityState::Outstanding(int aAccount) const
{
  static constexpr LevelCounts kNone{};
  return aAccount < static_cast<int>(mOutstandingOf.size())
           ? mOutstandingOf[aAccount]
           : kNone;
}

Deficit CapacityState::CurrentDeficit() const
{
  return { Shortfall(mUnclaimed.FreeBlocks(), mOutstanding),
           Shortfall(mUnclaimedWhole.FreeBlocks(), mOutstanding) };
}

Deficit CapacityState::DeficitOf(const Block& aWithout,
                                 const LevelCounts& aOutstanding) const
{
  return { Shortfall(mUnclaimed.FreeBlocksWithout(aWithout), aOutstanding),
           Shortfall(mUnclaimedWhole.FreeBlocksWithout(aWithout),
                     aOutstanding) };
}

Deficit CapacityState::DeficitWithout(const Block& aBlock) const
{
  return DeficitOf(aBlock, mOutstanding);
}

Deficit CapacityState::DeficitWithClaim(const Block& aBlock) const
{
  LevelCounts outstanding = mOutstanding;
  --outstanding[aBlock.mLevel];
  return DeficitOf(aBlock, outstanding);
}

int CapacityState::RoomOf(const Block& aBlock) const
{
  return mUnclaimed.MaximalLevel(aBlock) * kLevels +
         mUnclaimedWhole.MaximalLevel(aBlock);
}

void CapacityState::SetAside(const Block& aBlock)
{
  mUnclaimed.Allocate(aBlock);
  mUnclaimedWhole.Allocate(aBlock);
}

void CapacityState::GiveBack(const Block& aBlock)
{
  mUnclaimed.Release(aBlock);
  mUnclaimedWhole.Release(aBlock);
}

void CapacityState::SetGuarantees(std::vector<LevelCounts> aShapes)
{
  mOutstandingOf = std::move(aShapes);
  mOutstanding = {};
  for (const LevelCounts& shapes : mOutstandingOf) {
    for (int level = 0; level < kLevels; ++level) {
      mOutstanding[level] += shapes[level];
    }
  }
  for (const Claim& claim : std::exchange(mClaims, {})) {
    const int level = claim.mBlock.mLevel;
    if (Outstanding(claim.mAccount)[level] > 0) {
      --mOutstandingOf[claim.mAccount][level];
      --mOutstanding[level];
      mClaims.push_back(claim);
    } else {
      DropClaim(claim);
    }
  }
}

void CapacityState::DropClaim(const Claim& aClaim)
{
  GiveBack(aClaim.mBlock);
  for (int i = aClaim.mBlock.mPosition; i < aClaim.mBlock.End(); ++i) {
    if (mReclaimable.IsAllocated(i)) {
      SetAside({ i, 0 });
    }
  }
}

void CapacityState::AddClaim(int aAccount, const Block& aBlock)
{
  --GrowOutstanding(aAccount)[aBlock.mLevel];
  --mOutstanding[aBlock.mLevel];
  SetAside(aBlock);
  mClaims.push_back({ aBlock, aAccount, 0 });
}

void CapacityState::Take(const Block& aBlock, Hold aHold)
{
  mFree.Allocate(aBlock);
  if (aHold == Hold::eReclaimable) {
    return;
  }
  mReclaimable.Allocate(aBlock);
  if (aHold == Hold::eBeyondGuarantee) {
    SetAside(aBlock);
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
    GiveBack(aBlock);
    return std::nullopt;
  }
  const std::size_t index = FindClaim(aBlock);
  mClaims[index].mUsed -= aBlock.Size();
  if (mClaims[index].mUsed > 0) {
    return std::nullopt;
  }
  const Claim ended = mClaims[index];
  EndClaim(index);
  return ended;
}

void CapacityState::CoverByClaim(int aAccount,
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
  GiveBack(claim.mBlock);
  ++GrowOutstanding(claim.mAccount)[claim.mBlock.mLevel];
  ++mOutstanding[claim.mBlock.mLevel];
  mClaims[aClaim] = mClaims.back();
  mClaims.pop_back();
}

LevelCounts& CapacityState::GrowOutstanding(int aAccount)
{
  if (aAccount >= static_cast<int>(mOutstandingOf.size())) {
    mOutstandingOf.resize(aAccount + 1);
  }
  return mOutstandingOf[aAccount];
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
         mUnclaimed.MemoryBytes() + mUnclaimedWhole.MemoryBytes() +
         mClaims.capacity() * sizeof(Claim) +
         mOutstandingOf.capacity() * sizeof(LevelCounts);
}

} // namespace flamingoloom::placement
