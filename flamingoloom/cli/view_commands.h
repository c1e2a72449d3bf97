// Subcommands that list what the instances see: jobs, servers, instances,
// capacity, burn.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands ViewCommands();

} // namespace flamingoloom::cli
