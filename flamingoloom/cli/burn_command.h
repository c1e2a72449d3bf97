// The subcommand "burn", which prints the burn report as a table or JSON, and
// optionally writes it as an HTML page.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Command BurnCommand();

} // namespace flamingoloom::cli
