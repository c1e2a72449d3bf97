#include <doctest/doctest.h>

#include "flamingoloom/node/job_api.h"
#include "testing/platform_world/clock_loop.h"
#include "testing/platform_world/fake_store.h"
#include "testing/platform_world/silent_log.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

jobs::JobSpec Job(int aNumber)
{
  jobs::JobSpec job;
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(aNumber));
  job.mId = id;
  job.mSteps.resize(1);
  return job;
}

node::Configuration OneQueue()
{
  node::Configuration configuration;
  configuration.mVersion = 1;
  node::Queue queue;
  queue.mHost = "host";
  queue.mPathPrefix = "/q/";
  queue.mPublic = true;
  configuration.mQueues = { queue };
  return configuration;
}

struct Fixture
{
  explicit Fixture(node::JobApiSettings aSettings = {})
    : mApi{ { &mLoop, &mStoreConnection, nullptr, nullptr, &mLog }, aSettings }
  {
    mApi.SetConfiguration(
      std::make_shared<const node::Configuration>(OneQueue()));
    mApi.SetConfigurationValidUntil(base::Time::max());
    mApi.SetStoreReachable(true);
  }

  fakes::VirtualClock mClock{ 1 };
  FakeStore mStore{ mClock };
  StoreConnection mStoreConnection{ mStore, mClock };
  ClockLoop mLoop{ mClock };
  SilentLog mLog;
  node::JobApi mApi;
};

// Room for some jobs of Job, of which the leader counts none.
node::JobApiSettings SmallMemory()
{
  node::JobApiSettings settings;
  settings.mAdmission.mLimit = 100'000;
  settings.mAdmission.mUncountedDivisor = 8;
  return settings;
}

node::CallerResponse SubmitJob(Fixture& aFixture, const jobs::JobSpec& aJob)
{
  node::CallerResponse response;
  aFixture.mApi.Submit(
    { "host", "/q/" + aJob.mId, "", seconds(3) },
    [&aJob] { return base::Expected<jobs::JobSpec>(aJob); },
    [&response](const node::CallerResponse& aResponse) {
      response = aResponse;
    });
  aFixture.mClock.RunFor(seconds(1));
  return response;
}

node::CallerResponse CancelJob(Fixture& aFixture, const std::string& aJob)
{
  node::CallerResponse response;
  aFixture.mApi.Cancel({ "host", "/q/" + aJob, "", seconds(3) },
                       [&response](const node::CallerResponse& aResponse) {
                         response = aResponse;
                       });
  aFixture.mClock.RunFor(seconds(1));
  return response;
}

// Guards against submissions that queue behind each other in one partition of
// the store: with 250 ms for a transaction, a partition applies only 4 a
// second.
TEST_CASE("Submissions do not wait for each other while the store is slow")
{
  Fixture fixture;
  fixture.mStore.SetTransactionTime(milliseconds(250));
  int accepted = 0;
  constexpr int kJobs = 56;
  for (int i = 0; i < kJobs; ++i) {
    fixture.mClock.After(milliseconds(i * 1000 / 14), [&, i] {
      fixture.mApi.Submit(
        { "host", "/q/" + Job(i).mId, "", seconds(3) },
        [i] { return base::Expected<jobs::JobSpec>(Job(i)); },
        [&accepted](const node::CallerResponse& aResponse) {
          accepted += aResponse.mCallerStatus == node::CallerStatus::eAccepted;
        });
    });
  }
  fixture.mClock.RunFor(seconds(10));
  CHECK(accepted >= kJobs * 9 / 10);
}

// Guards against an outdated queue length that is reported after the leader,
// which updates it, has exited.
TEST_CASE("A queue's length is reported only while it is recent")
{
  Fixture fixture;
  const auto queryLength = [&fixture] {
    node::CallerResponse response;
    fixture.mApi.Query({ "host", "/q/", "", seconds(3) },
                       [&response](const node::CallerResponse& aResponse) {
                         response = aResponse;
                       });
    return response;
  };
  CHECK(queryLength().mCallerStatus == node::CallerStatus::eRetryLater);
  fixture.mApi.SetQueueLengths(fixture.mClock.Now(), { { "", 7 } });
  CHECK(queryLength().mCallerStatus == node::CallerStatus::eFound);
  CHECK(queryLength().mPendingJobs == 7);
  fixture.mClock.RunFor(seconds(2));
  CHECK(queryLength().mCallerStatus == node::CallerStatus::eRetryLater);
}

