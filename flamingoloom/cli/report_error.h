// Prints error messages that say what failed and what the operator can do.
#pragma once

#include <ostream>

#include "flamingoloom/base/error.h"
#include "flamingoloom/cli/exit_code.h"
#include "flamingoloom/config/checked.h"

namespace flamingoloom::cli {

// Prints aError with the next step for the operator, and returns the exit code
// for it.
ExitCode ReportError(std::ostream& aOut, const base::Error& aError);

// Prints the problems of aName, such as a file, one on a line, and returns
// eInvalid.
ExitCode ReportProblems(std::ostream& aOut,
                        const std::string& aName,
                        const config::Problems& aProblems);

} // namespace flamingoloom::cli
