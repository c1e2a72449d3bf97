// Contradictions between answers to the questionnaire.
#pragma once

#include <string>

#include "flamingoloom/config/answers.h"
#include "flamingoloom/config/checked.h"

namespace flamingoloom::config {

// Jobs that may wait overnight must be allowed at least this long.
constexpr base::Duration kShortestOvernight = std::chrono::hours(8);

// Every contradiction, each with the path of the question at fault, its
// wording and what would make the answers fit. Does not check whether the
// guarantees fit. Requires answers that conform to AnswersSchema().
// Thread-safe.
Problems CheckAnswers(const Answers& aAnswers, const std::string& aName);

} // namespace flamingoloom::config
