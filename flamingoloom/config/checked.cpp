#include "flamingoloom/config/checked.h"

#include <fmt/format.h>

namespace flamingoloom::config {
namespace {

std::string ProblemLine(const base::Error& aProblem)
{
  return aProblem.mField.empty()
           ? aProblem.mMessage
           : fmt::format("{}: {}", aProblem.mField, aProblem.mMessage);
}

} // namespace

std::string ToString(const Problems& aProblems)
{
  std::string text;
  for (const auto& problem : aProblems) {
    text += ProblemLine(problem) + "\n";
  }
  return text;
}

base::Error Combine(const Problems& aProblems)
{
  base::Error combined = aProblems.front();
  for (std::size_t i = 1; i < aProblems.size(); ++i) {
    combined.mMessage += "; " + ProblemLine(aProblems[i]);
  }
  return combined;
}

} // namespace flamingoloom::config
