#include "flamingoloom/cli/burn_command.h"

#include <chrono>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "flamingoloom/cli/files.h"
#include "flamingoloom/cli/table.h"
#include "flamingoloom/report/burn_html.h"
#include "flamingoloom/report/burn_report.h"

namespace flamingoloom::cli {
namespace {

using nlohmann::json;

using WallTime = std::chrono::system_clock::time_point;

std::string TimeText(WallTime aTime)
{
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(aTime)));
}

json Row(const report::PairReport& aPair)
{
  report::CompletionCounts ended = aPair.Ended(report::kBudgetWindow);
  json row = { { "account", aPair.mAccount.Value() },
               { "kind", aPair.mKind.Value() },
               { "objective", fmt::format("{:g}%", aPair.mObjective * 100) },
               { "budget left", report::BudgetText(aPair.Budget()) },
               { "in time 3d", ended.mInTime },
               { "ended 3d", ended.mEnded } };
  for (std::size_t i = 0; i < report::kWindowCount; ++i) {
    row[fmt::format("burn {}", report::kBurnWindows[i].mName)] =
      report::RateText(aPair.Rate(i));
  }
  return row;
}

void PrintSources(std::ostream& aOut,
                  const report::BurnReport& aReport,
                  WallTime aNow)
{
  for (const auto& instance : aReport.mInstances) {
    aOut << "counted by " << instance.mId << " since "
         << TimeText(aNow - instance.mCountingFor)
         << (instance.mTotalsOnly ? report::kTotalsNote : "") << "\n";
  }
  for (const auto& missing : aReport.mMissing) {
    aOut << "missing: " << missing.mId << ": " << missing.mReason << "\n";
  }
  if (aReport.mNotCounted > 0) {
    aOut << aReport.mNotCounted
         << " requests were not counted: too many pairs of account and kind\n";
  }
}

void PrintReport(std::ostream& aOut,
                 const report::BurnReport& aReport,
                 WallTime aNow)
{
  json rows = json::array();
  for (const auto& pair : aReport.mPairs) {
    rows.push_back(Row(pair));
  }
  PrintTable(aOut,
             rows,
             { "account",
               "kind",
               "objective",
               "burn 5m",
               "burn 1h",
               "burn 6h",
               "burn 3d",
               "budget left",
               "in time 3d",
               "ended 3d" });
  PrintSources(aOut, aReport, aNow);
  aOut << report::kHistoryNote << "\n";
}

base::Expected<report::BurnReport> ParseReport(const json& aBody)
{
  bool hasReport = aBody.is_object() && aBody.contains("burn");
  return report::ReportFromJson(hasReport ? aBody.at("burn") : json());
}

base::Expected<void> PrintText(std::ostream& aOut,
                               const json& aBody,
                               WallTime aNow)
{
  if (!aBody.is_object() || !aBody.contains("burn")) {
    // The instance runs another version, without the burn report.
    PrintTable(aOut, RowsOf(aBody), { "account", "kind", "objective" });
    return {};
  }
  return ParseReport(aBody).map([&](const report::BurnReport& aReport) {
    PrintReport(aOut, aReport, aNow);
  });
}

base::Expected<void> WriteHtml(const std::string& aFile,
                               const json& aBody,
                               WallTime aNow)
{
  return ParseReport(aBody)
    .and_then([&](const report::BurnReport& aReport) {
      return WriteFile(aFile, report::BurnHtml(aReport, TimeText(aNow)));
    })
    .map([](const std::string&) {});
}

base::Expected<ExitCode> RunBurn(Context& aContext, const Arguments& aArguments)
{
  auto response = aContext.mClient->SendChecked({ "GET", "/v1/burn" });
  if (!response) {
    return tl::unexpected(response.error());
  }
  WallTime now = std::chrono::system_clock::now();
  base::Expected<void> done;
  if (aContext.mIsJson) {
    PrintJson(aContext.mConsole.mOut, response->mBody);
  } else {
    done = PrintText(aContext.mConsole.mOut, response->mBody, now);
  }
  if (done && aArguments.Has("--html")) {
    done = WriteHtml(aArguments.Text("--html"), response->mBody, now);
  }
  return done.map([] { return ExitCode::eDone; });
}

} // namespace

Command BurnCommand()
{
  return {
    { "burn" },
    "Show how fast each kind of job burns its error budget of late answers",
    "flamingoloom burn --html burn.html",
    { { "--html",
        OptionType::eText,
        "also write the report to this file, as an HTML page with plots" } },
    true,
    RunBurn
  };
}

} // namespace flamingoloom::cli
