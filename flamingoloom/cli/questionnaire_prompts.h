// Asks the questions of the questionnaire at a terminal.
#pragma once

#include <optional>

#include <nlohmann/json.hpp>

#include "flamingoloom/cli/console.h"

namespace flamingoloom::cli {

// Asks all questions and returns the answers in their JSON form; none when the
// input ends early. aEarlier holds earlier answers that are offered again, or
// an empty object.
std::optional<nlohmann::json> AskAllQuestions(Console& aConsole,
                                              const nlohmann::json& aPrevious);

} // namespace flamingoloom::cli
