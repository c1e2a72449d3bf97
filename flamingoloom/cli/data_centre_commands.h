// Subcommands that take a data centre out of service and return it.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands DataCentreCommands();

} // namespace flamingoloom::cli
