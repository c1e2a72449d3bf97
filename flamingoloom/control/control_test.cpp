// Paths of requests and operators' changes through several instances, on the
// fakes under the virtual clock.
#include "flamingoloom/control/instance.h"

#include <optional>

#include <doctest/doctest.h>

#include "testing/fakes/checker.h"
#include "testing/fakes/fake_ports.h"
#include "testing/fakes/simulated_cluster.h"

namespace flamingoloom::control {
namespace {

using namespace std::chrono_literals;
using testing::fakes::EventKind;
using testing::fakes::FactoryOf;
using testing::fakes::FakePorts;
using testing::fakes::InstanceApi;
using testing::fakes::SimulatedCluster;

using TestInstance = Instance<FakePorts>;
static_assert(platform::Ports<FakePorts>);
static_assert(testing::fakes::SystemUnderTest<TestInstance>);

config::JobKind Quote()
{
  config::JobKind kind;
  kind.mId = base::KindId("quote");
  kind.mIdempotent = true;
  kind.mDurable = false;
  kind.mPreemptible = true;
  kind.mTarget = 500ms;
  kind.mDeadline = 2s;
  kind.mDeclaredRunTime = 50ms;
  return kind;
}

config::JobKind Render()
{
  config::JobKind kind;
  kind.mId = base::KindId("render");
  kind.mIdempotent = true;
  kind.mCheckpointable = true;
  kind.mPreemptible = true;
  kind.mDeclaredRunTime = 2s;
  kind.mTasks = 2;
  kind.mAcceleratorsPerTask = 8;
  kind.mAdjacent = true;
  return kind;
}

config::JobKind Invoice()
{
  config::JobKind kind;
  kind.mId = base::KindId("invoice");
  kind.mDeclaredRunTime = 1s;
  return kind;
}

config::Configuration MakeConfiguration()
{
  config::Configuration configuration;
  configuration.mDeployment = "test";
  for (const char* name : { "a", "b", "c" }) {
    base::RegionId region(name == std::string("c") ? "south" : "north");
    configuration.mDataCentres.push_back(
      { base::DataCentreId(name), region, 1, 4, 8 });
  }
  configuration.mAccounts = { { base::AccountId("acme"), 1, {}, "" } };
  configuration.mKinds = { Quote(), Render(), Invoice() };
  return configuration;
}

testing::fakes::SimulationOptions MakeWorldOptions(
  const InstanceOptions& aOptions)
{
  testing::fakes::SimulationOptions options;
  options.mDataCentres = MakeConfiguration().mDataCentres;
  options.mFactory = FactoryOf<TestInstance>(aOptions);
  options.mRunTime = [](const platform::TaskStart& aStart) {
    return aStart.mKind.Value() == "quote" ? base::Duration(50ms)
                                           : base::Duration(1s);
  };
  return options;
}

// Three data centres with two instances and four backend servers each, and a
// configuration in force.
struct Fixture
{
  explicit Fixture(const InstanceOptions& aOptions = {})
    : mCluster(MakeWorldOptions(aOptions))
  {
    mCluster.Log().mKinds = MakeConfiguration().mKinds;
    for (const char* centre : { "a", "b", "c" }) {
      for (int i = 1; i <= 4; ++i) {
        mCluster.AddServer(fmt::format("{}-s{}", centre, i));
      }
      for (int i = 1; i <= 2; ++i) {
        mCluster.StartInstance(fmt::format("{}{}", centre, i));
      }
    }
    Run(2s);
    At("a1").PutConfiguration(0, MakeConfiguration(), [](const auto& aResult) {
      CHECK(aResult.has_value());
    });
    Run(8s);
  }

  InstanceApi& At(const std::string& aName)
  {
    return *mCluster.FindInstance(aName)->mInstance;
  }
  void Run(base::Duration aDuration) { mCluster.Clock().RunFor(aDuration); }

  // Sends a request and returns where its answer will be.
  std::shared_ptr<std::optional<base::Expected<CallerAnswer>>> Submit(
    const std::string& aInstance,
    const std::string& aKind,
    const std::string& aKey,
    const std::string& aPayload = "{}")
  {
    auto slot = std::make_shared<std::optional<base::Expected<CallerAnswer>>>();
    At(aInstance).Submit(
      { base::AccountId("acme"), base::KindId(aKind), aKey, aPayload, 20s },
      [slot](const auto& aAnswer) { *slot = aAnswer; });
    return slot;
  }

