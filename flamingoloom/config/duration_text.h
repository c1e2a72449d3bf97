// Formats and parses durations with a unit: "500 ms", "2 s", "90 min", "4 h".
#pragma once

#include <string>
#include <string_view>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::config {

// Formats aDuration as a whole number of the largest unit that represents it
// exactly, such as "90 s" for 90,000 ms. Thread-safe.
std::string DurationText(base::Duration aDuration);

// Parses a whole number and a unit: ms, s, min, h or d. Returns eInvalid for
// any other text, for negative durations and for those above 365 days.
// Thread-safe.
base::Expected<base::Duration> ParseDuration(std::string_view aText);

} // namespace flamingoloom::config
