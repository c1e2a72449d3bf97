// The subcommand "trace", which prints the timeline of a job from the logs of
// all instances.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands TraceCommands();

} // namespace flamingoloom::cli
