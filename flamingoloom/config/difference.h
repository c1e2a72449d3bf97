// What changes between two configurations, in plain sentences for operators.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/config/configuration.h"

namespace flamingoloom::config {

// One sentence per added, removed or changed property; empty when the two
// mean the same. Versions are not compared. Keys are reported as changed
// without their digests. Thread-safe.
std::vector<std::string> Difference(const Configuration& aOld,
                                    const Configuration& aNew);

} // namespace flamingoloom::config
