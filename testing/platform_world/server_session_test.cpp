#include "flamingoloom/node/server_session.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "testing/platform_world/clock_loop.h"
#include "testing/platform_world/silent_log.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A server whose responses to reports take a set time, beside the wait that was
// requested. A call ends with an error if that exceeds its timeout.
class DelayedServer : public node::BackendServers
{
public:
  explicit DelayedServer(fakes::VirtualClock& aClock)
    : mClock(aClock)
  {
  }

  void SetDelay(base::Duration aDelay) { mDelay = aDelay; }
  // When all leases that were granted here have expired, by the server's clock.
  base::Time LeasesExpireAt() const { return mLeasesExpireAt; }
  int Calls() const { return mCalls; }

  bool HasConnection(const scheduler::ServerInfo&, base::Time) override
  {
    return true;
  }
  void Start(const scheduler::ServerInfo&,
             const scheduler::StartCommand&,
             const node::StartRequest&,
             base::Duration,
             std::function<void(node::StartResponse)>) override
  {
  }
  void Stop(const scheduler::ServerInfo&,
            const scheduler::StopCommand&,
            const node::FencingToken&,
            base::Duration,
            std::function<void(bool)>) override
  {
  }
  void Report(
    const scheduler::ServerInfo&,
    const node::ReportRequest& aRequest,
    base::Duration aTimeout,
    std::function<void(base::Expected<node::ReportResponse>)> aThen) override
  {
    // The number of the call identifies its response.
    const int call = ++mCalls;
    const auto duration = aRequest.mWait + mDelay;
    if (aRequest.mLeaseUntilMs) {
      // The request itself is not delayed.
      mLeasesExpireAt = std::max(
        mLeasesExpireAt, base::Time(milliseconds(*aRequest.mLeaseUntilMs)));
    }
    const auto respondedAt = mClock.Now() + aRequest.mWait;
    mClock.After(
      std::min(duration, aTimeout),
      [call, late = duration > aTimeout, respondedAt, then = std::move(aThen)] {
        if (late) {
          then(base::MakeError(
            base::ErrorCode::eOutcomeUnknown, "report", "server", "timed out"));
          return;
        }
        node::ReportResponse response;
        response.mReport.mStartedMs = 1;
        response.mClockMs =
          base::ToMilliseconds(respondedAt.time_since_epoch());
        response.mReport.mCompletions.resize(1);
        response.mReport.mCompletions[0].mNumber = call;
        then(response);
      });
  }

private:
  fakes::VirtualClock& mClock;
  base::Duration mDelay{ 0 };
  base::Time mLeasesExpireAt;
  int mCalls = 0;
};

struct Fixture
{
  Fixture()
  {
    node::ServerSession::Events events;
    events.mOnReport = [this](const scheduler::ServerReport& aReport,
                              base::Time) {
      mReports.push_back(aReport.mCompletions.at(0).mNumber);
      mDelays.push_back(aReport.mDelay);
    };
    events.mOnUnresponsive = [this] { ++mUnresponsive; };
    events.mNeedsReports = [] { return true; };
    events.mAckThrough = [] { return 0; };
    events.mHasUnstoredCompletions = [] { return false; };
    events.mOnLease = [](base::Time) {};
    events.mLeaseLimit = [] { return base::Time::max(); };
    events.mLeadershipValidUntil = [] { return base::Time::max(); };
    mSession = std::make_shared<node::ServerSession>(
      node::Ports{ &mLoop, nullptr, &mServer, nullptr, &mLog },
      scheduler::ServerInfo{},
      node::FencingToken{ 1, 1 },
      node::ServerSessionTiming{},
      events);
  }

  fakes::VirtualClock mClock{ 1 };
  ClockLoop mLoop{ mClock };
  SilentLog mLog;
  DelayedServer mServer{ mClock };
  std::vector<std::int64_t> mReports;
  std::vector<base::Duration> mDelays;
  int mUnresponsive = 0;
  std::shared_ptr<node::ServerSession> mSession;
};

