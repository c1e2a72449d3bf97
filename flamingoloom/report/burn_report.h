// The burn report for operators: the merged counts, the objectives from the
// configuration, and the instances that the counts come from.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "flamingoloom/base/error.h"
#include "flamingoloom/config/configuration.h"
#include "flamingoloom/report/burn.h"

namespace flamingoloom::report {

// Printed with every report.
inline constexpr const char* kHistoryNote =
  "The history is held only in the memory of the instances. An instance that "
  "restarts begins from zero, and what a missing or replaced instance counted "
  "is not in this report.";

inline constexpr const char* kTotalsNote =
  " (totals only: the plots show its counts in the newest bar)";

struct CountingInstance
{
  std::string mId;
  base::Duration mCountingFor{};
  // When set, the newest bucket of each window holds the total of the window.
  bool mTotalsOnly = false;

  friend bool operator==(const CountingInstance&,
                         const CountingInstance&) = default;
};

// A listed instance whose counts are not in the report.
struct MissingInstance
{
  std::string mId;
  std::string mReason;

  friend bool operator==(const MissingInstance&,
                         const MissingInstance&) = default;
};

struct PairReport
{
  base::AccountId mAccount;
  base::KindId mKind;
  double mObjective = 0;
  base::Duration mTarget{};
  Windows mWindows{};

  CompletionCounts Ended(std::size_t aWindow) const
  {
    return Total(mWindows[aWindow]);
  }
  std::optional<double> Rate(std::size_t aWindow) const
  {
    return BurnRate(Ended(aWindow), mObjective);
  }
  std::optional<double> Budget() const
  {
    return BudgetLeft(Ended(kBudgetWindow), mObjective);
  }

  friend bool operator==(const PairReport&, const PairReport&) = default;
};

struct BurnReport
{
  std::vector<PairReport> mPairs;
  std::vector<CountingInstance> mInstances;
  std::vector<MissingInstance> mMissing;
  std::uint64_t mNotCounted = 0;

  friend bool operator==(const BurnReport&, const BurnReport&) = default;
};

// Returns the pairs whose kind is in the configuration and that have at least
// one completed request in kBudgetWindow, the longest window.
std::vector<PairReport> ReportPairs(
  const BurnCounts& aCounts,
  const config::Configuration& aConfiguration);

// Returns the JSON document of the view "burn".
nlohmann::json ReportToJson(const BurnReport& aReport);
// Fails with eBadAnswer when aJson is malformed.
base::Expected<BurnReport> ReportFromJson(const nlohmann::json& aJson);

// Formats a burn rate, such as "3.20"; "over" when it has no bound.
std::string RateText(const std::optional<double>& aRate);
// Formats the share of the budget that is left, such as "97.5%"; "over" when it
// has no bound.
std::string BudgetText(const std::optional<double>& aBudget);

} // namespace flamingoloom::report
