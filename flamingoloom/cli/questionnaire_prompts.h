// Prompts for the answers of the questionnaire at a terminal.
#pragma once

#include <optional>

#include <nlohmann/json.hpp>

#include "flamingoloom/cli/console.h"

namespace flamingoloom::cli {

// Asks all questions and returns the answers in their JSON form, or nullopt
// when the input ends before the last question. aPrevious holds previous
// answers in the same form, which become the defaults, or is an empty object.
std::optional<nlohmann::json> AskAllQuestions(Console& aConsole,
                                              const nlohmann::json& aPrevious);

} // namespace flamingoloom::cli