// A server that restarts on demand and keeps the requests that it gets.
class RestartingServer : public node::BackendServers
{
public:
  explicit RestartingServer(fakes::VirtualClock& aClock)
    : mClock(aClock)
  {
  }

  void Restart()
  {
    ++mStartedMs;
    mBegunAt = mClock.Now();
  }
  void SetConnected(bool aConnected) { mConnected = aConnected; }
  const std::vector<node::ReportRequest>& Requests() const { return mRequests; }
  const node::StartRequest& LastStart() const { return mLastStart; }

  bool HasConnection(const scheduler::ServerInfo&, base::Time) override
  {
    return mConnected;
  }
  void Start(const scheduler::ServerInfo&,
             const scheduler::StartCommand&,
             const node::StartRequest& aRequest,
             base::Duration,
             std::function<void(node::StartResponse)> aThen) override
  {
    mLastStart = aRequest;
    mClock.After(milliseconds(2), [this, then = std::move(aThen)] {
      then({ scheduler::StartResult::eStarted, ClockMs() });
    });
  }
  void Stop(const scheduler::ServerInfo&,
            const scheduler::StopCommand&,
            const node::FencingToken&,
            base::Duration,
            std::function<void(bool)>) override
  {
  }
  void Report(
    const scheduler::ServerInfo&,
    const node::ReportRequest& aRequest,
    base::Duration,
    std::function<void(base::Expected<node::ReportResponse>)> aThen) override
  {
    mRequests.push_back(aRequest);
    mClock.After(aRequest.mWait + milliseconds(2),
                 [this, then = std::move(aThen)] {
                   node::ReportResponse response;
                   response.mReport.mStartedMs = mStartedMs;
                   response.mClockMs = ClockMs();
                   response.mRequestSentAt = mClock.Now();
                   then(response);
                 });
  }

private:
  std::int64_t ClockMs() const
  {
    return base::ToMilliseconds(mClock.Now() - mBegunAt);
  }

  fakes::VirtualClock& mClock;
  std::int64_t mStartedMs = 1;
  base::Time mBegunAt;
  bool mConnected = true;
  std::vector<node::ReportRequest> mRequests;
  node::StartRequest mLastStart;
};

struct RestartFixture
{
  RestartFixture()
  {
    node::ServerSession::Events events;
    events.mOnReport = [this](const scheduler::ServerReport& aReport,
                              base::Time) {
      mReported.push_back(aReport.mStartedMs);
    };
    events.mOnRestarted = [this] { ++mRestarts; };
    events.mNextToken = [this] {
      return node::FencingToken{ 1, ++mGeneration };
    };
    events.mOnStart = [this](const scheduler::StartCommand&,
                             scheduler::StartResult,
                             bool) { ++mStartsAnswered; };
    events.mOnStartMayStray = [this](const scheduler::StartCommand&,
                                     base::Time aUntil) {
      mStraysUntil = aUntil;
    };
    events.mNeedsReports = [] { return true; };
    events.mAckThrough = [] { return 3; };
    events.mHasUnstoredCompletions = [] { return false; };
    events.mOnLease = [](base::Time) {};
    events.mLeaseLimit = [] { return base::Time::max(); };
    events.mLeadershipValidUntil = [this] { return mLeadershipValidUntil; };
    events.mIsStartWanted = [this](const scheduler::StartCommand&) {
      return mStartWanted;
    };
    mClock.RunUntil(base::Time(seconds(1000)));
    mSession = std::make_shared<node::ServerSession>(
      node::Ports{ &mLoop, nullptr, &mServer, nullptr, &mLog },
      scheduler::ServerInfo{},
      node::FencingToken{ 1, mGeneration },
      node::ServerSessionTiming{},
      events);
    mSession->RequestReport();
    mClock.RunFor(milliseconds(10));
  }

