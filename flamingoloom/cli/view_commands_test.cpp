#include <doctest/doctest.h>

#include "flamingoloom/cli/fake_instance.h"
#include "flamingoloom/cli/run_in_process.h"

namespace flamingoloom::cli {
namespace {

using nlohmann::json;

const std::vector<std::string> kViews = { "jobs",
                                          "servers",
                                          "instances",
                                          "capacity",
                                          "burn" };

} // namespace

// Guards against a listing that omits rows or columns.
TEST_CASE("each view prints a table or the JSON")
{
  const json body = { { "rows",
                        { { { "id", "s1" }, { "state", "live" } },
                          { { "id", "Þórshöfn" }, { "free", 3 } } } } };
  for (const auto& view : kViews) {
    FakeInstance instance;
    instance.AddResponse(200, body);
    auto table = RunWithServers({ instance.Address() }, { view });
    CHECK(table.mCode == ExitCode::eDone);
    CHECK(table.OutHas("s1"));
    CHECK(table.OutHas("Þórshöfn"));
    CHECK(instance.Requests().at(0).mPath == "/v1/" + view);
    auto asJson = RunWithServers({ instance.Address() }, { view, "--json" });
    CHECK(json::parse(asJson.mOut) == body);
  }
}

// Guards against misaligned columns when widths are counted in bytes and names
// are not ASCII.
TEST_CASE("columns align for text that is not ASCII")
{
  FakeInstance instance;
  instance.AddResponse(200,
                       json::array({ { { "id", "Þór" }, { "state", "live" } },
                                     { { "id", "s" }, { "free", 3 } } }));
  auto result = RunWithServers({ instance.Address() }, { "servers" });
  CHECK(result.mOut == "id   state  free\n"
                       "Þór  live   -\n"
                       "s    -      3\n");
}

// Guards against one long cell that makes the whole table unreadable.
TEST_CASE("long lists are printed as a number of entries")
{
  FakeInstance instance;
  instance.AddResponse(
    200,
    json::array({ { { "a", json::array() },
                    { "b", { "s1", "s2" } },
                    { "c", { 1, 2, 3, 4, 5 } },
                    { "d", json::array({ { { "first", 1 } } }) } } }));
  auto result = RunWithServers({ instance.Address() }, { "capacity" });
  CHECK(result.mOut == "a  b      c          d\n"
                       "-  s1,s2  5 entries  1 entry\n");
}

// Guards against an empty listing that looks like a failure, and against a
// crash when the body is not an array of objects.
TEST_CASE("views print JSON of any form")
{
  for (const auto& [body, text] : std::vector<std::pair<json, std::string>>{
         { json::array(), "none\n" },
         { { { "jobs", json::array() } }, "none\n" },
         { json::array({ "a", 1 }), "a\n1\n" },
         { { { "free", 7 } }, "free\n7\n" },
         { json::array({ { { "x", true } }, 3 }), "x\nyes\n-\n" } }) {
    FakeInstance instance;
    instance.AddResponse(200, body);
    CHECK(RunWithServers({ instance.Address() }, { "jobs" }).mOut == text);
  }
}

// Guards against an error that is printed as if it were the listing.
TEST_CASE("each view reports an error response")
{
  for (const auto& view : kViews) {
    FakeInstance instance;
    instance.AddResponse(
      403,
      { { "error",
          { { "code", "denied" }, { "message", "operators only" } } } });
    auto result = RunWithServers({ instance.Address() }, { view });
    CHECK(result.mCode == ExitCode::eDenied);
    CHECK(result.mOut.empty());
    CHECK(result.ErrHas("operators only"));
    CHECK(result.ErrHas("next: set FLAMINGOLOOM_KEY"));
  }
}

} // namespace flamingoloom::cli
