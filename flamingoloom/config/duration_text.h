// Durations as people write them: "500 ms", "2 s", "90 min", "4 h".
#pragma once

#include <string>
#include <string_view>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::config {

// The shortest exact form in whole units, such as "90 s" for 90,000 ms.
std::string DurationText(base::Duration aDuration);

// Reads a whole number and a unit: ms, s, min, h or d. Negative durations and
// those above one year are refused. Thread-safe.
base::Expected<base::Duration> ParseDuration(std::string_view aText);

} // namespace flamingoloom::config
