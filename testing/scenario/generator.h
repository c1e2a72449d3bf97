// Random fault schedules in the scenario language.
//
// A schedule has load and faults of all kinds for its first half, repeated or
// together; then everything is healed, and in the quiet second half all that
// was accepted must end. The same seed always gives the same text.
#pragma once

#include <cstdint>
#include <string>

namespace flamingoloom::testing::scenario {

std::string GenerateScript(std::uint64_t aSeed);

} // namespace flamingoloom::testing::scenario
