// The subcommand that checks a settings file of the daemon.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands CheckCommands();

} // namespace flamingoloom::cli