  fakes::VirtualClock mClock{ 1 };
  ClockLoop mLoop{ mClock };
  SilentLog mLog;
  RestartingServer mServer{ mClock };
  std::int64_t mGeneration = 1;
  std::vector<std::int64_t> mReported;
  int mRestarts = 0;
  int mStartsAnswered = 0;
  base::Time mStraysUntil;
  base::Time mLeadershipValidUntil = base::Time::max();
  bool mStartWanted = true;
  std::shared_ptr<node::ServerSession> mSession;
};

// Guards against a lease by the clock of an earlier incarnation, and against
// the loss of completions that are acknowledged by its numbers.
TEST_CASE("Leases and acknowledgements go only over a connection to the "
          "incarnation that is known")
{
  for (const bool connected : { true, false }) {
    RestartFixture fixture;
    fixture.mServer.SetConnected(connected);
    fixture.mClock.RunFor(seconds(5));
    REQUIRE(fixture.mServer.Requests().size() >= 3);
    const auto& last = fixture.mServer.Requests().back();
    CHECK(last.mLeaseUntilMs.has_value() == connected);
    CHECK(last.mConnectedBy.has_value() == connected);
    bool acknowledged = false;
    for (std::size_t i = 2; i < fixture.mServer.Requests().size(); ++i) {
      acknowledged |= fixture.mServer.Requests()[i].mAckThrough > 0;
    }
    CHECK((connected || !acknowledged));
  }
}

// Guards against orders to the earlier incarnation that take effect after the
// report of the later one was used.
TEST_CASE("The report of another incarnation counts once it is fenced")
{
  RestartFixture fixture;
  fixture.mClock.RunFor(seconds(5));
  fixture.mServer.Restart();
  const auto before = fixture.mServer.Requests().back().mToken;
  fixture.mClock.RunFor(seconds(5));
  CHECK(fixture.mRestarts == 1);
  std::size_t fenced = 0;
  for (const auto& request : fixture.mServer.Requests()) {
    fenced += request.mToken > before ? 1 : 0;
  }
  const auto reported = std::count(
    fixture.mReported.begin(), fixture.mReported.end(), std::int64_t{ 2 });
  CHECK(reported > 0);
  CHECK(static_cast<std::size_t>(reported) <= fenced);
}

// Guards against a lease that lasts longer than the leader reckons with, since
// its expiry is by the clock of another incarnation.
TEST_CASE("A start that another incarnation has answered shows the restart")
{
  for (const bool restarted : { false, true }) {
    RestartFixture fixture;
    fixture.mClock.RunFor(seconds(5));
    fixture.mServer.SetConnected(false);
    if (restarted) {
      fixture.mServer.Restart();
    }
    fixture.mSession->Start({}, nullptr);
    CHECK(fixture.mStraysUntil > fixture.mClock.Now() + seconds(20));
    fixture.mClock.RunFor(milliseconds(4));
    CHECK(fixture.mRestarts == (restarted ? 1 : 0));
    CHECK(fixture.mStartsAnswered == (restarted ? 0 : 1));
    CHECK((fixture.mStraysUntil > fixture.mClock.Now()) == restarted);
  }
}

// Guards against a start that is sent, after a wait for a connection, by a
// leader that has released its lease or to a server that has restarted.
TEST_CASE(
  "A start that waits for a connection is sent only while it is allowed")
{
  using Change = std::function<void(RestartFixture&)>;
  const Change changes[] = {
    [](RestartFixture& aFixture) { aFixture.mSession->Close(); },
    [](RestartFixture& aFixture) {
      aFixture.mLeadershipValidUntil = aFixture.mClock.Now();
    },
    [](RestartFixture& aFixture) { aFixture.mStartWanted = false; },
    [](RestartFixture& aFixture) {
      scheduler::ServerInfo info;
      info.mStartedMs = 2;
      aFixture.mSession->Update(info);
    },
  };
  for (const auto& change : changes) {
    RestartFixture fixture;
    fixture.mServer.SetConnected(false);
    fixture.mSession->Start({}, nullptr);
    const auto& request = fixture.mServer.LastStart();
    REQUIRE(request.mMaySend);
    CHECK(request.mMaySend());
    change(fixture);
    CHECK_FALSE(request.mMaySend());
  }
}

