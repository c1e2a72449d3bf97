// Generates the configuration from the answers to the questionnaire.
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

// The configuration, with version 0, that aAnswers stand for. All problems
// are reported at once, each with the question and what would make the
// answers fit; aName says where the answers came from.
//
// A kind that may not run twice is always durable: without a record, nobody
// could tell whether it has run.
Checked<Configuration> Generate(const Answers& aAnswers,
                                const std::string& aName,
                                const Planner& aPlanner);

} // namespace flamingoloom::config
