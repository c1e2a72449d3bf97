// Places jobs on the accelerators of one data centre. Used by the owner of the
// data centre.
//
//   Placement placement(capacity);
//   placement.SetGuarantees(guarantees);
//   Decision decision = placement.Place(job, now);
//   if (auto* placed = std::get_if<Placed>(&decision)) {
//     ... preempt placed->mPreempted, then start the job on placed->mBlocks
//   }
//   ... when the work has ended:
//   placement.Finish(job.mRequest);
//
// Invariant: after every operation, all guaranteed shapes that their client
// accounts do not use can be packed together into capacity that is free or held
// by preemptible work. Only losses and drains of servers and new guarantees can
// break the invariant; DeficitNow() then returns the shapes that cannot be
// provided.
//
// A client account may use its guarantee for any work. Work that is smaller
// than the guaranteed shape counts the whole block as in use. Preemptible work
// is first placed on any free blocks, without using the guarantee. When there
// are none, it is placed within the guarantee, where it cannot be preempted.
// Work of other client accounts is preempted first. Work of the same account is
// preempted only for non-preemptible work.
//
// A value type without I/O and clock; one thread at a time.
#pragma once

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "flamingoloom/placement/placement_search.h"
#include "flamingoloom/placement/placement_state.h"
#include "flamingoloom/placement/reservation.h"

namespace flamingoloom::placement {

template <FitPolicy Fit, GuaranteeCheck Check = EnforceGuarantees>
class BasicPlacement : public PlacementState
{
public:
  // Precondition: the sizes of the capacity are at least 1.
  explicit BasicPlacement(const DataCentreCapacity& aCapacity, Fit aFit = Fit())
    : PlacementState(aCapacity)
    , mFit(std::move(aFit))
  {
  }

  // Places all blocks of the job or none. If the job is expected to end after
  // aReservation begins, it does not get blocks of the reservation, except for
  // work within its guarantee that has no other placement. A job without
  // accelerators is placed without blocks.
  Decision Place(const Job& aJob,
                 base::Time aNow,
                 const Reservation* aReservation = nullptr);

  // Returns the earliest time at which the job fits without preemption if
  // running work ends when expected, together with the blocks that the job
  // would get then. Work that has overrun its expected end is expected to run
  // for as long again as it has overrun. None when the job would not fit even
  // after all running work has ended.
  std::optional<Reservation> Reserve(const Job& aJob, base::Time aNow);

private:
  using Search = internal::PlacementSearch<Fit, Check>;

  std::optional<internal::Plan> FindPlan(const Job& aJob,
                                         base::Time aNow,
                                         const std::vector<Block>& aReserved);
  // Finds a plan for the time after the first aCompleted of aCompletions.
  std::optional<internal::Plan> FindPlanAfter(
    const Job& aJob,
    const std::vector<ExpectedCompletion>& aCompletions,
    std::size_t aCompleted);
  Placed Apply(const Job& aJob, const internal::Plan& aPlan, base::Time aNow);

