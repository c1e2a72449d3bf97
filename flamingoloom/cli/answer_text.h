// Converts answers of the questionnaire between the text that is typed at a
// terminal and their JSON form. The functions are thread-safe.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "flamingoloom/config/questions.h"

namespace flamingoloom::cli {

// Returns the JSON form of the answer in aText, or nullopt when aText does not
// have the form that aType requires. Does not check ranges.
std::optional<nlohmann::json> ParseAnswer(config::AnswerType aType,
                                          std::string_view aText);

// Returns the text that ParseAnswer parses to aValue. aValue must have the JSON
// type that belongs to aType.
std::string AnswerText(config::AnswerType aType, const nlohmann::json& aValue);

// Returns a description of the form of an answer for prompts, such as "yes or
// no".
std::string_view AnswerForm(config::AnswerType aType);

} // namespace flamingoloom::cli
