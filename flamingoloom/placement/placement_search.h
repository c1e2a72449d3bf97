// Searches the blocks for one job on a copy of the capacity.
//
// Nothing changes until the whole job has its blocks, so that a gang is never
// placed in part. Used by BasicPlacement.
#pragma once

#include <array>
#include <optional>
#include <utility>
#include <vector>

#include "flamingoloom/placement/allocation_table.h"
#include "flamingoloom/placement/capacity_state.h"
#include "flamingoloom/placement/fit_policy.h"
#include "flamingoloom/placement/guarantee_check.h"
#include "flamingoloom/placement/preemption.h"

namespace flamingoloom::placement::internal {

// Where one block of the job goes.
struct Choice
{
  Block mBlock;
  Hold mHold = Hold::eReclaimable;
  // A claim to add first.
  std::optional<Block> mNewClaim;
};

// Remembers the outcome of a check of the deficit for blocks of one level.
class OutcomeByRoom
{
public:
  template <class Allows>
  bool Allowed(const CapacityState& aCapacity,
               const Block& aBlock,
               Allows aAllows)
  {
    std::optional<bool>& outcome = mOutcomes.at(aCapacity.RoomOf(aBlock));
    if (!outcome) {
      outcome = aAllows();
    }
    return *outcome;
  }

private:
  std::array<std::optional<bool>, CapacityState::kRooms> mOutcomes{};
};

// Whose work may be preempted for the job.
enum class Victims
{
  eNone,
  eOtherAccounts,
  eAnyAccount,
};

// A way of placing the whole job.
struct Plan
{
  std::vector<Choice> mChoices;
  std::vector<AllocationTable::Slot> mVictims;
};

template <FitPolicy Fit, GuaranteeCheck Check>
class PlacementSearch
{
public:
  // aReserved is not used, except by work within its guarantee that has no
  // other place. All references must outlive the search.
  PlacementSearch(const CapacityState& aCapacity,
                  const AllocationTable& aTable,
                  const std::vector<Block>& aReserved,
                  int aAccount,
                  base::Time aNow,
                  Fit& aFit);

  // Places aCount blocks of aLevel on free capacity, to be held as reclaimable.
  std::optional<Plan> FindReclaimable(int aCount, int aLevel);

  // Places aCount blocks of aLevel that cannot be preempted.
  std::optional<Plan> FindFirm(int aCount, int aLevel, Victims aVictims);

private:
  bool TakeInOwnClaim(int aLevel);
  bool TakeInNewClaim(int aLevel);
  // aPreferred is the block of the lowest rank without regard to the deficit.
  bool TakeBeyondGuarantee(int aLevel, const std::optional<Block>& aPreferred);
  bool TakeByPreempting(int aLevel, Victims aVictims);

  // Offers the free blocks of one tree outside of claims.
  void OfferUnclaimed(int aTree, int aLevel, LowestRank& aLowest);
  // The free block outside of claims that leaves no deficit.
  std::optional<Block> FindBeyondGuarantee(int aLevel);

  // The cheapest place within the guarantee so far.
  struct Cheapest
  {
    PreemptionCost mCost;
    std::uint64_t mRank = 0;
    std::optional<Choice> mChoice;
  };
  void OfferParts(Cheapest& aCheapest,
                  const Block& aWhole,
                  int aLevel,
                  const std::optional<Block>& aNewClaim);

  // Calls aVisit for each block of aLevel that could become a claim.
  template <class Visit>
  void ForEachClaimable(int aLevel, Visit aVisit);
  // The level of the smallest outstanding shape that has room for a block of
  // aLevel and a place. Larger shapes are left for larger work, even if
  // preemption is needed.
  std::optional<int> ClaimLevel(int aLevel);
  // Best free part of aLevel inside of aWhole.
  std::optional<Block> FreePart(const Block& aWhole, int aLevel);
  bool HasFreePart(const Block& aWhole, int aLevel) const;
  void Take(const Choice& aChoice);
  void Preempt(const Block& aBlock);

