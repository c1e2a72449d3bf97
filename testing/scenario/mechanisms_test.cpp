// Switches off one mechanism at a time and shows that the check of the
// property that it carries then fails, on the same schedules on which the
// whole product passes. Guards against checks that can never fail.
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

constexpr std::uint64_t kMostSeeds = 300;
constexpr int kMostSweeps = 60;

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

// The first random schedule on which the property breaks without the
// mechanism, and holds with it.
void CheckOnRandomSchedules(bool Mechanisms::*aMechanism,
                            const std::string& aRule)
{
  Mechanisms without;
  without.*aMechanism = false;
  for (std::uint64_t seed = 1; seed <= kMostSeeds; ++seed) {
    std::string text = GenerateScript(seed);
    if (Violates(text, 0, seed, without, aRule)) {
      MESSAGE(aRule << " breaks at seed " << seed);
      CHECK_FALSE(Violates(text, 0, seed, Mechanisms{}, aRule));
      return;
    }
  }
  FAIL("no schedule breaks " << aRule);
}

void CheckOnScenario(bool Mechanisms::*aMechanism,
                     const std::string& aRule,
                     const std::string& aScenario)
{
  Mechanisms without;
  without.*aMechanism = false;
  std::string text = ReadScenario(aScenario);
  for (int sweep = 0; sweep <= kMostSweeps; ++sweep) {
    if (Violates(text, sweep, 1, without, aRule)) {
      MESSAGE(aRule << " breaks in " << aScenario << " at sweep " << sweep);
      CHECK_FALSE(Violates(text, sweep, 1, Mechanisms{}, aRule));
      return;
    }
  }
  FAIL(aScenario << " does not break " << aRule);
}

} // namespace

TEST_CASE("P2 needs gangs that are prepared before they start")
{
  CheckOnRandomSchedules(&Mechanisms::mPrepareGangs, "P2");
}

TEST_CASE("P2 needs the rest of a gang to be stopped with a lost task")
{
  CheckOnScenario(&Mechanisms::mStopPartialGangs, "P2", "gang_task_lost");
}

TEST_CASE("P3 needs fences")
{
  CheckOnScenario(&Mechanisms::mFence, "P3", "owner_frozen_before_start");
}

TEST_CASE("P4 needs answers that are verified")
{
  CheckOnScenario(&Mechanisms::mVerifyAnswers, "P4", "crossed_answers");
}

TEST_CASE("P5 needs refusals that are written before they are said")
{
  CheckOnRandomSchedules(&Mechanisms::mPersistRefusals, "P5");
}

TEST_CASE("P6 needs the intent to be written before anything is sent")
{
  CheckOnScenario(
    &Mechanisms::mPersistBeforeDispatch, "P6", "killed_between_steps");
}

TEST_CASE("P6 needs lost outcomes never to be repeated")
{
  CheckOnRandomSchedules(&Mechanisms::mNoRetryOnUnknownOutcome, "P6");
}

TEST_CASE("P7 needs leaving servers to be left alone")
{
  CheckOnRandomSchedules(&Mechanisms::mExcludeDrainingServers, "P7");
}

TEST_CASE("P8 needs a planned stop that waits for requests in progress")
{
  CheckOnRandomSchedules(&Mechanisms::mGracefulStop, "P8");
}

TEST_CASE("P9 needs older configurations to be ignored")
{
  CheckOnScenario(
    &Mechanisms::mKeepNewestConfig, "P9", "configuration_stale_read");
}

} // namespace flamingoloom::testing::scenario
