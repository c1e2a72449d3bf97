// The subcommand "questionnaire", which asks about jobs, client accounts,
// guarantees and data centres, and writes the configuration.
#pragma once

#include "flamingoloom/cli/command.h"

namespace flamingoloom::cli {

Commands QuestionnaireCommands();

} // namespace flamingoloom::cli
