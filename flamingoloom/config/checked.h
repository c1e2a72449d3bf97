// Results of checks that report every problem at once.
//
// Each problem is a base::Error whose mField is the JSON pointer of the value
// at fault, such as "/limits/httpThreads". Immutable values.
#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "flamingoloom/base/error.h"

namespace flamingoloom::config {

using Problems = std::vector<base::Error>;

// A value, or at least one problem.
template <class T>
using Checked = tl::expected<T, Problems>;

// One line per problem: "path: message".
std::string ToString(const Problems& aProblems);

// All problems as one error, for interfaces that carry one. The field is the
// first problem's, the message names all of them. Requires a problem.
base::Error Combine(const Problems& aProblems);

} // namespace flamingoloom::config
