// The subcommands "config show", "diff", "history" and "apply", which show and
// change the configuration of the instances.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands ConfigCommands();

} // namespace flamingoloom::cli