  int Count(EventKind aKind)
  {
    return static_cast<int>(std::ranges::count(
      mCluster.Log().mEvents, aKind, &testing::fakes::Event::mKind));
  }

  SimulatedCluster mCluster;
};

} // namespace

// Guards against a deployment that never gets ready by itself.
TEST_CASE("a quote is answered by a near server without the store")
{
  Fixture test;
  test.mCluster.SetStore(testing::fakes::StoreMode::eDown);
  auto answer = test.Submit("a1", "quote", "");
  test.Run(200ms);
  REQUIRE(*answer);
  REQUIRE(**answer);
  CHECK((**answer)->mState == RequestState::eFinished);
  CHECK((**answer)->mDataCentre == base::DataCentreId("a"));
}

// Guards against gangs that are not started as a whole.
TEST_CASE("a gang runs on whole servers and gives one answer")
{
  Fixture test;
  auto answer = test.Submit("b1", "render", "r1");
  test.Run(5s);
  REQUIRE(*answer);
  REQUIRE(**answer);
  CHECK((**answer)->mState == RequestState::eFinished);
  CHECK(test.Count(EventKind::eTaskStarted) == 2);
}

// Guards against doubled invoices: the same key through another instance, at
// the same time and afterwards.
TEST_CASE("the same key runs once, whichever instance it arrives at")
{
  Fixture test;
  auto first = test.Submit("a1", "invoice", "i1");
  auto second = test.Submit("c2", "invoice", "i1");
  test.Run(5s);
  auto third = test.Submit("b2", "invoice", "i1");
  auto other = test.Submit("b2", "invoice", "i1", "another body");
  test.Run(1s);
  for (const auto& answer : { first, second, third }) {
    REQUIRE(*answer);
    REQUIRE(**answer);
    CHECK((**answer)->mState == RequestState::eFinished);
  }
  CHECK((**first)->mAnswer == (**third)->mAnswer);
  REQUIRE(*other);
  CHECK((**other).error().mCode == base::ErrorCode::eConflict);
  CHECK(test.Count(EventKind::eTaskStarted) == 1);
}

// Guards against work that is lost with its owner.
TEST_CASE("accepted work survives the death of every instance that saw it")
{
  Fixture test;
  auto answer = test.Submit("a1", "render", "r1");
  test.Run(500ms);
  test.mCluster.Kill("a1");
  test.mCluster.Kill("a2");
  test.mCluster.Kill("b1");
  test.mCluster.Kill("b2");
  test.Run(20s);
  auto again = test.Submit("c1", "render", "r1");
  test.Run(10s);
  REQUIRE(*again);
  REQUIRE(**again);
  CHECK((**again)->mState == RequestState::eFinished);
}

// Guards against starts in a data centre that is out, and against a take-out
// that is never acknowledged.
TEST_CASE("a taken-out data centre gets no work and comes back")
{
  Fixture test;
  std::optional<base::Expected<DataCentreView>> out;
  test.At("c1").ChangeDataCentre(
    { base::DataCentreId("a"), DataCentreState::eOutOfService, "olga", 0 },
    [&](const auto& aView) { out = aView; });
  test.Run(4s);
  REQUIRE(out);
  REQUIRE(*out);
  CHECK((*out)->mAcknowledged);
  auto quote = test.Submit("a1", "quote", "");
  auto render = test.Submit("a2", "render", "r1");
  test.Run(4s);
  REQUIRE(*quote);
  CHECK((**quote)->mDataCentre == base::DataCentreId("b"));
  REQUIRE(*render);
  CHECK((**render)->mDataCentre != base::DataCentreId("a"));

  std::optional<base::Expected<DataCentreView>> in;
  test.At("b1").ChangeDataCentre({ base::DataCentreId("a"),
                                   DataCentreState::eInService,
                                   "olga",
                                   (*out)->mVersion },
                                 [&](const auto& aView) { in = aView; });
  test.Run(4s);
  REQUIRE(in);
  CHECK((*in)->mAcknowledged);
  auto back = test.Submit("a1", "quote", "");
  test.Run(1s);
  CHECK((**back)->mDataCentre == base::DataCentreId("a"));
}

// Guards against the loss of the race being hidden from an operator.
TEST_CASE("of two racing operators one is told who won")
{
  Fixture test;
  std::vector<base::Expected<DataCentreView>> results;
  for (const char* name : { "olga", "pall" }) {
    test.At(name == std::string("olga") ? "a1" : "c1")
      .ChangeDataCentre(
        { base::DataCentreId("b"), DataCentreState::eOutOfService, name, 0 },
        [&](const auto& aView) { results.push_back(aView); });
  }
  test.Run(10s);
  REQUIRE(results.size() == 2);
  CHECK(results[0].has_value() != results[1].has_value());
  const auto& lost = results[0] ? results[1] : results[0];
  CHECK(lost.error().mCode == base::ErrorCode::eConflict);
  CHECK(lost.error().mMessage.find("olga") != std::string::npos);
}

// Guards against requests that are cut by a planned stop, and against a gap
// without an owner after it.
TEST_CASE("a planned stop finishes what is in progress and hands over")
{
  Fixture test;
  auto answer = test.Submit("a1", "invoice", "i1");
  test.Run(100ms);
  test.mCluster.StopInstance("a1");
  test.mCluster.StopInstance("a2");
  test.Run(3s);
  REQUIRE(*answer);
  CHECK((**answer)->mState == RequestState::eFinished);
  test.Run(2s);
  auto next = test.Submit("b1", "quote", "");
  test.Run(1s);
  CHECK((**next)->mState == RequestState::eFinished);
}

// Guards against bad input that is accepted or named wrongly.
TEST_CASE("bad requests name the field at fault")
{
  Fixture test;
  auto unknownKind = test.Submit("a1", "dance", "k");
  auto noKey = test.Submit("a1", "invoice", "");
  test.Run(10ms);
  CHECK((**unknownKind).error().mField == "/kind");
  CHECK((**noKey).error().mField == "Idempotency-Key");
}

// Guards against cancelled work that runs on.
TEST_CASE("cancelled work stops and says so")
{
  Fixture test;
  auto answer = test.Submit("a1", "render", "r1");
  test.Run(500ms);
  std::optional<base::Expected<CallerAnswer>> cancelled;
  test.At("c1").Cancel({ base::AccountId("acme"), "r1" },
                       [&](const auto& aAnswer) { cancelled = aAnswer; });
  test.Run(2s);
  REQUIRE(cancelled);
  REQUIRE(*cancelled);
  CHECK((*cancelled)->mState == RequestState::eCancelled);
  REQUIRE(*answer);
  CHECK((**answer)->mState == RequestState::eCancelled);
}

// Guards against ends that are missing from the burn report, and against
// callers' mistakes and pending requests that are counted as ends.
TEST_CASE("ends of submitted requests are counted for the burn report")
{
  Fixture test;
  test.Submit("a1", "quote", "");
  test.Submit("a1", "quote", "");
  test.Submit("a1", "dance", "k");
  test.At("a1").Submit(
    { base::AccountId("acme"), base::KindId("invoice"), "i1", "{}", 100ms },
    [](const auto&) {});
  test.Run(500ms);
  auto conflict = test.Submit("a1", "invoice", "i1", "[]");
  test.Run(5s);
  REQUIRE(*conflict);
  CHECK((**conflict).error().mCode == base::ErrorCode::eConflict);
  base::Expected<std::string> status;
  test.At("a1").Serve("burn", [&](const auto& aStatus) { status = aStatus; });
  REQUIRE(status);
  auto burn = report::DecodeBurn(*status);
  REQUIRE(burn);
  REQUIRE(burn->mCounts.mPairs.size() == 1);
  const auto& [key, windows] = *burn->mCounts.mPairs.begin();
  CHECK(key.second == base::KindId("quote"));
  CHECK(report::Total(windows[0]) == report::CompletionCounts{ 2, 2 });
  CHECK(burn->mCountingFor >= 15s);
}

} // namespace flamingoloom::control
