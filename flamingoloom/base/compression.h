// Compression of values that would not fit into a row of the store otherwise.
#pragma once

#include <cstddef>
#include <string>

#include "flamingoloom/base/error.h"

namespace flamingoloom::base {

// Returns aText in the zlib format. Thread-safe.
std::string Compress(const std::string& aText);

// Returns the text that aCompressed was made of. aStep and aPeer are for the
// error: eInvalid if aCompressed is not in the zlib format, or if the text is
// longer than aMaxBytes. Thread-safe.
Expected<std::string> Decompress(const char* aStep,
                                 const std::string& aPeer,
                                 const std::string& aCompressed,
                                 std::size_t aMaxBytes);

} // namespace flamingoloom::base
