// Describes a configuration in plain sentences for operators.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/config/configuration.h"

namespace flamingoloom::config {

// Returns one line for each data centre, client account and kind of job, such
// as "invoice: runs at most once: ...". Thread-safe.
std::vector<std::string> Summarise(const Configuration& aConfiguration);

} // namespace flamingoloom::config
