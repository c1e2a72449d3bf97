// Searches for the blocks of one job on a copy of the capacity state.
//
// The search returns a plan for the whole job or none and changes no state of
// the data centre, so that a gang is never placed partially. Used by
// BasicPlacement.
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

// The placement of one block of the job.
struct Choice
{
  Block mBlock;
  Hold mHold = Hold::eReclaimable;
  // The claim to add before the block is allocated, if one is needed.
  std::optional<Block> mNewClaim;
};

// Caches the results of deficit checks for blocks of one level. Blocks of the
// same deficit class have the same result.
class DeficitCheckCache
{
public:
  template <class Allows>
  bool IsAllowed(const CapacityState& aCapacity,
                 const Block& aBlock,
                 Allows aAllows)
  {
    std::optional<bool>& outcome =
      mOutcomes.at(aCapacity.DeficitClassOf(aBlock));
    if (!outcome) {
      outcome = aAllows();
    }
    return *outcome;
  }

private:
  std::array<std::optional<bool>, CapacityState::kDeficitClasses> mOutcomes{};
};

// The client accounts whose work may be preempted for the job.
enum class Victims
{
  eNone,
  eOtherAccounts,
  eAnyAccount,
};

// A placement of the whole job: its blocks, and the allocations to preempt for
// them.
struct Plan
{
  std::vector<Choice> mChoices;
  std::vector<AllocationTable::Index> mVictims;
};

template <FitPolicy Fit, GuaranteeCheck Check>
class PlacementSearch
{
public:
  // Blocks of aReserved are used only by work within its guarantee that has no
  // other placement. All references must outlive the search.
  PlacementSearch(const CapacityState& aCapacity,
                  const AllocationTable& aTable,
                  const std::vector<Block>& aReserved,
                  int aAccount,
                  base::Time aNow,
                  Fit& aFit);

  // Finds aCount blocks of aLevel on free capacity, to be held as reclaimable.
  // None when they are not all available. A search object is used for one Find
  // call.
  std::optional<Plan> FindReclaimable(int aCount, int aLevel);

  // Finds aCount blocks of aLevel for non-preemptible work, each in the first
  // of these that has one: a claim of the account, a new claim, capacity beyond
  // the guarantees, a claim after preemption. None when they are not all
  // available. A search object is used for one Find call.
  std::optional<Plan> FindNonPreemptible(int aCount,
                                         int aLevel,
                                         Victims aVictims);

private:
  // Each Place function adds one block to the plan. It returns false when it
  // finds none.
  bool PlaceInOwnClaim(int aLevel);
  bool PlaceInNewClaim(int aLevel);
  // aPreferred is the block of the lowest rank when the deficit is not
  // considered.
  bool PlaceBeyondGuarantee(int aLevel, const std::optional<Block>& aPreferred);
  bool PlaceByPreempting(int aLevel, Victims aVictims);

  // Offers to aLowest the unreserved free blocks of one tree that are outside
  // of claims.
  void OfferUnclaimed(int aTree, int aLevel, LowestRank& aLowest);
  // The block of the lowest rank among the unreserved free blocks outside of
  // claims whose use leaves no deficit.
  std::optional<Block> FindBeyondGuarantee(int aLevel);

  // The placement within the guarantee with the lowest preemption cost so far.
  struct Cheapest
  {
    PreemptionCost mCost;
    std::uint64_t mRank = 0;
    std::optional<Choice> mChoice;
  };
  void OfferPartsForPreemption(Cheapest& aCheapest,
                               const Block& aWhole,
                               int aLevel,
                               const std::optional<Block>& aNewClaim);

  // Calls aVisit for each block of aLevel that may become a claim of the
  // account without raising the deficit.
  template <class Visit>
  void ForEachClaimable(int aLevel, Visit aVisit);
  // The level of the smallest outstanding shape, from aLevel upwards, for which
  // a block can be claimed. Larger shapes are left for larger work,
  // even if the smaller one requires preemption.
  std::optional<int> FindClaimLevel(int aLevel);
  // The part of aWhole with the lowest rank among its unreserved free blocks of
  // aLevel.
  std::optional<Block> FindFreePart(const Block& aWhole, int aLevel);
  bool HasFreePart(const Block& aWhole, int aLevel) const;
  void AllocateBlock(const Choice& aChoice);
  // Releases all blocks of the allocations that hold a part of aBlock and adds
  // these allocations to the victims of the plan.
  void Preempt(const Block& aBlock);

