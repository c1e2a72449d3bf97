#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "flamingoloom/cli/run_in_process.h"

namespace flamingoloom::cli {
namespace {

using nlohmann::json;
using Line = std::vector<std::string>;

const std::vector<Line> kCommands = {
  { "questionnaire" },
  { "config", "show" },
  { "config", "diff" },
  { "config", "history" },
  { "config", "apply" },
  { "submit" },
  { "status" },
  { "wait" },
  { "cancel" },
  { "jobs" },
  { "servers" },
  { "instances" },
  { "capacity" },
  { "burn" },
  { "data-centre", "out" },
  { "data-centre", "in" },
  { "data-centre", "status" },
  { "check" },
  { "trace" },
};

constexpr char kSettings[] = R"({
  "instance": {"id": "i1", "dataCentre": "dc-1", "region": "r1"},
  "listen": {"httpAddress": "127.0.0.1:1", "peerAddress": "127.0.0.1:2"},
  "platform": {"address": "127.0.0.1:3"}
})";

} // namespace

// Guards against a subcommand whose help is missing or has no example.
TEST_CASE("each subcommand has help with an example")
{
  for (auto line : kCommands) {
    std::string example = "Example:\n  flamingoloom";
    for (const auto& word : line) {
      example += " " + word;
    }
    line.emplace_back("--help");
    auto result = RunCommandLine(line);
    CHECK(result.mCode == ExitCode::eDone);
    CHECK(result.OutHas(example));
    CHECK(result.mErr.empty());
  }
}

// Guards against exit codes that scripts depend on but the help does not list.
TEST_CASE("the program's help has an example and the exit codes")
{
  for (const Line& line : { Line{ "--help" }, Line{ "config", "--help" } }) {
    auto result = RunCommandLine(line);
    CHECK(result.mCode == ExitCode::eDone);
    CHECK(result.OutHas("Example:"));
  }
  CHECK(RunCommandLine({ "--help" }).OutHas(" 10  not finished yet"));
}

// Guards against a misspelt command line that runs with another meaning than
// the operator intended.
TEST_CASE("invalid command lines are rejected")
{
  for (const Line& line : std::vector<Line>{
         {},
         { "config" },
         { "cofnig", "show" },
         { "config", "apply" },
         { "submit", "--account", "a" },
         { "status", "a" },
         { "status", "a", "b", "c" },
         { "wait", "a", "b", "--timeout", "soon" },
         { "config", "apply", "c.json", "--expected-version", "-1" },
         { "config", "apply", "c.json", "--expected-version", "1x" },
         { "jobs", "--unknown" } }) {
    auto result =
      RunCommandLine(line, { { "FLAMINGOLOOM_SERVER", "127.0.0.1:1" } });
    CHECK(result.mCode == ExitCode::eUsage);
    CHECK(!result.mErr.empty());
  }
}

// Guards against a command that connects to a default address, and against a
// malformed address that is not reported.
TEST_CASE("an instance address is required and validated")
{
  auto none = RunCommandLine({ "jobs" });
  CHECK(none.mCode == ExitCode::eInvalid);
  CHECK(none.ErrHas("FLAMINGOLOOM_SERVER"));
  auto wrong = RunCommandLine({ "jobs", "--server", "localhost" });
  CHECK(wrong.mCode == ExitCode::eInvalid);
  CHECK(wrong.ErrHas("192.0.2.1:8080"));
  auto listed = RunCommandLine(
    { "jobs" }, { { "FLAMINGOLOOM_SERVER", "127.0.0.1:1,bad" } });
  CHECK(listed.ErrHas("bad"));
}

// Guards against a check that passes settings which the daemon rejects, or
// prints settings without the defaults that the daemon uses.
TEST_CASE("check accepts a valid settings file and prints its defaults")
{
  ScratchFolder folder;
  auto file = folder.Write("settings.json", kSettings);
  CHECK(RunCommandLine({ "check", file }).mOut == file + " is valid\n");
  auto printed = json::parse(RunCommandLine({ "check", file, "--json" }).mOut);
  CHECK(printed["ownership"]["leaseMs"] == 4000);
}

// Guards against a check that stops at the first problem, so that the operator
// has to run it once for each.
TEST_CASE("check lists all problems of a settings file")
{
  ScratchFolder folder;
  auto settings = json::parse(kSettings);
  settings["instance"].erase("id");
  settings["logs"] = { { "level", "loud" } };
  auto file = folder.Write("settings.json", settings.dump());
  auto result = RunCommandLine({ "check", file });
  CHECK(result.mCode == ExitCode::eInvalid);
  CHECK(result.ErrHas("/instance/id"));
  CHECK(result.ErrHas("/logs/level"));
  CHECK(RunCommandLine({ "check", folder.Path("none") }).mCode ==
        ExitCode::eInvalid);
}

} // namespace flamingoloom::cli
