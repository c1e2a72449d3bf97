#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <doctest/doctest.h>

#include "testing/fakes/dummy_instance.h"
#include "testing/fakes/fake_ports.h"
#include "testing/scenario/generator.h"
#include "testing/scenario/runner.h"

namespace flamingoloom::testing::scenario {
namespace {

using fakes::EventKind;

RunResult RunDummy(const std::string& aText,
                   std::uint64_t aSeed = 1,
                   bool aPeersPassConfiguration = false,
                   fakes::DummyFault aFault = fakes::DummyFault::eNone)
{
  auto first = ParseScript(aText);
  REQUIRE_MESSAGE(first, first.error().ToString());
  auto script = ParseScript(aText, first->mSweepFrom);
  RunOptions options;
  options.mSeed = aSeed;
  options.mFactory =
    fakes::FactoryOf<fakes::DummyInstance<fakes::FakePorts>>(aFault);
  options.mPeersPassConfiguration = aPeersPassConfiguration;
  return RunScript(*script, options);
}

std::string ReadScript(const std::string& aName)
{
  std::ostringstream text;
  text << std::ifstream(std::string(SCENARIO_FOLDER) + "/" + aName).rdbuf();
  return text.str();
}

std::string ViolatedRules(const RunResult& aResult)
{
  std::set<std::string> rules;
  for (const fakes::Violation& violation : aResult.mViolations) {
    rules.insert(violation.mRule);
  }
  std::string text;
  for (const std::string& rule : rules) {
    text += (text.empty() ? "" : " ") + rule;
  }
  return text;
}

std::ptrdiff_t Count(const RunResult& aResult, EventKind aKind)
{
  return std::ranges::count(
    aResult.mHistory.mEvents, aKind, &fakes::Event::mKind);
}

TEST_CASE("a line becomes an action")
{
  auto script = ParseScript("# comment\n"
                            "\n"
                            "at 1500ms freeze a1 --before-start\n"
                            "at 1s submit invoice --key k --at a1 "
                            "--again-at b1 c1 --starts-within 2s  # comment\n"
                            "at 2s cut north south\n"
                            "at 3s expect request paper/k finished failed\n");
  REQUIRE_MESSAGE(script, script.error().ToString());
  REQUIRE(script->mActions.size() == 4);
  const Action& submit = script->mActions[0];
  CHECK(submit.mVerb == "submit");
  CHECK(submit.mRepeatedAt == std::vector<std::string>{ "b1", "c1" });
  CHECK(submit.mStartsWithin == std::chrono::seconds(2));
  CHECK(submit.mWait == std::chrono::seconds(2));
  const Action& freeze = script->mActions[1];
  CHECK(freeze.mAt == std::chrono::milliseconds(1500));
  CHECK(freeze.mFlag);
  // The options of an earlier line must not apply to a later one.
  CHECK_FALSE(freeze.mStartsWithin);
  CHECK(freeze.mInstance.empty());
  CHECK(script->mActions[2].mNames.size() == 2);
  CHECK(script->mActions[3].mNames.size() == 4);
}

TEST_CASE("an error in a script is reported with its line number")
{
  for (const char* line : { "at 1 kill a1",
                            "at 1s kill",
                            "at 1s kill a1 a2",
                            "at 1s unknown a1",
                            "kill a1",
                            "at 1s store down --probability 7",
                            "at 1s submit invoice" }) {
    auto script = ParseScript(std::string("\n") + line);
    REQUIRE_FALSE(script);
    CHECK(script.error().mMessage.starts_with("line 2"));
  }
}

TEST_CASE("the value of a sweep replaces %n")
{
  std::string text = "sweep 3 5\nat 1s kill a1 --at-message %n\n";
  CHECK(ParseScript(text)->mSweepTo == 5);
  CHECK(ParseScript(text, 4)->mActions[0].mCount == 4);
}

// The dummy instance is correct without faults, so a violation here means that
// the runner or the checker is wrong.
TEST_CASE("a run without faults has no violation")
{
  RunResult result = RunDummy("at 3s submit quote --key q --at a1\n"
                              "at 3s submit invoice --key i --at b1\n"
                              "at 3s submit booking --key b --account lustre\n"
                              "at 4s take-out c\n"
                              "at 5s put-config --at b1\n"
                              "at 5s stop a1\n"
                              "at 6s bring-back c\n"
                              "at 20s expect request paper/i finished\n"
                              "at 20s expect in c\n"
                              "at 20s expect config\n"
                              "at 20s end\n");
  CHECK(DescribeViolations(result).empty());
  CHECK(Count(result, EventKind::eStopEnded) == 1);
  CHECK(Count(result, EventKind::eTakeOutAcknowledged) == 1);
  CHECK(Count(result, EventKind::eConfigAccepted) == 2);
  CHECK(Count(result, EventKind::eTaskStarted) == 3);
}

TEST_CASE("an expectation that does not hold is a violation")
{
  for (const char* line : { "request paper/i failed",
                            "request paper/none finished",
                            "out a",
                            "in c",
                            "nonsense" }) {
    RunResult result =
      RunDummy(std::string("at 3s submit invoice --key i\nat 4s take-out c\n") +
               "at 10s expect " + line);
    CHECK(ViolatedRules(result) == "expect");
  }
}

// Guards against a scenario that passes because a misspelled name made its
// fault ineffective.
TEST_CASE("an action on an unknown name is a violation")
{
  for (const char* line : { "kill a9",
                            "start a1",
                            "thaw x1",
                            "cut a1 stone",
                            "store broken",
                            "leave-server a1",
                            "submit quote --key q --at a9",
                            "put-config --at a9" }) {
    CAPTURE(line);
    RunResult result = RunDummy(std::string("at 3s ") + line + "\nat 9s end");
    CHECK(ViolatedRules(result) == "expect");
  }
}

// Without the retry, scenarios would not detect that an instance that crashed
// made work start twice.
TEST_CASE("a caller whose instance crashes retries at another instance")
{
  RunResult result = RunDummy("at 3s submit match --key m --at a1\n"
                              "at 3100ms kill a1\n"
                              "at 40s expect request paper/m finished\n");
  CHECK(ViolatedRules(result).empty());
  CHECK(Count(result, EventKind::eCallerDisconnected) == 1);
  CHECK(Count(result, EventKind::eTaskStarted) == 2);
}

TEST_CASE("one of two concurrent changes by operators is refused")
{
  RunResult result = RunDummy("at 4s take-out a --operator o1 --at a1\n"
                              "at 4s take-out a --operator o2 --at b1\n"
                              "at 9s end\n");
  CHECK(Count(result, EventKind::eTakeOutRequested) == 2);
  CHECK(Count(result, EventKind::eTakeOutAcknowledged) == 1);
  CHECK(Count(result, EventKind::eTakeOutRefused) == 1);
}

// Guards against a P9 violation while an instance cannot read the new version.
// If peers are expected to pass on configurations, the version is reachable.
TEST_CASE("P9 counts only time in which the version is reachable")
{
  std::string text = "at 3s cut b1 store\n"
                     "at 4s put-config --at a1\n"
                     "at 20s heal\n"
                     "at 28s expect config\n";
  CHECK(ViolatedRules(RunDummy(text, 1, false)).empty());
  CHECK(ViolatedRules(RunDummy(text, 1, true)) == "P9");
}

TEST_CASE("owner:a refers to the same instance for the whole run")
{
  RunResult result = RunDummy("at 3s kill owner:a\n"
                              "at 4s kill other:a\n"
                              "at 9s end\n");
  CHECK(Count(result, EventKind::eInstanceEnded) == 2);
}

// The dummy instance has none of the mechanisms that protect the properties. A
// scenario in which it violates nothing no longer tests its property.
TEST_CASE("the dummy instance violates the property of each scenario")
{
  struct ExpectedViolation
  {
    const char* mFile;
    const char* mRule;
    fakes::DummyFault mFault = fakes::DummyFault::eNone;
    std::uint64_t mSeed = 1;
  };
  using enum fakes::DummyFault;
  for (const ExpectedViolation& entry :
       std::initializer_list<ExpectedViolation>{
         { "gang_server_killed.scn", "P2" },
         { "take_out_owner_cut_off.scn", "P3" },
         { "take_out_region_cut.scn", "P3" },
         { "owner_frozen_before_start.scn", "P3" },
         { "operators_race.scn", "P3" },
         { "crossed_answers.scn", "P4" },
         { "server_killed.scn", "P5", eRefusesUnknown },
         { "duplicate_through_other_instance.scn", "P6" },
         { "owner_frozen_in_service.scn", "P6" },
         { "killed_between_steps.scn", "P6" },
         { "lost_answers.scn", "P6" },
         { "leave_server.scn", "P7", eUsesDrainingServers },
         { "planned_stop.scn", "P8", eStopsAtOnce },
         { "configuration_stale_read.scn", "P9", eNone, 3 },
         { "broken_servers.scn", "expect" } }) {
    std::string rules = ViolatedRules(
      RunDummy(ReadScript(entry.mFile), entry.mSeed, false, entry.mFault));
    CAPTURE(entry.mFile);
    CAPTURE(rules);
    CHECK(rules.find(entry.mRule) != std::string::npos);
  }
}

TEST_CASE("a request that does not start within its bound is a violation")
{
  std::string text = "at 3s freeze a1\n"
                     "at 3s submit booking --key b --at a1 --starts-within 1s\n"
                     "at 3500ms thaw a1\n"
                     "at 9s end\n";
  CHECK(ViolatedRules(RunDummy(text)).empty());
  text.replace(text.find("3500ms"), 6, "5000ms");
  CHECK(ViolatedRules(RunDummy(text)) == "P1");
}

TEST_CASE("every scenario file can be parsed and runs")
{
  int files = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator(SCENARIO_FOLDER)) {
    if (entry.path().extension() == ".scn") {
      CAPTURE(entry.path());
      ++files;
      RunResult result = RunDummy(ReadScript(entry.path().filename()));
      for (const fakes::Violation& violation : result.mViolations) {
        CHECK(violation.mText.find("unknown expectation") == std::string::npos);
        CHECK(violation.mText.find("has an effect") == std::string::npos);
      }
    }
  }
  CHECK(files >= 20);
}

TEST_CASE("a random schedule depends on its seed only")
{
  CHECK(GenerateScript(7) == GenerateScript(7));
  CHECK(GenerateScript(7) != GenerateScript(8));
  std::string text = GenerateScript(7);
  CHECK(DescribeEvents(RunDummy(text, 7), "") ==
        DescribeEvents(RunDummy(text, 7), ""));
}

TEST_CASE("random schedules can be parsed and contain every fault")
{
  std::set<std::string> verbs;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    auto script = ParseScript(GenerateScript(seed));
    REQUIRE_MESSAGE(script, script.error().ToString());
    for (const Action& action : script->mActions) {
      verbs.insert(action.mVerb);
    }
    CHECK(script->mActions.back().mVerb == "end");
  }
  for (const char* verb : { "kill",
                            "start",
                            "freeze",
                            "thaw",
                            "cut",
                            "heal",
                            "store",
                            "take-out",
                            "bring-back",
                            "submit",
                            "cancel",
                            "stop",
                            "leave-server",
                            "kill-server",
                            "break-server",
                            "repair-server",
                            "mix-answers",
                            "put-config",
                            "expect" }) {
    CAPTURE(verb);
    CHECK(verbs.contains(verb));
  }
}

} // namespace
} // namespace flamingoloom::testing::scenario
