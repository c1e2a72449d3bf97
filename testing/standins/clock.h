// Clocks of the stub servers.
#pragma once

#include <chrono>

#include "flamingoloom/base/time.h"

namespace flamingoloom::standins {

// Returns the monotonic time.
inline base::Time Now()
{
  return base::Time(std::chrono::duration_cast<base::Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

// Returns the monotonic time aTime as milliseconds of wall-clock time since the
// Unix epoch, so that histories of processes on one machine can be compared.
inline long long ToWallClockMs(base::Time aTime)
{
  const auto wall = std::chrono::duration_cast<base::Duration>(
    std::chrono::system_clock::now().time_since_epoch());
  return base::ToMilliseconds(wall - (Now() - aTime));
}

} // namespace flamingoloom::standins
