#include "flamingoloom/report/burn_report.h"

#include <fmt/format.h>

#include "flamingoloom/report/burn_json.h"

namespace flamingoloom::report {
namespace {

using nlohmann::json;

json NumberOrNull(const std::optional<double>& aValue)
{
  return aValue ? json(*aValue) : json();
}

json PairToJson(const PairReport& aPair)
{
  json windows = json::array();
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    CompletionCounts ended = aPair.Ended(i);
    windows.push_back({ { "window", kBurnWindows[i].mName },
                        { "inTime", ended.mInTime },
                        { "ended", ended.mEnded },
                        { "burnRate", NumberOrNull(aPair.Rate(i)) },
                        { "history", HistoryToJson(aPair.mWindows[i]) } });
  }
  return { { "account", aPair.mAccount.Value() },
           { "kind", aPair.mKind.Value() },
           { "objective", aPair.mObjective },
           { "targetMs", base::ToMilliseconds(aPair.mTarget) },
           { "budgetLeft", NumberOrNull(aPair.Budget()) },
           { "windows", std::move(windows) } };
}

PairReport PairFromJson(const json& aJson)
{
  PairReport pair;
  pair.mAccount = base::AccountId(aJson.at("account").get<std::string>());
  pair.mKind = base::KindId(aJson.at("kind").get<std::string>());
  pair.mObjective = aJson.at("objective").get<double>();
  pair.mTarget =
    std::chrono::milliseconds(aJson.at("targetMs").get<std::int64_t>());
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    pair.mWindows[i] = HistoryFromJson(aJson.at("windows").at(i).at("history"));
  }
  return pair;
}

BurnReport ParseReport(const json& aJson)
{
  BurnReport report;
  for (const json& pair : aJson.at("pairs")) {
    report.mPairs.push_back(PairFromJson(pair));
  }
  for (const json& instance : aJson.at("instances")) {
    report.mInstances.push_back(
      { instance.at("id").get<std::string>(),
        std::chrono::milliseconds(
          instance.at("countingForMs").get<std::int64_t>()),
        instance.at("totalsOnly").get<bool>() });
  }
  for (const json& missing : aJson.at("missing")) {
    report.mMissing.push_back({ missing.at("id").get<std::string>(),
                                missing.at("reason").get<std::string>() });
  }
  report.mNotCounted = aJson.at("notCounted").get<std::uint64_t>();
  return report;
}

} // namespace

std::vector<PairReport> ReportPairs(const BurnCounts& aCounts,
                                    const config::Configuration& aConfiguration)
{
  std::vector<PairReport> pairs;
  for (const auto& [key, windows] : aCounts.mPairs) {
    const config::JobKind* kind = aConfiguration.Kind(key.second);
    if (kind && Total(windows[kBudgetWindow]).mEnded > 0) {
      pairs.push_back(
        { key.first, key.second, kind->mObjective, kind->mTarget, windows });
    }
  }
  return pairs;
}

json ReportToJson(const BurnReport& aReport)
{
  json pairs = json::array();
  for (const PairReport& pair : aReport.mPairs) {
    pairs.push_back(PairToJson(pair));
  }
  json instances = json::array();
  for (const CountingInstance& instance : aReport.mInstances) {
    instances.push_back(
      { { "id", instance.mId },
        { "countingForMs", base::ToMilliseconds(instance.mCountingFor) },
        { "totalsOnly", instance.mTotalsOnly } });
  }
  json missing = json::array();
  for (const MissingInstance& instance : aReport.mMissing) {
    missing.push_back(
      { { "id", instance.mId }, { "reason", instance.mReason } });
  }
  return { { "pairs", std::move(pairs) },
           { "instances", std::move(instances) },
           { "missing", std::move(missing) },
           { "notCounted", aReport.mNotCounted },
           { "note", kHistoryNote } };
}

base::Expected<BurnReport> ReportFromJson(const json& aJson)
{
  try {
    return ParseReport(aJson);
  } catch (const std::exception& error) {
    return base::MakeError(base::ErrorCode::eBadAnswer,
                           "read burn report",
                           "instance",
                           error.what());
  }
}

std::string RateText(const std::optional<double>& aRate)
{
  return aRate ? fmt::format("{:.2f}", *aRate) : "over";
}

std::string BudgetText(const std::optional<double>& aBudget)
{
  return aBudget ? fmt::format("{:.1f}%", *aBudget * 100) : "over";
}

} // namespace flamingoloom::report
