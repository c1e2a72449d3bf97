// Checks the answers to the questionnaire for contradictions.
#pragma once

#include <string>

#include "flamingoloom/config/answers.h"
#include "flamingoloom/config/checked.h"

namespace flamingoloom::config {

// Minimum response time (KindAnswers::mAnswerWithin) of a kind of job that may
// wait overnight.
constexpr base::Duration kShortestOvernight = std::chrono::hours(8);

// Returns all contradictions between the answers. Each problem has the path of
// the answer at fault, the wording of its question and a correction. The
// function does not check whether the data centres have the capacity for the
// guarantees. Requires answers that conform to AnswersSchema(). Thread-safe.
Problems CheckAnswers(const Answers& aAnswers, const std::string& aName);

} // namespace flamingoloom::config
