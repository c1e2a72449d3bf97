// Result type of checks that report all problems and not only the first.
//
// Each problem is a base::Error whose mField is the JSON pointer of the value
// at fault, such as "/limits/httpThreads".
#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "flamingoloom/base/error.h"

namespace flamingoloom::config {

using Problems = std::vector<base::Error>;

// Holds a value or at least one problem.
template <class T>
using Checked = tl::expected<T, Problems>;

// Returns one line per problem: "path: message", or only the message if the
// problem has no path.
std::string ToString(const Problems& aProblems);

// Combines all problems into one error, for interfaces that return a single
// error. The code and the field are those of the first problem; the message
// contains all of them. Requires that aProblems is not empty.
base::Error Combine(const Problems& aProblems);

} // namespace flamingoloom::config
