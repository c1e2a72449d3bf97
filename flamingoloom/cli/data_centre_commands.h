// The subcommands "data-centre out", "in" and "status", which take a data
// centre out of service, return it, and list all.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands DataCentreCommands();

} // namespace flamingoloom::cli
