// Random fault schedules in the scenario language.
//
// The first half of a schedule has load and faults of all kinds, some of them
// repeated or simultaneous. Then all faults end, and in the second half, which
// has no faults, all accepted requests must complete. The same seed always
// gives the same text.
#pragma once

#include <cstdint>
#include <string>

namespace flamingoloom::testing::scenario {

std::string GenerateScript(std::uint64_t aSeed);

} // namespace flamingoloom::testing::scenario
