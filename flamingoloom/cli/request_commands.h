// The subcommands "submit", "status", "wait" and "cancel" for callers.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands RequestCommands();

} // namespace flamingoloom::cli
