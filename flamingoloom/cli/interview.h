// Asks the questions of the questionnaire at a terminal.
#pragma once

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

#include "flamingoloom/cli/console.h"
#include "flamingoloom/config/questions.h"

namespace flamingoloom::cli {

// Asks all questions and returns the answers in their JSON form; none when the
// input ends early. aEarlier holds earlier answers that are offered again, or
// an empty object.
std::optional<nlohmann::json> AskAll(Console& aConsole,
                                     const nlohmann::json& aEarlier);

namespace internal {

// The answer that aText stands for; none when it has the wrong form.
std::optional<nlohmann::json> ParseAnswer(config::AnswerType aType,
                                          std::string_view aText);

// aValue as it would be typed.
std::string AnswerText(config::AnswerType aType, const nlohmann::json& aValue);

} // namespace internal

} // namespace flamingoloom::cli
