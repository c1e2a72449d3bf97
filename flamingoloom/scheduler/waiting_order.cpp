#include "flamingoloom/scheduler/waiting_order.h"

namespace flamingoloom::scheduler {

Timeliness TimelinessOf(base::Time aNow,
                        base::Time aAcceptedAt,
                        base::Time aObjective,
                        base::Duration aEstimate)
{
  constexpr int kTooLateFactor = 3;
  const auto expectedEnd = aNow + aEstimate;
  if (expectedEnd <= aObjective) {
    return Timeliness::eInTime;
  }
  return expectedEnd <=
             aAcceptedAt + (aObjective - aAcceptedAt) * kTooLateFactor
           ? Timeliness::eLate
           : Timeliness::eTooLate;
}

} // namespace flamingoloom::scheduler
