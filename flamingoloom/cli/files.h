// Reading and writing whole files, with errors that name the file.
#pragma once

#include <string>

#include "flamingoloom/base/error.h"

namespace flamingoloom::cli {

base::Expected<std::string> ReadFile(const std::string& aPath);

// Replaces the file as a whole: after a failure it has its old content. An
// earlier file of the name is kept as aPath + ".bak". Returns the path.
base::Expected<std::string> WriteFile(const std::string& aPath,
                                      const std::string& aText);

} // namespace flamingoloom::cli
