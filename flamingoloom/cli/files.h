// Reads and writes whole files. Errors have the code eInvalid and name the file
// as their peer.
#pragma once

#include <string>

#include "flamingoloom/base/error.h"

namespace flamingoloom::cli {

base::Expected<std::string> ReadFile(const std::string& aPath);

// Replaces the file atomically: after a failure it has its old content. Copies
// an existing file to aPath + ".bak" first. Returns aPath.
base::Expected<std::string> WriteFile(const std::string& aPath,
                                      const std::string& aText);

} // namespace flamingoloom::cli
