// SHA-256 digests, as used for answers, request bodies and configurations.
#pragma once

#include <string>
#include <string_view>

namespace flamingoloom::base {

// Returns the SHA-256 of aData as 64 lower-case hexadecimal digits.
// Thread-safe.
std::string Sha256Hex(std::string_view aData);

} // namespace flamingoloom::base
