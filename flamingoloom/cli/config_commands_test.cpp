#include <doctest/doctest.h>

#include "flamingoloom/cli/fake_instance.h"
#include "flamingoloom/cli/run_in_process.h"
#include "flamingoloom/config/configuration_json.h"
#include "flamingoloom/config/example_answers.h"
#include "flamingoloom/config/generate.h"

namespace flamingoloom::cli {
namespace {

using config::Configuration;
using nlohmann::json;

Configuration Example(std::uint64_t aVersion = 0)
{
  auto configuration = config::Generate(
    config::ExampleAnswers(), "test", placement::PlanGuarantees);
  configuration->mVersion = aVersion;
  return *configuration;
}

Configuration Changed()
{
  auto changed = Example();
  changed.mAccounts[0].mWeight = 5;
  return changed;
}

json Error(const std::string& aCode)
{
  return { { "error", { { "code", aCode }, { "message", "because" } } } };
}

RunResult ApplyAtTerminal(const FakeInstance& aInstance,
                          const std::string& aFile,
                          const std::string& aInput)
{
  return RunAtTerminal(
    { "config", "apply", aFile, "--server", aInstance.Address() }, aInput);
}

} // namespace

// Guards against printed values that differ from the active configuration, in
// either form of the response.
TEST_CASE("config show prints sentences or the JSON document")
{
  for (const json& body :
       { config::ToJson(Example(4)),
         json{ { "configuration", config::ToJson(Example(4)) } } }) {
    FakeInstance instance;
    instance.AddResponse(200, body);
    auto text = RunWithServers({ instance.Address() }, { "config", "show" });
    CHECK(text.mCode == ExitCode::eDone);
    CHECK(text.OutHas("version 4"));
    CHECK(text.OutHas("invoice: runs at most once"));
    auto document =
      RunWithServers({ instance.Address() }, { "config", "show", "--json" });
    CHECK(config::ConfigurationFromText(document.mOut, "test") == Example(4));
  }
}

// Guards against an invalid response that is printed as the configuration.
TEST_CASE("config show rejects a response that is not a configuration")
{
  FakeInstance instance;
  instance.AddResponse(200, { { "version", 4 } });
  CHECK(RunWithServers({ instance.Address() }, { "config", "show" }).mCode ==
        ExitCode::eUnknown);
}

// Guards against a comparison in the wrong direction, which prints the old
// value as the new one.
TEST_CASE("config diff shows what the file would change")
{
  ScratchFolder folder;
  auto file = folder.Write("c.json", config::ToText(Changed()));
  FakeInstance instance;
  instance.AddResponse(200, config::ToJson(Example(4)));
  auto result =
    RunWithServers({ instance.Address() }, { "config", "diff", file });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.mOut == "1 change against version 4:\n"
                       "client account large: share is now 5 (was 3).\n");
}

// Guards against a file that is sent to an instance without having been
// validated.
TEST_CASE("config diff and apply reject an invalid file before sending")
{
  ScratchFolder folder;
  FakeInstance instance;
  instance.AddResponse(200, config::ToJson(Example(4)));
  for (const auto& file : { folder.Write("wrong.json", "{\"version\":-1}"),
                            folder.Path("missing.json") }) {
    for (const char* verb : { "diff", "apply" }) {
      auto result =
        RunWithServers({ instance.Address() }, { "config", verb, file });
      CHECK(result.mCode == ExitCode::eInvalid);
      CHECK(result.ErrHas(file));
    }
  }
  CHECK(instance.Requests().empty());
}

