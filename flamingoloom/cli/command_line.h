// Entry point of the program `flamingoloom`: parses a command line and runs the
// subcommand that it selects.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/cli/console.h"
#include "flamingoloom/cli/exit_code.h"
#include "flamingoloom/config/settings.h"

namespace flamingoloom::cli {

// Runs the command line aArguments, which does not include the name of the
// program. Writes results to mOut of aConsole and messages to mErr. Does not
// throw.
ExitCode Run(const std::vector<std::string>& aArguments,
             Console& aConsole,
             const config::Environment& aEnvironment);

} // namespace flamingoloom::cli
