// Error messages for people: what failed, and what to do next.
#pragma once

#include <ostream>

#include "flamingoloom/base/error.h"
#include "flamingoloom/cli/exit_code.h"
#include "flamingoloom/config/checked.h"

namespace flamingoloom::cli {

// Prints aError and returns the exit code for it.
ExitCode ReportError(std::ostream& aOut, const base::Error& aError);

// Prints each problem on a line and returns eInvalid.
ExitCode ReportProblems(std::ostream& aOut,
                        const std::string& aName,
                        const config::Problems& aProblems);

} // namespace flamingoloom::cli
