#include <doctest/doctest.h>

#include "flamingoloom/cli/fake_instance.h"
#include "flamingoloom/cli/files.h"
#include "flamingoloom/cli/run_in_process.h"
#include "flamingoloom/report/burn_report.h"

namespace flamingoloom::cli {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// Two of four quotes in time, against an objective of 75%.
json Body()
{
  report::PairReport pair;
  pair.mAccount = base::AccountId("acme");
  pair.mKind = base::KindId("quote");
  pair.mObjective = 0.75;
  pair.mTarget = 500ms;
  for (report::History& history : pair.mWindows) {
    history[0] = { 2, 4 };
  }
  report::BurnReport report;
  report.mPairs = { pair };
  report.mInstances = { { "i1", 90s } };
  report.mMissing = { { "i2", "no answer within 1 s" } };
  return { { "burn", report::ReportToJson(report) } };
}

} // namespace

// Guards against figures under the wrong heading, and against a report that
// hides missing instances or the lost history.
TEST_CASE("burn prints rates, sources and what is missing")
{
  FakeInstance instance;
  instance.AddResponse(200, Body());
  auto result = RunWithServers({ instance.Address() }, { "burn" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.OutHas(
    "account  kind   objective  burn 5m  burn 1h  burn 6h  burn 3d  "
    "budget left  in time 3d  ended 3d\n"
    "acme     quote  75%        2.00     2.00     2.00     2.00     "
    "-100.0%      2           4\n"));
  CHECK(result.OutHas("counted by i1 since 2"));
  CHECK(result.OutHas("missing: i2: no answer within 1 s\n"));
  CHECK(result.OutHas(report::kHistoryNote));
}

// Guards against a page that is not written, or JSON that is mixed with text.
TEST_CASE("burn writes the page beside any other output")
{
  for (bool isJson : { false, true }) {
    FakeInstance instance;
    instance.AddResponse(200, Body());
    ScratchFolder folder;
    std::string path = folder.Path("burn.html");
    std::vector<std::string> line{ "burn", "--html", path };
    if (isJson) {
      line.emplace_back("--json");
    }
    auto result = RunWithServers({ instance.Address() }, line);
    CHECK(result.mCode == ExitCode::eDone);
    CHECK(json::accept(result.mOut) == isJson);
    auto page = ReadFile(path);
    REQUIRE(page);
    CHECK(page->find("<svg") != std::string::npos);
    CHECK(page->find("acme") != std::string::npos);
  }
}

// Guards against success without a page.
TEST_CASE("burn fails when the page cannot be made")
{
  ScratchFolder folder;
  FakeInstance instance;
  instance.AddResponse(200, Body());
  auto noFolder =
    RunWithServers({ instance.Address() },
                   { "burn", "--html", folder.Path("absent/burn.html") });
  CHECK(noFolder.mCode != ExitCode::eDone);
  FakeInstance other;
  other.AddResponse(200, { { "rows", json::array() } });
  auto noReport = RunWithServers(
    { other.Address() }, { "burn", "--html", folder.Path("burn.html") });
  CHECK(noReport.mCode != ExitCode::eDone);
}

} // namespace flamingoloom::cli
