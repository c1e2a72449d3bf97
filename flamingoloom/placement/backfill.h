// Places waiting jobs in the order of the queue, with a reservation for the
// first large gang that must wait (backfill).
//
// Jobs behind that gang are placed only when they are expected to end before
// the reservation begins, or on blocks outside of it. Each pass over the queue
// computes the reservation again, so it adapts to work that ends early or
// overruns. It reserves blocks only, and not the capacity beyond the guarantees
// that non-preemptible work needs.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <tuple>
#include <variant>
#include <vector>

#include "flamingoloom/placement/placement.h"

namespace flamingoloom::placement {

// Jobs of at least this many accelerators get a reservation: two servers of the
// usual size. Blocks of this size seldom become free without one.
constexpr int kMinReservationSize = 16;

struct QueueDecision
{
  // One decision for each waiting job, in the order of the queue.
  std::vector<Decision> mDecisions;
  std::optional<Reservation> mReservation;

  friend bool operator==(const QueueDecision&, const QueueDecision&) = default;
};

namespace internal {

// Caches why jobs must wait during one scheduling pass, by the properties of a
// job that decide about its placement. A pass only allocates capacity, so a
// later job with the same properties must wait as well.
class WaitReasonCache
{
public:
  // Returns the reason if a job with the same properties must wait. aReserved
  // is whether a reservation applies to the job.
  std::optional<WaitReason> Find(const Job& aJob, bool aReserved) const
  {
    for (const bool reserved : { false, true }) {
      const auto found = mReasons.find(KeyOf(aJob, reserved));
      if (found != mReasons.end() && (aReserved || !reserved)) {
        return found->second;
      }
    }
    return std::nullopt;
  }
  void Add(const Job& aJob, bool aReserved, WaitReason aReason)
  {
    mReasons.emplace(KeyOf(aJob, aReserved), aReason);
  }

private:
  using Key = std::tuple<base::AccountId, bool, bool, int, int>;

  static Key KeyOf(const Job& aJob, bool aReserved)
  {
    return { aJob.mRequest.mAccount,
             aReserved,
             aJob.mProperties.IsReclaimable(),
             aJob.Blocks(),
             aJob.BlockSize() };
  }

  std::map<Key, WaitReason> mReasons;
};

} // namespace internal

// Places the jobs that can be placed now; these jobs hold their blocks
// afterwards. Jobs of at least aMinReservationSize accelerators get a
// reservation.
template <FitPolicy Fit, GuaranteeCheck Check>
QueueDecision DecideQueue(BasicPlacement<Fit, Check>& aPlacement,
                          std::span<const Job> aWaiting,
                          base::Time aNow,
                          int aMinReservationSize = kMinReservationSize)
{
  QueueDecision queue;
  internal::WaitReasonCache waitReasons;
  for (const Job& job : aWaiting) {
    const Reservation* reservation =
      queue.mReservation ? &*queue.mReservation : nullptr;
    const bool reserved = reservation && reservation->AppliesTo(job, aNow);
    if (const auto reason = waitReasons.Find(job, reserved)) {
      queue.mDecisions.emplace_back(MustWait{ *reason });
      continue;
    }
    queue.mDecisions.push_back(aPlacement.Place(job, aNow, reservation));
    const auto* wait = std::get_if<MustWait>(&queue.mDecisions.back());
    if (!wait || wait->mReason == WaitReason::eStillHeld) {
      continue;
    }
    waitReasons.Add(job, reserved, wait->mReason);
    if (!reservation && job.Accelerators() >= aMinReservationSize) {
      queue.mReservation = aPlacement.Reserve(job, aNow);
    }
  }
  return queue;
}

} // namespace flamingoloom::placement
