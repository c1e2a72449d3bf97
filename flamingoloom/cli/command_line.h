// The command line of the program `flamingoloom`.
#pragma once

#include <string>
#include <vector>

#include "flamingoloom/cli/console.h"
#include "flamingoloom/cli/exit_code.h"
#include "flamingoloom/config/settings.h"

namespace flamingoloom::cli {

// Runs one command line, without the program's name. Results go to mOut,
// messages to mErr. Throws nothing.
ExitCode Run(const std::vector<std::string>& aArguments,
             Console& aConsole,
             const config::Environment& aEnvironment);

} // namespace flamingoloom::cli
