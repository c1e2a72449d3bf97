// The subcommand "check", which validates a settings file of the daemon.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands CheckCommands();

} // namespace flamingoloom::cli