// Guards against an empty list from an instance that keeps no history, which
// would look as if there had been no earlier version.
TEST_CASE("config history lists versions, or reports that none are kept")
{
  FakeInstance instance;
  instance.AddResponse(
    200,
    { { "versions", { { { "version", 3 }, { "operator", "sigrun" } } } } });
  auto result = RunWithServers({ instance.Address() }, { "config", "history" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.mOut == "version  operator\n3        sigrun\n");
  FakeInstance without;
  without.AddResponse(404, Error("not_found"));
  auto refused = RunWithServers({ without.Address() }, { "config", "history" });
  CHECK(refused.mCode == ExitCode::eNotFound);
  CHECK(refused.ErrHas("keeps no earlier versions"));
}

// Guards against an operator who replaces a version that was not shown to the
// operator (P9).
TEST_CASE("config apply sends the version that the operator saw")
{
  ScratchFolder folder;
  auto file = folder.Write("c.json", config::ToText(Changed()));
  FakeInstance instance;
  instance.AddResponse(200, { { "version", 5 } });
  auto result =
    RunWithServers({ instance.Address() },
                   { "config", "apply", file, "--expected-version", "4" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.mOut == "applied as version 5\n");
  REQUIRE(instance.Requests().size() == 1);
  CHECK(instance.Requests()[0].mMethod == "PUT");
  CHECK(json::parse(instance.Requests()[0].mBody) ==
        json{ { "expectedVersion", 4 },
              { "configuration", config::ToJson(Changed()) } });
}

// Guards against a script that replaces whichever version is current: without a
// terminal, nobody can confirm the difference.
TEST_CASE("config apply needs a version or a confirmation at a terminal")
{
  ScratchFolder folder;
  auto file = folder.Write("c.json", config::ToText(Changed()));
  FakeInstance instance;
  instance.AddResponse(200, config::ToJson(Example(4)));
  auto unattended =
    RunWithServers({ instance.Address() }, { "config", "apply", file });
  CHECK(unattended.mCode == ExitCode::eInvalid);
  CHECK(unattended.ErrHas("--expected-version"));
  CHECK(unattended.ErrHas("now 4"));
  auto refused = ApplyAtTerminal(instance, file, "no\n");
  CHECK(refused.mCode == ExitCode::eInvalid);
  CHECK(refused.OutHas("share is now 5"));
  for (const auto& request : instance.Requests()) {
    CHECK(request.mMethod == "GET");
  }
  FakeInstance confirmed;
  confirmed.AddResponse(200, config::ToJson(Example(4)));
  confirmed.AddResponse(200, { { "version", 5 } });
  CHECK(ApplyAtTerminal(confirmed, file, "yes\n").mCode == ExitCode::eDone);
  CHECK(json::parse(confirmed.Requests().at(1).mBody)["expectedVersion"] == 4);
}

// Guards against a first configuration that cannot be applied because there is
// no current one to compare with.
TEST_CASE("config apply replaces version 0 when there is no configuration")
{
  ScratchFolder folder;
  auto file = folder.Write("c.json", config::ToText(Changed()));
  FakeInstance instance;
  instance.AddResponse(200, { { "version", 0 }, { "configuration", nullptr } });
  instance.AddResponse(200, { { "version", 1 } });
  CHECK(ApplyAtTerminal(instance, file, "yes\n").mCode == ExitCode::eDone);
  CHECK(json::parse(instance.Requests().at(1).mBody)["expectedVersion"] == 0);
  FakeInstance without;
  without.AddResponse(404, Error("not_found"));
  without.AddResponse(200, { { "version", 1 } });
  CHECK(ApplyAtTerminal(without, file, "yes\n").mCode == ExitCode::eDone);
  CHECK(json::parse(without.Requests().at(1).mBody)["expectedVersion"] == 0);
}

// Guards against an instance without a configuration whose response is reported
// as malformed.
TEST_CASE("config show reports that there is no configuration yet")
{
  FakeInstance instance;
  instance.AddResponse(200, { { "version", 0 }, { "configuration", nullptr } });
  auto result = RunWithServers({ instance.Address() }, { "config", "show" });
  CHECK(result.mCode == ExitCode::eNotFound);
  CHECK(result.mOut.empty());
}

// Guards against a change that is reported as applied although another
// operator's change came first.
TEST_CASE("config apply reports a conflict")
{
  ScratchFolder folder;
  auto file = folder.Write("c.json", config::ToText(Changed()));
  FakeInstance instance;
  instance.AddResponse(409, Error("conflict"));
  auto result =
    RunWithServers({ instance.Address() },
                   { "config", "apply", file, "--expected-version", "3" });
  CHECK(result.mCode == ExitCode::eConflict);
  CHECK(result.mOut.empty());
}

} // namespace flamingoloom::cli
