// Points in time and durations of the decision libraries.
//
// Decisions never read a clock: they are given the time. In the daemon it
// comes from the CAF runtime's clock, in tests from a virtual clock. Times
// are monotonic within one process and are never compared between processes.
#pragma once

#include <chrono>

namespace flamingoloom::base {

using Duration = std::chrono::microseconds;

// Tag of the monotonic time line of one process. It has no now() on purpose.
struct ProcessClock
{
  // The standard prescribes these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};

using Time = std::chrono::time_point<ProcessClock, Duration>;

// Whole milliseconds of aDuration, rounded down, for messages and logs.
constexpr long long ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

} // namespace flamingoloom::base
