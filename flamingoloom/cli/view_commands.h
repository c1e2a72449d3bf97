// The subcommands "jobs", "servers", "instances", "capacity" and "burn", which
// print listings of the instances.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands ViewCommands();

} // namespace flamingoloom::cli