  Fit mFit;
};

using Placement = BasicPlacement<BestFit>;

template <FitPolicy Fit, GuaranteeCheck Check>
Decision BasicPlacement<Fit, Check>::Place(const Job& aJob,
                                           base::Time aNow,
                                           const Reservation* aReservation)
{
  if (const auto neverReason = FindNeverReason(aJob)) {
    return NeverFits{ *neverReason };
  }
  if (mTable.Find(aJob.mRequest) != AllocationTable::kNone) {
    return MustWait{ WaitReason::eStillHeld };
  }
  std::vector<Block> reserved;
  if (aReservation && aReservation->AppliesTo(aJob, aNow)) {
    reserved = ToBlocks(aReservation->mBlocks);
  }
  if (const auto plan = FindPlan(aJob, aNow, reserved)) {
    return Apply(aJob, *plan, aNow);
  }
  return MustWait{ FindWaitReason(aJob, reserved) };
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<internal::Plan> BasicPlacement<Fit, Check>::FindPlan(
  const Job& aJob,
  base::Time aNow,
  const std::vector<Block>& aReserved)
{
  const int account = AccountNumber(aJob.mRequest.mAccount);
  const int level = LevelOf(ShapeOf(std::max(1, aJob.BlockSize())));
  const int count = aJob.BlockSize() == 0 ? 0 : aJob.Blocks();
  const auto search = [&] {
    return Search(mCapacity, mTable, aReserved, account, aNow, mFit);
  };
  if (aJob.mProperties.IsReclaimable()) {
    if (auto plan = search().FindReclaimable(count, level)) {
      return plan;
    }
  }
  // Preemptible work does not preempt work of its own account: that would only
  // replace one preemptible job of the account by another.
  const internal::Victims victims = aJob.mProperties.IsReclaimable()
                                      ? internal::Victims::eOtherAccounts
                                      : internal::Victims::eAnyAccount;
  return search().FindNonPreemptible(count, level, victims);
}

template <FitPolicy Fit, GuaranteeCheck Check>
Placed BasicPlacement<Fit, Check>::Apply(const Job& aJob,
                                         const internal::Plan& aPlan,
                                         base::Time aNow)
{
  std::vector<Block> allocated;
  for (const internal::Choice& choice : aPlan.mChoices) {
    allocated.push_back(choice.mBlock);
  }
  Placed placed;
  for (const Index victim : aPlan.mVictims) {
    placed.mPreempted.push_back(StopAllocation(victim, allocated));
  }
  const int account = AccountNumber(aJob.mRequest.mAccount);
  std::vector<HeldBlock> held;
  for (const internal::Choice& choice : aPlan.mChoices) {
    if (choice.mNewClaim) {
      mCapacity.AddClaim(account, *choice.mNewClaim);
    }
    mCapacity.AllocateBlock(choice.mBlock, choice.mHold);
    held.push_back({ choice.mBlock, choice.mHold });
  }
  placed.mBlocks = ToRanges(held);
  mTable.Add({ aJob.mRequest,
               aJob.mProperties,
               account,
               std::move(held),
               aNow,
               aNow + aJob.mExpectedRunTime,
               false });
  return placed;
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<Reservation> BasicPlacement<Fit, Check>::Reserve(const Job& aJob,
                                                               base::Time aNow)
{
  const std::vector<ExpectedCompletion> completions =
    ExpectedCompletions(mTable, aNow);
  // Each completion only adds free capacity, so binary search finds the first
  // one after which the job fits.
  std::size_t low = 0;
  std::size_t high = completions.size();
  auto plan = FindPlanAfter(aJob, completions, high);
  if (!plan) {
    return std::nullopt;
  }
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    if (auto earlier = FindPlanAfter(aJob, completions, middle)) {
      plan = std::move(earlier);
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  Reservation reservation{ aJob.mRequest,
                           {},
                           high == 0 ? aNow : completions[high - 1].mTime };
  for (const internal::Choice& choice : plan->mChoices) {
    reservation.mBlocks.push_back(ToRange(choice.mBlock));
  }
  return reservation;
}

template <FitPolicy Fit, GuaranteeCheck Check>
std::optional<internal::Plan> BasicPlacement<Fit, Check>::FindPlanAfter(
  const Job& aJob,
  const std::vector<ExpectedCompletion>& aCompletions,
  std::size_t aCompleted)
{
  CapacityState capacity = mCapacity;
  for (std::size_t i = 0; i < aCompleted; ++i) {
    for (const HeldBlock& held : mTable.At(aCompletions[i].mIndex).mHeld) {
      capacity.Release(held.mBlock, held.mHold);
    }
  }
  const int account = AccountNumber(aJob.mRequest.mAccount);
  const int level = LevelOf(ShapeOf(std::max(1, aJob.BlockSize())));
  Search search(capacity, mTable, {}, account, base::Time{}, mFit);
  if (aJob.mProperties.IsReclaimable()) {
    return search.FindReclaimable(aJob.Blocks(), level);
  }
  return search.FindNonPreemptible(
    aJob.Blocks(), level, internal::Victims::eNone);
}

} // namespace flamingoloom::placement