// A leader that drops them starts tasks again that have completed.
TEST_CASE("Reports that arrive after the timeout are used")
{
  Fixture fixture;
  fixture.mServer.SetDelay(seconds(3));
  fixture.mSession->RequestReport();
  fixture.mClock.RunFor(seconds(6));
  CHECK(fixture.mUnresponsive > 0);
  CHECK_FALSE(fixture.mReports.empty());
}

TEST_CASE("A server that responds late is asked again meanwhile")
{
  Fixture fixture;
  fixture.mServer.SetDelay(seconds(3));
  fixture.mSession->RequestReport();
  fixture.mClock.RunFor(seconds(2));
  CHECK(fixture.mServer.Calls() >= 2);
}

// Its leases would lapse otherwise, and its running work with them, although it
// is only slow to respond.
TEST_CASE("Leases are renewed on a server whose responses are seconds late")
{
  for (const auto delay : { milliseconds(500),
                            milliseconds(1000),
                            milliseconds(2000),
                            milliseconds(3500) }) {
    INFO("delay in ms: " << delay.count());
    Fixture fixture;
    fixture.mClock.RunUntil(base::Time(seconds(1000)));
    fixture.mSession->RequestReport();
    fixture.mClock.RunFor(seconds(5));
    REQUIRE(fixture.mServer.LeasesExpireAt() > fixture.mClock.Now());
    fixture.mServer.SetDelay(delay);
    int callsBefore = fixture.mServer.Calls();
    for (int second = 0; second < 60; ++second) {
      fixture.mClock.RunFor(seconds(1));
      CHECK(fixture.mServer.LeasesExpireAt() > fixture.mClock.Now());
    }
    // The requests do not pile up.
    CHECK(fixture.mServer.Calls() - callsBefore < 120);
  }
}

// Its work starts again elsewhere when its leases have expired.
TEST_CASE("No lease is granted to a server that does not respond")
{
  Fixture fixture;
  fixture.mClock.RunUntil(base::Time(seconds(1000)));
  fixture.mSession->RequestReport();
  fixture.mClock.RunFor(seconds(5));
  fixture.mServer.SetDelay(seconds(1000));
  fixture.mClock.RunFor(seconds(4));
  const auto expireAt = fixture.mServer.LeasesExpireAt();
  fixture.mClock.RunFor(seconds(20));
  CHECK(fixture.mServer.LeasesExpireAt() == expireAt);
}

TEST_CASE("A report says how late it is")
{
  Fixture fixture;
  fixture.mSession->RequestReport();
  fixture.mClock.RunFor(seconds(3));
  REQUIRE_FALSE(fixture.mDelays.empty());
  CHECK(fixture.mDelays.back() == base::Duration(0));
  fixture.mServer.SetDelay(seconds(2));
  fixture.mClock.RunFor(seconds(8));
  CHECK(fixture.mDelays.back() >= milliseconds(1800));
  CHECK(fixture.mDelays.back() <= seconds(2));
}

// An older report would show tasks as absent that were started since.
TEST_CASE("A report that was overtaken by a newer one is not used")
{
  Fixture fixture;
  fixture.mServer.SetDelay(seconds(3));
  fixture.mSession->RequestReport();
  fixture.mClock.RunFor(milliseconds(800));
  fixture.mServer.SetDelay(milliseconds(10));
  fixture.mClock.RunFor(seconds(6));
  REQUIRE(fixture.mReports.size() >= 2);
  CHECK(fixture.mReports.front() > 1);
  for (std::size_t i = 1; i < fixture.mReports.size(); ++i) {
    CHECK(fixture.mReports[i] > fixture.mReports[i - 1]);
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
