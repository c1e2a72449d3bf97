// The order in which waiting work gets room while it is short: what costs
// callers least waits.
//
//   std::sort(claims.begin(), claims.end());  // the first one is served first
//
// Data and comparisons without a clock; safe to use from several threads.
#pragma once

#include <compare>

#include "flamingoloom/base/time.h"

namespace flamingoloom::scheduler {

// What a job that would start now still brings its caller.
enum class Timeliness
{
  eInTime,
  // The caller gets less from it.
  eLate,
  // Its caller has no use for it any more.
  eTooLate,
};

// Returns the timeliness of work that takes aEstimate from aNow on. After three
// times the span from aAcceptedAt to aObjective it is too late.
Timeliness TimelinessOf(base::Time aNow,
                        base::Time aAcceptedAt,
                        base::Time aObjective,
                        base::Duration aEstimate);

// What decides the place of a waiting step, the most significant first.
struct WaitingClaim
{
  // A long-running service that is down comes before all work that has an end,
  // however urgent: while the fleet is full, waiting for its turn would not
  // end.
  bool mHasEnd = true;
  // The account has submitted more than its rate.
  bool mBeyondRate = false;
  // Room for work that is too late is taken from callers who still wait.
  bool mTooLate = false;
  // 0 is the most urgent priority.
  int mPriority = 0;
  // The account uses more than its share while others wait.
  bool mOverShare = false;
  bool mLate = false;
  // Of work that is too late, the least comes first, so that little of it keeps
  // others waiting: its weighted core-seconds, else 0.
  double mWorkIfTooLate = 0;
  base::Time mObjective;

  friend auto operator<=>(const WaitingClaim&, const WaitingClaim&) = default;
};

} // namespace flamingoloom::scheduler