  CapacityState mCapacity;
  // Free capacity that is not reserved.
  BlockTree mOpen;
  const AllocationTable& mTable;
  int mAccount;
  base::Time mNow;
  Fit& mFit;
  Plan mPlan;
};

// Calls aVisit for each block of aLevel inside of aWhole.
template <class Visit>
void ForEachPart(const Block& aWhole, int aLevel, Visit aVisit)
{
  for (int i = aWhole.mPosition; i < aWhole.End(); i += ShapeAt(aLevel)) {
    aVisit(Block{ i, aLevel });
  }
}

template <FitPolicy Fit, GuaranteeCheck Check>
PlacementSearch<Fit, Check>::PlacementSearch(
  const CapacityState& aCapacity,
  const AllocationTable& aTable,
  const std::vector<Block>& aReserved,
  int aAccount,
  base::Time aNow,
  Fit& aFit)
  : mCapacity(aCapacity)
  , mOpen(aCapacity.Free())
  , mTable(aTable)
  , mAccount(aAccount)
  , mNow(aNow)
  , mFit(aFit)
{
  for (const Block& block : aReserved) {
    mOpen.Allocate(block);
  }
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<Plan> PlacementSearch<Fit, Check>::FindReclaimable(int aCount,
                                                                 int aLevel)
{
  if (BlocksAt(mOpen.FreeBlocks(), aLevel) < aCount) {
    return std::nullopt;
  }
  auto finder = FreeBlockFinder(mOpen, aLevel, mFit);
  for (int i = 0; i < aCount; ++i) {
    const auto block = finder.Find();
    if (!block) {
      return std::nullopt;
    }
    Take({ *block, Hold::eReclaimable, std::nullopt });
    finder.Update(*block);
  }
  return std::move(mPlan);
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<Plan> PlacementSearch<Fit, Check>::FindFirm(int aCount,
                                                          int aLevel,
                                                          Victims aVictims)
{
  if (BlocksAt(mCapacity.Reclaimable().FreeBlocks(), aLevel) < aCount) {
    return std::nullopt;
  }
  BlockFinder finder(mOpen.Trees(), [&](int aTree, LowestRank& aLowest) {
    OfferUnclaimed(aTree, aLevel, aLowest);
  });
  for (int i = 0; i < aCount; ++i) {
    const bool taken =
      TakeInOwnClaim(aLevel) || TakeInNewClaim(aLevel) ||
      TakeBeyondGuarantee(aLevel, finder.Find()) ||
      (aVictims != Victims::eNone && TakeByPreempting(aLevel, aVictims));
    if (!taken) {
      return std::nullopt;
    }
    // A new claim lies in the same tree as the block.
    finder.Update(mPlan.mChoices.back().mBlock);
  }
  return std::move(mPlan);
}

template <FitPolicy Fit, GuaranteeCheck Check>
bool PlacementSearch<Fit, Check>::TakeInOwnClaim(int aLevel)
{
  LowestRank lowest;
  for (const Claim& claim : mCapacity.Claims()) {
    if (claim.mAccount != mAccount || claim.mBlock.mLevel < aLevel) {
      continue;
    }
    ForEachPart(claim.mBlock, aLevel, [&](const Block& aPart) {
      if (mOpen.IsFree(aPart)) {
        lowest.Offer(mFit.Rank(mCapacity.Reclaimable(), aPart), aPart);
      }
    });
  }
  if (!lowest.Best()) {
    return false;
  }
  Take({ *lowest.Best(), Hold::eWithinGuarantee, std::nullopt });
  return true;
}

template <FitPolicy Fit, GuaranteeCheck Check>
template <class Visit>
void PlacementSearch<Fit, Check>::ForEachClaimable(int aLevel, Visit aVisit)
{
  if (mCapacity.Outstanding(mAccount)[aLevel] == 0) {
    return;
  }
  const Deficit before = mCapacity.CurrentDeficit();
  OutcomeByRoom outcomes;
  mCapacity.Unclaimed().ForEachFree(aLevel, [&](const Block& aBlock) {
    const auto allows = [&] {
      return Check::AllowsWithin(before, mCapacity.DeficitWithClaim(aBlock));
    };
    if (outcomes.Allowed(mCapacity, aBlock, allows)) {
      aVisit(aBlock);
    }
  });
}

template <FitPolicy Fit, GuaranteeCheck Check>
bool PlacementSearch<Fit, Check>::HasFreePart(const Block& aWhole,
                                              int aLevel) const
{
  for (int i = aWhole.mPosition; i < aWhole.End(); i += ShapeAt(aLevel)) {
    if (mOpen.IsFree({ i, aLevel })) {
      return true;
    }
  }
  return false;
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<Block> PlacementSearch<Fit, Check>::FreePart(const Block& aWhole,
                                                           int aLevel)
{
  LowestRank lowest;
  ForEachPart(aWhole, aLevel, [&](const Block& aPart) {
    if (mOpen.IsFree(aPart)) {
      lowest.Offer(mFit.Rank(mOpen, aPart), aPart);
    }
  });
  return lowest.Best();
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<int> PlacementSearch<Fit, Check>::ClaimLevel(int aLevel)
{
  for (int level = aLevel; level < kLevels; ++level) {
    bool found = false;
    ForEachClaimable(level, [&](const Block&) { found = true; });
    if (found) {
      return level;
    }
  }
  return std::nullopt;
}

template <FitPolicy Fit, GuaranteeCheck Check>
bool PlacementSearch<Fit, Check>::TakeInNewClaim(int aLevel)
{
  const auto level = ClaimLevel(aLevel);
  if (!level) {
    return false;
  }
  LowestRank lowest;
  ForEachClaimable(*level, [&](const Block& aClaim) {
    if (HasFreePart(aClaim, aLevel)) {
      lowest.Offer(mFit.Rank(mCapacity.Unclaimed(), aClaim), aClaim);
    }
  });
  if (!lowest.Best()) {
    return false;
  }
  const auto part = FreePart(*lowest.Best(), aLevel);
  Take({ *part, Hold::eWithinGuarantee, lowest.Best() });
  return true;
}

template <FitPolicy Fit, GuaranteeCheck Check>
void PlacementSearch<Fit, Check>::OfferUnclaimed(int aTree,
                                                 int aLevel,
                                                 LowestRank& aLowest)
{
  mOpen.ForEachFreeInTree(aTree, aLevel, [&](const Block& aBlock) {
    if (mCapacity.Unclaimed().IsFree(aBlock)) {
      aLowest.Offer(mFit.Rank(mCapacity.Unclaimed(), aBlock), aBlock);
    }
  });
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<Block> PlacementSearch<Fit, Check>::FindBeyondGuarantee(
  int aLevel)
{
  LowestRank lowest;
  OutcomeByRoom outcomes;
  mOpen.ForEachFree(aLevel, [&](const Block& aBlock) {
    const auto allows = [&] {
      return Check::AllowsBeyond(mCapacity.DeficitWithout(aBlock));
    };
    if (mCapacity.Unclaimed().IsFree(aBlock) &&
        outcomes.Allowed(mCapacity, aBlock, allows)) {
      lowest.Offer(mFit.Rank(mCapacity.Unclaimed(), aBlock), aBlock);
    }
  });
  return lowest.Best();
}

template <FitPolicy Fit, GuaranteeCheck Check>
bool PlacementSearch<Fit, Check>::TakeBeyondGuarantee(
  int aLevel,
  const std::optional<Block>& aPreferred)
{
  if (!aPreferred || !Check::AllowsBeyond(mCapacity.CurrentDeficit())) {
    return false;
  }
  const bool allowed =
    Check::AllowsBeyond(mCapacity.DeficitWithout(*aPreferred));
  const auto block = allowed ? aPreferred : FindBeyondGuarantee(aLevel);
  if (!block) {
    return false;
  }
  Take({ *block, Hold::eBeyondGuarantee, std::nullopt });
  return true;
}

template <FitPolicy Fit, GuaranteeCheck Check>
bool PlacementSearch<Fit, Check>::TakeByPreempting(int aLevel, Victims aVictims)
{
  Cheapest cheapest;
  for (const Claim& claim : mCapacity.Claims()) {
    if (claim.mAccount == mAccount && claim.mBlock.mLevel >= aLevel) {
      OfferParts(cheapest, claim.mBlock, aLevel, std::nullopt);
    }
  }
  if (const auto level = ClaimLevel(aLevel)) {
    ForEachClaimable(*level, [&](const Block& aClaim) {
      OfferParts(cheapest, aClaim, aLevel, aClaim);
    });
  }
  if (!cheapest.mChoice ||
      (aVictims == Victims::eOtherAccounts && cheapest.mCost.mOwnVictims > 0)) {
    return false;
  }
  Preempt(cheapest.mChoice->mBlock);
  Take(*cheapest.mChoice);
  return true;
}

template <FitPolicy Fit, GuaranteeCheck Check>
void PlacementSearch<Fit, Check>::OfferParts(
  Cheapest& aCheapest,
  const Block& aWhole,
  int aLevel,
  const std::optional<Block>& aNewClaim)
{
  ForEachPart(aWhole, aLevel, [&](const Block& aPart) {
    if (!mCapacity.Reclaimable().IsFree(aPart)) {
      return;
    }
    const PreemptionCost cost = CostOf(
      mTable, OwnersWithin(mTable, aPart, mPlan.mVictims), mAccount, mNow);
    if (aCheapest.mChoice && cost > aCheapest.mCost) {
      return;
    }
    const std::uint64_t rank = mFit.Rank(mCapacity.Reclaimable(), aPart);
    if (!aCheapest.mChoice || cost < aCheapest.mCost ||
        rank < aCheapest.mRank) {
      aCheapest = { cost,
                    rank,
                    Choice{ aPart, Hold::eWithinGuarantee, aNewClaim } };
    }
  });
}

template <FitPolicy Fit, GuaranteeCheck Check>
void PlacementSearch<Fit, Check>::Preempt(const Block& aBlock)
{
  for (const auto slot : OwnersWithin(mTable, aBlock, mPlan.mVictims)) {
    for (const HeldBlock& held : mTable.At(slot).mHeld) {
      mCapacity.Release(held.mBlock, held.mHold);
    }
    mPlan.mVictims.push_back(slot);
  }
}

template <FitPolicy Fit, GuaranteeCheck Check>
void PlacementSearch<Fit, Check>::Take(const Choice& aChoice)
{
  if (aChoice.mNewClaim) {
    mCapacity.AddClaim(mAccount, *aChoice.mNewClaim);
  }
  mCapacity.Take(aChoice.mBlock, aChoice.mHold);
  mOpen.Allocate(aChoice.mBlock);
  mPlan.mChoices.push_back(aChoice);
}

} // namespace flamingoloom::placement::internal
