// How much room to keep for urgent work that is about to arrive.
//
// The load that it answers: short urgent jobs arrive at a steady rate beside
// long ones that take each gap. Without room they stop running work, which
// costs them the time of a stop, and others the work that is lost.
//
//   UrgentDemand demand;
//   demand.Record(now, accelerators);   // an urgent job has arrived
//   demand.ExpectedAccelerators(now);   // what arrives while others would stop
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>

#include "flamingoloom/base/time.h"

namespace flamingoloom::scheduler {

class UrgentDemand
{
public:
  // Records that urgent work arrived at aNow which needs aAccelerators.
  void Record(base::Time aNow, std::int64_t aAccelerators);
  // Returns the accelerators that the work needs which is expected to arrive
  // during the time of a stop and a start, by the arrivals of the last seconds.
  std::int64_t ExpectedAccelerators(base::Time aNow);

private:
  std::deque<std::pair<base::Time, std::int64_t>> mArrivals;
  // Of all mArrivals.
  std::int64_t mAccelerators = 0;
};

} // namespace flamingoloom::scheduler
