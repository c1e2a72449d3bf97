// Starts waiting jobs in the order of the queue, with a reservation for the
// first large gang that must wait.
//
// Jobs behind that gang are placed only when they are expected to end before
// the reservation begins, or on blocks outside of it. The reservation is made
// anew with each pass over the queue, so it follows work that ends early or
// overruns; it covers blocks only, not the room that guarantees leave.
#pragma once

#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "flamingoloom/placement/placement.h"

namespace flamingoloom::placement {

// Jobs of at least this many accelerators get a reservation: two servers of the
// usual size, where free blocks no longer appear by chance.
constexpr int kLargeGang = 16;

struct QueueDecision
{
  // One decision for each waiting job, in the order of the queue.
  std::vector<Decision> mDecisions;
  std::optional<Reservation> mReservation;

  friend bool operator==(const QueueDecision&, const QueueDecision&) = default;
};

// Places what can be placed now; those jobs hold their blocks afterwards.
template <FitPolicy Fit, GuaranteeCheck Check>
QueueDecision DecideQueue(BasicPlacement<Fit, Check>& aPlacement,
                          std::span<const Job> aWaiting,
                          base::Time aNow,
                          int aLargeGang = kLargeGang)
{
  QueueDecision queue;
  for (const Job& job : aWaiting) {
    const Reservation* reservation =
      queue.mReservation ? &*queue.mReservation : nullptr;
    queue.mDecisions.push_back(aPlacement.Place(job, aNow, reservation));
    const auto* wait = std::get_if<MustWait>(&queue.mDecisions.back());
    if (wait && wait->mReason != WaitReason::eStillHeld && !reservation &&
        job.Accelerators() >= aLargeGang) {
      queue.mReservation = aPlacement.Reserve(job, aNow);
    }
  }
  return queue;
}

} // namespace flamingoloom::placement
