// Tests of requests and operators' changes that pass through several instances
// of the simulated cluster, under the virtual clock.
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

testing::fakes::SimulationOptions MakeSimulationOptions(
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

// A cluster of three data centres with two instances and four backend servers
// each, and an active configuration.
struct Fixture
{
  explicit Fixture(const InstanceOptions& aOptions = {})
    : mCluster(MakeSimulationOptions(aOptions))
  {
    mCluster.Log().mKinds = MakeConfiguration().mKinds;
    for (const char* dataCentre : { "a", "b", "c" }) {
      for (int i = 1; i <= 4; ++i) {
        mCluster.AddServer(fmt::format("{}-s{}", dataCentre, i));
      }
      for (int i = 1; i <= 2; ++i) {
        mCluster.StartInstance(fmt::format("{}{}", dataCentre, i));
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

  // Submits a request. The result is empty until the response arrives.
  std::shared_ptr<std::optional<base::Expected<CallerAnswer>>> Submit(
    const std::string& aInstance,
    const std::string& aKind,
    const std::string& aKey,
    const std::string& aPayload = "{}")
  {
    auto result =
      std::make_shared<std::optional<base::Expected<CallerAnswer>>>();
    At(aInstance).Submit(
      { base::AccountId("acme"), base::KindId(aKind), aKey, aPayload, 20s },
      [result](const auto& aAnswer) { *result = aAnswer; });
    return result;
  }

  int Count(EventKind aKind)
  {
    return static_cast<int>(std::ranges::count(
      mCluster.Log().mEvents, aKind, &testing::fakes::Event::mKind));
  }

  SimulatedCluster mCluster;
};

} // namespace

// Guards against a cluster that does not become ready without help after it has
// received a configuration, and against unrecorded requests that depend on the
// store: with the store down, an instance must still hold credits of a near
// server.
TEST_CASE(
  "an unrecorded request finishes on a near server while the store is down")
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

// Guards against gangs of which only some tasks are started, and against more
// than one answer of a gang.
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

// Guards against a request that runs twice because its key arrives at several
// instances, at the same time or after it has finished.
TEST_CASE(
  "requests with the same key run once, whichever instances receive them")
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

// Guards against an accepted request that is lost when the receiving instance
// and the owners of two data centres crash while it runs.
TEST_CASE("an accepted request finishes although the instances of two data "
          "centres crash")
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

// Guards against tasks that are started in a data centre that is out of
// service, against a change that is never acknowledged, and against a data
// centre that gets no work after it has returned to service.
TEST_CASE("a data centre gets no work while it is out of service, and gets "
          "work again after it")
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

// Guards against an instance that lists a version older than the one that it
// has just reported, so that the operator's next change is rejected.
TEST_CASE("an instance lists its own change of a data centre at once")
{
  Fixture test;
  std::uint64_t version = 0;
  // The changes are made at different times within the watch interval.
  for (int i = 0; i < 10; ++i) {
    std::uint64_t changed = 0;
    std::uint64_t listed = 0;
    test.At("c1").ChangeDataCentre(
      { base::DataCentreId("a"), DataCentreState::eInService, "olga", version },
      [&](const auto& aView) {
        REQUIRE(aView);
        changed = aView->mVersion;
        test.At("c1").DataCentres(
          [&](const auto& aViews) { listed = aViews->front().mVersion; });
      });
    test.Run(2100ms);
    CHECK(changed > version);
    CHECK(listed == changed);
    version = changed;
  }
}

// Guards against an operator who is not told that a concurrent change of
// another operator took effect instead.
TEST_CASE("of two concurrent changes of a data centre one is rejected and "
          "names the other operator")
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

// Guards against requests that a graceful shutdown interrupts, and against a
// data centre that has no owner after it.
TEST_CASE("a graceful shutdown finishes the requests in progress and hands "
          "over ownership")
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

// Guards against invalid requests that are accepted, and against errors that
// name the wrong field.
TEST_CASE("errors of invalid requests name the invalid field")
{
  Fixture test;
  auto unknownKind = test.Submit("a1", "dance", "k");
  auto noKey = test.Submit("a1", "invoice", "");
  test.Run(10ms);
  CHECK((**unknownKind).error().mField == "/kind");
  CHECK((**noKey).error().mField == "Idempotency-Key");
}

// Guards against tasks that continue after their request was cancelled, and
// against a wrong state in the response.
TEST_CASE("a cancelled request stops and reports its state")
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

// Guards against completions that are missing from the burn report, and against
// invalid, conflicting and pending requests that are counted as completions.
TEST_CASE("completions of submitted requests are counted for the burn report")
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