// Guards against a job that is reported as unknown between its acceptance and
// its first start, when only its job row exists.
TEST_CASE("An accepted job without a state row is reported as queued")
{
  Fixture fixture;
  const auto job = Job(1);
  fixture.mApi.Submit(
    { "host", "/q/" + job.mId, "", seconds(3) },
    [&job] { return base::Expected<jobs::JobSpec>(job); },
    [](const node::CallerResponse&) {});
  fixture.mClock.RunFor(seconds(1));
  node::CallerResponse response;
  const auto queryLength = [&](const std::string& aId) {
    fixture.mApi.Query({ "host", "/q/" + aId, "", seconds(3) },
                       [&response](const node::CallerResponse& aResponse) {
                         response = aResponse;
                       });
    fixture.mClock.RunFor(seconds(1));
  };
  queryLength(job.mId);
  CHECK(response.mCallerStatus == node::CallerStatus::eFound);
  CHECK(response.mState == jobs::JobState::eQueued);
  queryLength(Job(2).mId);
  CHECK(response.mCallerStatus == node::CallerStatus::eNoSuchJob);
}

// Guards against a caller that waits until its deadline for work that its
// account may never run, and against a refusal of work that runs in waves.
TEST_CASE("A gang larger than its account's maximum is refused at once")
{
  Fixture fixture;
  auto configuration = OneQueue();
  configuration.mVersion = 2;
  configuration.mAccounts = {
    { base::AccountId("shop"), { "key" }, { 0, 0, { 0, 0, 4 } } }
  };
  fixture.mApi.SetConfiguration(
    std::make_shared<const node::Configuration>(configuration));
  const auto submit = [&](int aNumber, bool aGang, int aTasks) {
    auto job = Job(aNumber);
    job.mSteps[0].mGang = aGang;
    job.mSteps[0].mTaskCount = aTasks;
    job.mSteps[0].mPerTask.mAccelerators = 1;
    node::CallerResponse response;
    fixture.mApi.Submit(
      { "host", "/q/" + job.mId, "key", seconds(3) },
      [job] { return base::Expected<jobs::JobSpec>(job); },
      [&response](const node::CallerResponse& aResponse) {
        response = aResponse;
      });
    fixture.mClock.RunFor(seconds(1));
    return response;
  };
  CHECK(submit(1, true, 4).mCallerStatus == node::CallerStatus::eAccepted);
  CHECK(submit(2, false, 40).mCallerStatus == node::CallerStatus::eAccepted);
  const auto refused = submit(3, true, 6);
  CHECK(refused.mCallerStatus == node::CallerStatus::eOverMaximum);
  CHECK(refused.mRetryAfter.count() > 0);
}

// Guards against jobs that are accepted without end, and against a refusal of
// one that an earlier request has stored: it says that the job never runs.
TEST_CASE("Jobs beyond the memory are refused, but for those that are stored")
{
  Fixture fixture(SmallMemory());
  int accepted = 0;
  while (SubmitJob(fixture, Job(accepted)).mCallerStatus ==
         node::CallerStatus::eAccepted) {
    ++accepted;
    REQUIRE(accepted < 100);
  }
  CHECK(accepted > 0);
  const auto refused = SubmitJob(fixture, Job(accepted));
  CHECK(refused.mCallerStatus == node::CallerStatus::eNoRoom);
  CHECK(refused.mRetryAfter.count() > 0);
  CHECK(SubmitJob(fixture, Job(0)).mCallerStatus ==
        node::CallerStatus::eAccepted);
  // What was accepted can be cancelled all the same.
  CHECK(CancelJob(fixture, Job(0).mId).mCallerStatus ==
        node::CallerStatus::eCancelled);
  fixture.mApi.OnJobsCounted(fixture.mClock.Now() + seconds(3));
  CHECK(SubmitJob(fixture, Job(accepted)).mCallerStatus ==
        node::CallerStatus::eAccepted);
}

// Guards against refusals that cost the store as many reads as there are
// requests. What is not looked up is not said to be refused.
TEST_CASE("Of refusals in quick succession only some are looked up")
{
  auto settings = SmallMemory();
  settings.mRefusalCheckInterval = seconds(10);
  Fixture fixture(settings);
  int number = 0;
  while (SubmitJob(fixture, Job(number)).mCallerStatus ==
         node::CallerStatus::eAccepted) {
    ++number;
  }
  CHECK(SubmitJob(fixture, Job(number)).mCallerStatus ==
        node::CallerStatus::eUnknown);
}

