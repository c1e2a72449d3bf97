// The subcommand that tells one job's story from the logs of all instances.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands TraceCommands();

} // namespace flamingoloom::cli
