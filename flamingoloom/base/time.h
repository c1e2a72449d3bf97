// Points in time and durations of the scheduling libraries.
//
// These libraries never read a clock: their callers pass in the current time.
// In the daemon it comes from the clock of the CAF runtime, in tests from a
// virtual clock. Times are monotonic within one process and must not be
// compared between processes.
#pragma once

#include <chrono>

namespace flamingoloom::base {

using Duration = std::chrono::microseconds;

// Clock type of the monotonic time of one process. It deliberately has no
// now(), so that no library can read the time by itself.
struct ProcessClock
{
  // The C++ standard prescribes these names for clock types.
  // NOLINTBEGIN(readability-identifier-naming)
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};

using Time = std::chrono::time_point<ProcessClock, Duration>;

// Returns aDuration in whole milliseconds, rounded towards zero, for messages
// and logs.
constexpr long long ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace flamingoloom::base