// Guards against markers that are stored for any id that is made up.
TEST_CASE("Cancellations of unknown jobs are refused beyond the memory")
{
  Fixture fixture(SmallMemory());
  int marked = 0;
  while (CancelJob(fixture, Job(marked).mId).mCallerStatus ==
         node::CallerStatus::eNoSuchJob) {
    ++marked;
    REQUIRE(marked < 100);
  }
  CHECK(marked > 0);
  CHECK(CancelJob(fixture, Job(marked).mId).mCallerStatus ==
        node::CallerStatus::eNoRoom);
}

// Guards against a caller that is asked to come back for ever.
TEST_CASE("A job that can never be accepted is refused for good")
{
  Fixture fixture(SmallMemory());
  auto job = Job(1);
  job.mSteps[0].mTaskCount = 500;
  CHECK(SubmitJob(fixture, job).mCallerStatus == node::CallerStatus::eTooLarge);
}

// Guards against an account whose requests use up the calls that the store
// serves, so that the leader cannot renew its lease.
TEST_CASE("An account's requests call the store at a limited rate")
{
  node::JobApiSettings settings;
  settings.mReadsPerSecond = settings.mWritesPerSecond = 5;
  Fixture fixture(settings);
  fixture.mClock.RunFor(seconds(1));
  const auto countOf = [&fixture](auto aSend, node::CallerStatus aStatus) {
    int count = 0;
    for (int i = 0; i < 30; ++i) {
      aSend(Job(i), [&count, aStatus](const node::CallerResponse& aResponse) {
        count += aResponse.mCallerStatus == aStatus ? 1 : 0;
      });
    }
    fixture.mClock.RunFor(seconds(1));
    return count;
  };
  const auto query = [&fixture](const jobs::JobSpec& aJob, auto aThen) {
    fixture.mApi.Query({ "host", "/q/" + aJob.mId, "", seconds(3) }, aThen);
  };
  const auto submit = [&fixture](const jobs::JobSpec& aJob, auto aThen) {
    fixture.mApi.Submit(
      { "host", "/q/" + aJob.mId, "", seconds(3) },
      [&aJob] { return base::Expected<jobs::JobSpec>(aJob); },
      aThen);
  };
  constexpr int kWithinWindow = 10;
  CHECK(countOf(query, node::CallerStatus::eNoSuchJob) == kWithinWindow);
  CHECK(countOf(submit, node::CallerStatus::eAccepted) == kWithinWindow);
  // It is not known whether an earlier request has stored the others.
  CHECK(countOf(submit, node::CallerStatus::eUnknown) > 0);
  fixture.mClock.RunFor(seconds(2));
  CHECK(countOf(query, node::CallerStatus::eFound) == kWithinWindow);
}

// Guards against requests beyond a limit that use up the probes of the circuit
// breaker: nothing of others was accepted then after an outage.
TEST_CASE("A request that is refused leaves the probe of the store to others")
{
  node::JobApiSettings settings;
  settings.mWritesPerSecond = 0.5;
  Fixture fixture(settings);
  fixture.mClock.RunFor(seconds(1));
  auto configuration = OneQueue();
  configuration.mVersion = 2;
  configuration.mAccounts = { { base::AccountId("shop"), { "key" }, {} } };
  fixture.mApi.SetConfiguration(
    std::make_shared<const node::Configuration>(configuration));
  const auto submit = [&fixture](int aNumber, const char* aKey) {
    auto status = node::CallerStatus::eFound;
    fixture.mApi.Submit(
      { "host", "/q/" + Job(aNumber).mId, aKey, milliseconds(100) },
      [aNumber] { return base::Expected<jobs::JobSpec>(Job(aNumber)); },
      [&status](const node::CallerResponse& aResponse) {
        status = aResponse.mCallerStatus;
      });
    fixture.mClock.RunFor(milliseconds(50));
    return status;
  };
  fixture.mStoreConnection.SetFault(StoreFault::eRejectsCalls);
  CHECK(submit(1, "") == node::CallerStatus::eRetryLater);
  fixture.mStoreConnection.SetFault(StoreFault::eNone);
  fixture.mClock.RunFor(milliseconds(400));
  CHECK(submit(2, "") == node::CallerStatus::eUnknown);
  CHECK(submit(3, "key") == node::CallerStatus::eAccepted);
}

} // namespace
} // namespace flamingoloom::testing::platform_world
