#include <doctest/doctest.h>

#include "flamingoloom/cli/fake_instance.h"
#include "flamingoloom/cli/files.h"
#include "flamingoloom/cli/run_in_process.h"
#include "flamingoloom/report/burn_report.h"

namespace flamingoloom::cli {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// A report with two of four quotes in time and an objective of 75%, so that the
// burn rate is 2.
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

// Guards against figures in the wrong column, and against a report that does
// not name the missing instances or say that the history is lost at a restart.
TEST_CASE("burn prints rates, counting instances and missing instances")
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

// Guards against an HTML page that is not written, and against JSON output that
// is mixed with text.
TEST_CASE("burn writes the HTML page in addition to text or JSON")
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

// Guards against an exit code of success when no page was written, because the
// folder does not exist or the response holds no report.
TEST_CASE("burn fails when the HTML page cannot be generated or written")
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
