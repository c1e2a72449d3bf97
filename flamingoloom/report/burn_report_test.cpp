#include "flamingoloom/report/burn_report.h"

#include <doctest/doctest.h>

#include "flamingoloom/report/burn_html.h"

namespace flamingoloom::report {
namespace {

using namespace std::chrono_literals;

config::Configuration MakeConfiguration()
{
  config::JobKind quote;
  quote.mId = base::KindId("quote");
  quote.mTarget = 500ms;
  quote.mObjective = 0.9;
  config::Configuration configuration;
  configuration.mKinds = { quote };
  return configuration;
}

// 3 of 10 were not in time in each window, in its second newest bucket.
BurnReport MakeReport()
{
  BurnCounts counts;
  for (const char* kind : { "quote", "removed" }) {
    Windows& windows =
      counts.mPairs[{ base::AccountId("a<b>&c"), base::KindId(kind) }];
    for (History& history : windows) {
      history[1] = { 7, 10 };
    }
  }
  counts.mPairs[{ base::AccountId("idle"), base::KindId("quote") }];
  BurnReport report;
  report.mPairs = ReportPairs(counts, MakeConfiguration());
  report.mInstances = { { "i1", 61s }, { "i3", 5s, true } };
  report.mMissing = { { "i2", "no answer within 1 s" } };
  report.mNotCounted = 4;
  return report;
}

bool Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against rates from the wrong window or objective, and rows of kinds
// without an objective.
TEST_CASE("a pair has the rates of its kind's objective")
{
  BurnReport report = MakeReport();
  REQUIRE(report.mPairs.size() == 1);
  const PairReport& pair = report.mPairs[0];
  CHECK(pair.mTarget == 500ms);
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    CHECK(*pair.Rate(i) == doctest::Approx(3));
  }
  CHECK(*pair.Budget() == doctest::Approx(-2));
}

// Guards against a command line that prints other figures than the instance
// gave.
TEST_CASE("the JSON form keeps the report")
{
  BurnReport report = MakeReport();
  auto json = ReportToJson(report);
  CHECK(json["pairs"][0]["windows"][0]["window"] == "5m");
  CHECK(json["pairs"][0]["windows"][0]["burnRate"].get<double>() ==
        doctest::Approx(3));
  CHECK(json["note"] == kHistoryNote);
  auto read = ReportFromJson(json);
  REQUIRE(read);
  CHECK(*read == report);
  CHECK(!ReportFromJson(nlohmann::json::array()));
  CHECK(!ReportFromJson({ { "pairs", 3 } }));
}

// Guards against a page that needs scripts or the network, loses a part of
// the report, or lets a name break the markup.
TEST_CASE("the page is complete and stands alone")
{
  std::string page = BurnHtml(MakeReport(), "2026-01-02");
  for (const char* part : { "2026-01-02",
                            "a&lt;b&gt;&amp;c",
                            "<td>3.00</td>",
                            "<td>-200.0%</td>",
                            "7 of 10 in time",
                            "<svg",
                            "i1 has counted for 61 s<",
                            "i3 has counted for 5 s (totals only",
                            "missing: i2",
                            "4 requests were not counted",
                            kHistoryNote }) {
    CHECK_MESSAGE(Has(page, part), part);
  }
  for (const char* part : { "<script", "http:", "https:", "src=", "a<b>" }) {
    CHECK_MESSAGE(!Has(page, part), part);
  }
}

// Guards against a bar that is drawn outside of the plot when the rate has no
// bound.
TEST_CASE("an objective of 100% is shown as over")
{
  BurnReport report = MakeReport();
  report.mPairs[0].mObjective = 1;
  std::string page = BurnHtml(report, "");
  CHECK(Has(page, "<td>over</td>"));
  CHECK(!Has(page, "inf"));
  CHECK(!Has(page, "nan"));
}

} // namespace flamingoloom::report
