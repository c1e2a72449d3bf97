// The subcommand "burn": the burn report as a table, JSON or an HTML page.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Command BurnCommand();

} // namespace flamingoloom::cli