  CapacityState mCapacity;
  // Free capacity outside of the reserved blocks.
  BlockTree mUnreserved;
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
  , mUnreserved(aCapacity.Free())
  , mTable(aTable)
  , mAccount(aAccount)
  , mNow(aNow)
  , mFit(aFit)
{
  for (const Block& block : aReserved) {
    mUnreserved.Allocate(block);
  }
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<Plan> PlacementSearch<Fit, Check>::FindReclaimable(int aCount,
                                                                 int aLevel)
{
  if (BlocksAt(mUnreserved.FreeBlocks(), aLevel) < aCount) {
    return std::nullopt;
  }
  auto finder = MakeFreeBlockFinder(mUnreserved, aLevel, mFit);
  for (int i = 0; i < aCount; ++i) {
    const auto block = finder.Find();
    if (!block) {
      return std::nullopt;
    }
    AllocateBlock({ *block, Hold::eReclaimable, std::nullopt });
    finder.Update(*block);
  }
  return std::move(mPlan);
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<Plan> PlacementSearch<Fit, Check>::FindNonPreemptible(
  int aCount,
  int aLevel,
  Victims aVictims)
{
  if (BlocksAt(mCapacity.Reclaimable().FreeBlocks(), aLevel) < aCount) {
    return std::nullopt;
  }
  BlockFinder finder(mUnreserved.TreeCount(),
                     [&](int aTree, LowestRank& aLowest) {
                       OfferUnclaimed(aTree, aLevel, aLowest);
                     });
  for (int i = 0; i < aCount; ++i) {
    const bool placed =
      PlaceInOwnClaim(aLevel) || PlaceInNewClaim(aLevel) ||
      PlaceBeyondGuarantee(aLevel, finder.Find()) ||
      (aVictims != Victims::eNone && PlaceByPreempting(aLevel, aVictims));
    if (!placed) {
      return std::nullopt;
    }
    // Only this tree needs to be ranked again: a new claim lies in the same
    // tree as the block.
    finder.Update(mPlan.mChoices.back().mBlock);
  }
  return std::move(mPlan);
}

template <FitPolicy Fit, GuaranteeCheck Check>
bool PlacementSearch<Fit, Check>::PlaceInOwnClaim(int aLevel)
{
  LowestRank lowest;
  for (const Claim& claim : mCapacity.Claims()) {
    if (claim.mAccount != mAccount || claim.mBlock.mLevel < aLevel) {
      continue;
    }
    ForEachPart(claim.mBlock, aLevel, [&](const Block& aPart) {
      if (mUnreserved.IsFree(aPart)) {
        lowest.Offer(mFit.Rank(mCapacity.Reclaimable(), aPart), aPart);
      }
    });
  }
  if (!lowest.Best()) {
    return false;
  }
  AllocateBlock({ *lowest.Best(), Hold::eWithinGuarantee, std::nullopt });
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
  DeficitCheckCache checks;
  mCapacity.Unclaimed().ForEachFree(aLevel, [&](const Block& aBlock) {
    const auto allows = [&] {
      return Check::AllowsWithinGuarantee(before,
                                          mCapacity.DeficitWithClaim(aBlock));
    };
    if (checks.IsAllowed(mCapacity, aBlock, allows)) {
      aVisit(aBlock);
    }
  });
}

template <FitPolicy Fit, GuaranteeCheck Check>
bool PlacementSearch<Fit, Check>::HasFreePart(const Block& aWhole,
                                              int aLevel) const
{
  for (int i = aWhole.mPosition; i < aWhole.End(); i += ShapeAt(aLevel)) {
    if (mUnreserved.IsFree({ i, aLevel })) {
      return true;
    }
  }
  return false;
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<Block> PlacementSearch<Fit, Check>::FindFreePart(
  const Block& aWhole,
  int aLevel)
{
  LowestRank lowest;
  ForEachPart(aWhole, aLevel, [&](const Block& aPart) {
    if (mUnreserved.IsFree(aPart)) {
      lowest.Offer(mFit.Rank(mUnreserved, aPart), aPart);
    }
  });
  return lowest.Best();
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<int> PlacementSearch<Fit, Check>::FindClaimLevel(int aLevel)
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
bool PlacementSearch<Fit, Check>::PlaceInNewClaim(int aLevel)
{
  const auto level = FindClaimLevel(aLevel);
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
  const auto part = FindFreePart(*lowest.Best(), aLevel);
  AllocateBlock({ *part, Hold::eWithinGuarantee, lowest.Best() });
  return true;
}

template <FitPolicy Fit, GuaranteeCheck Check>
void PlacementSearch<Fit, Check>::OfferUnclaimed(int aTree,
                                                 int aLevel,
                                                 LowestRank& aLowest)
{
  mUnreserved.ForEachFreeInTree(aTree, aLevel, [&](const Block& aBlock) {
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
  DeficitCheckCache checks;
  mUnreserved.ForEachFree(aLevel, [&](const Block& aBlock) {
    const auto allows = [&] {
      return Check::AllowsBeyondGuarantee(mCapacity.DeficitWithout(aBlock));
    };
    if (mCapacity.Unclaimed().IsFree(aBlock) &&
        checks.IsAllowed(mCapacity, aBlock, allows)) {
      lowest.Offer(mFit.Rank(mCapacity.Unclaimed(), aBlock), aBlock);
    }
  });
  return lowest.Best();
}

template <FitPolicy Fit, GuaranteeCheck Check>
bool PlacementSearch<Fit, Check>::PlaceBeyondGuarantee(
  int aLevel,
  const std::optional<Block>& aPreferred)
{
  if (!aPreferred ||
      !Check::AllowsBeyondGuarantee(mCapacity.CurrentDeficit())) {
    return false;
  }
  const bool allowed =
    Check::AllowsBeyondGuarantee(mCapacity.DeficitWithout(*aPreferred));
  const auto block = allowed ? aPreferred : FindBeyondGuarantee(aLevel);
  if (!block) {
    return false;
  }
  AllocateBlock({ *block, Hold::eBeyondGuarantee, std::nullopt });
  return true;
}

template <FitPolicy Fit, GuaranteeCheck Check>
bool PlacementSearch<Fit, Check>::PlaceByPreempting(int aLevel,
                                                    Victims aVictims)
{
  Cheapest cheapest;
  for (const Claim& claim : mCapacity.Claims()) {
    if (claim.mAccount == mAccount && claim.mBlock.mLevel >= aLevel) {
      OfferPartsForPreemption(cheapest, claim.mBlock, aLevel, std::nullopt);
    }
  }
  if (const auto level = FindClaimLevel(aLevel)) {
    ForEachClaimable(*level, [&](const Block& aClaim) {
      OfferPartsForPreemption(cheapest, aClaim, aLevel, aClaim);
    });
  }
  if (!cheapest.mChoice ||
      (aVictims == Victims::eOtherAccounts && cheapest.mCost.mOwnVictims > 0)) {
    return false;
  }
  Preempt(cheapest.mChoice->mBlock);
  AllocateBlock(*cheapest.mChoice);
  return true;
}

template <FitPolicy Fit, GuaranteeCheck Check>
void PlacementSearch<Fit, Check>::OfferPartsForPreemption(
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
      mTable, AllocationsWithin(mTable, aPart, mPlan.mVictims), mAccount, mNow);
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
  for (const auto index : AllocationsWithin(mTable, aBlock, mPlan.mVictims)) {
    for (const HeldBlock& held : mTable.At(index).mHeld) {
      mCapacity.Release(held.mBlock, held.mHold);
    }
    mPlan.mVictims.push_back(index);
  }
}

template <FitPolicy Fit, GuaranteeCheck Check>
void PlacementSearch<Fit, Check>::AllocateBlock(const Choice& aChoice)
{
  if (aChoice.mNewClaim) {
    mCapacity.AddClaim(mAccount, *aChoice.mNewClaim);
  }
  mCapacity.AllocateBlock(aChoice.mBlock, aChoice.mHold);
  mUnreserved.Allocate(aChoice.mBlock);
  mPlan.mChoices.push_back(aChoice);
}

} // namespace flamingoloom::placement::internal
