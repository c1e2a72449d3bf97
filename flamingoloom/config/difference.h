// Describes the changes between two configurations for operators.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/config/configuration.h"

namespace flamingoloom::config {

// Returns one sentence for each added or removed entry and for each changed
// property; empty if the configurations are equal apart from their versions. A
// changed key is reported without its digest. Thread-safe.
std::vector<std::string> Difference(const Configuration& aOld,
                                    const Configuration& aNew);

} // namespace flamingoloom::config
