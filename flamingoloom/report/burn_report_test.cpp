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

// In each window, 3 of 10 requests were not in time, all in the second newest
// bucket. The kind "removed" is not in the configuration.
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

bool Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against rates that are computed from the wrong window or objective,
// and against rows for kinds that are not in the configuration.
TEST_CASE("rates of a pair follow from the objective of its kind")
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
// reported, because a field is lost between encoding and decoding.
TEST_CASE("encoding and decoding a report as JSON preserves it")
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

// Guards against a page that needs scripts or the network, omits a part of the
// report, or does not escape names.
TEST_CASE("the page is complete, escaped and self-contained")
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
    CHECK_MESSAGE(Contains(page, part), part);
  }
  for (const char* part : { "<script", "http:", "https:", "src=", "a<b>" }) {
    CHECK_MESSAGE(!Contains(page, part), part);
  }
}

// With an objective of 100%, one bad request makes the rate infinite. Guards
// against a bar outside of the plot, or "inf" on the page.
TEST_CASE("an objective of 100% is shown as over")
{
  BurnReport report = MakeReport();
  report.mPairs[0].mObjective = 1;
  std::string page = BurnHtml(report, "");
  CHECK(Contains(page, "<td>over</td>"));
  CHECK(!Contains(page, "inf"));
  CHECK(!Contains(page, "nan"));
}

} // namespace flamingoloom::report
