// Answers to single questions, as they are typed at a terminal.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "flamingoloom/config/questions.h"

namespace flamingoloom::cli {

// The answer that aText stands for; none when it has the wrong form. Ranges
// are not checked.
std::optional<nlohmann::json> ParseAnswer(config::AnswerType aType,
                                          std::string_view aText);

// aValue as it would be typed.
std::string AnswerText(config::AnswerType aType, const nlohmann::json& aValue);

// What an answer must be, such as "yes or no".
std::string_view AnswerForm(config::AnswerType aType);

} // namespace flamingoloom::cli
