// Generates a configuration from the answers to the questionnaire.
//
//   auto configuration = Generate(answers, "answers.json", planner);
//   if (!configuration) { Print(ToString(configuration.error())); }
//
// Pure functions on value types; thread-safe.
#pragma once

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "flamingoloom/config/answers.h"
#include "flamingoloom/config/checked.h"
#include "flamingoloom/config/configuration.h"
#include "flamingoloom/placement/guarantee_plan.h"

namespace flamingoloom::config {

// Assigns guarantees to data centres; placement::PlanGuarantees in production.
using Planner =
  std::function<base::Expected<std::vector<placement::DataCentreAssignment>>(
    std::span<const placement::DataCentreCapacity>,
    std::span<const placement::Demand>)>;

// Returns the configuration for aAnswers, with version 0, or all problems of
// the answers, each with its question and a correction. aName names the source
// of the answers in error messages. Requires answers that conform to
// AnswersSchema().
//
// A kind of job that may not run twice is always durable, whatever the answer
// to "May it be lost?": without a stored record the scheduler could not
// determine whether the job has already run.
Checked<Configuration> Generate(const Answers& aAnswers,
                                const std::string& aName,
                                const Planner& aPlanner);

} // namespace flamingoloom::config
