// The clocks of the stand-in processes.
#pragma once

#include <chrono>

#include "flamingoloom/base/time.h"

namespace flamingoloom::standins {

// Monotonic time.
inline base::Time Now()
{
  return base::Time(std::chrono::duration_cast<base::Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

// aTime as milliseconds of wall-clock time, for comparing the records of
// processes on one machine.
inline long long ToWallClockMs(base::Time aTime)
{
  const auto wall = std::chrono::duration_cast<base::Duration>(
    std::chrono::system_clock::now().time_since_epoch());
  return base::ToMilliseconds(wall - (Now() - aTime));
}

} // namespace flamingoloom::standins
