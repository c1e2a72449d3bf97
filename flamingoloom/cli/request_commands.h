// Subcommands of callers: submit, status, wait, cancel.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands RequestCommands();

} // namespace flamingoloom::cli
