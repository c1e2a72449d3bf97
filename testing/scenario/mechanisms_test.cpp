// Disables one mechanism at a time and verifies that the property that depends
// on it is then violated, on schedules that pass with all mechanisms enabled.
// Guards against checks that can never fail.
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include "flamingoloom/control/instance.h"
#include "testing/fakes/fake_ports.h"
#include "testing/scenario/generator.h"
#include "testing/scenario/runner.h"

namespace flamingoloom::testing::scenario {
namespace {

using control::Mechanisms;
using Instance = control::Instance<fakes::FakePorts>;

constexpr std::uint64_t kMaxSeed = 300;
constexpr int kMaxSweepValue = 60;

bool Violates(const std::string& aText,
              int aSweep,
              std::uint64_t aSeed,
              const Mechanisms& aMechanisms,
              const std::string& aRule)
{
  auto script = ParseScript(aText, aSweep);
  REQUIRE(script);
  control::InstanceOptions options;
  options.mMechanisms = aMechanisms;
  RunOptions run;
  run.mSeed = aSeed;
  run.mFactory = fakes::FactoryOf<Instance>(options);
  for (const fakes::Violation& violation :
       RunScript(*script, run).mViolations) {
    if (violation.mRule == aRule) {
      return true;
    }
  }
  return false;
}

std::string ReadScenario(const std::string& aName)
{
  std::ostringstream text;
  text
    << std::ifstream(fmt::format("{}/{}.scn", SCENARIO_FOLDER, aName)).rdbuf();
  return text.str();
}

// Searches the first random schedule that violates aRule without the mechanism,
// and checks that the same schedule satisfies the rule with it.
void CheckOnRandomSchedules(bool Mechanisms::*aMechanism,
                            const std::string& aRule)
{
  Mechanisms without;
  without.*aMechanism = false;
  for (std::uint64_t seed = 1; seed <= kMaxSeed; ++seed) {
    std::string text = GenerateScript(seed);
    if (Violates(text, 0, seed, without, aRule)) {
      MESSAGE(aRule << " breaks at seed " << seed);
      CHECK_FALSE(Violates(text, 0, seed, Mechanisms{}, aRule));
      return;
    }
  }
  FAIL("no schedule breaks " << aRule);
}

// Does the same with the sweep values of a scenario file.
void CheckOnScenario(bool Mechanisms::*aMechanism,
                     const std::string& aRule,
                     const std::string& aScenario)
{
  Mechanisms without;
  without.*aMechanism = false;
  std::string text = ReadScenario(aScenario);
  for (int sweep = 0; sweep <= kMaxSweepValue; ++sweep) {
    if (Violates(text, sweep, 1, without, aRule)) {
      MESSAGE(aRule << " breaks in " << aScenario << " at sweep " << sweep);
      CHECK_FALSE(Violates(text, sweep, 1, Mechanisms{}, aRule));
      return;
    }
  }
  FAIL(aScenario << " does not break " << aRule);
}

} // namespace

TEST_CASE("P2 fails unless gangs are prepared before they start")
{
  CheckOnRandomSchedules(&Mechanisms::mPrepareGangs, "P2");
}

TEST_CASE("P2 fails unless a gang stops when one of its tasks is lost")
{
  CheckOnScenario(&Mechanisms::mStopPartialGangs, "P2", "gang_task_lost");
}

TEST_CASE("P3 fails unless servers are fenced")
{
  CheckOnScenario(&Mechanisms::mFence, "P3", "owner_frozen_before_start");
}

TEST_CASE("P4 fails unless answers are verified")
{
  CheckOnScenario(&Mechanisms::mVerifyAnswers, "P4", "crossed_answers");
}

TEST_CASE("P5 fails unless a refusal is stored before it is reported")
{
  CheckOnRandomSchedules(&Mechanisms::mPersistRefusals, "P5");
}

TEST_CASE("P6 fails unless the assignment is stored before dispatch")
{
  CheckOnScenario(
    &Mechanisms::mPersistBeforeDispatch, "P6", "killed_between_steps");
}

TEST_CASE("P6 fails if a request with an unknown outcome is retried")
{
  CheckOnRandomSchedules(&Mechanisms::mNoRetryOnUnknownOutcome, "P6");
}

TEST_CASE("P7 fails unless draining servers are excluded")
{
  CheckOnRandomSchedules(&Mechanisms::mExcludeDrainingServers, "P7");
}

TEST_CASE("P8 fails unless a planned stop waits for requests in progress")
{
  CheckOnRandomSchedules(&Mechanisms::mGracefulStop, "P8");
}

TEST_CASE("P9 fails unless older configurations are ignored")
{
  CheckOnScenario(
    &Mechanisms::mKeepNewestConfig, "P9", "configuration_stale_read");
}

} // namespace flamingoloom::testing::scenario
