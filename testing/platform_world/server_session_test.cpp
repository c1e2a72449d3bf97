#include "flamingoloom/node/server_session.h"

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
  int Calls() const { return mCalls; }

  void Start(const scheduler::ServerInfo&,
             const scheduler::StartCommand&,
             std::int64_t,
             std::int64_t,
             base::Duration,
             std::function<void(scheduler::StartResult)>) override
  {
  }
  void Stop(const scheduler::ServerInfo&,
            const scheduler::StopCommand&,
            std::int64_t,
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
    mClock.After(
      std::min(duration, aTimeout),
      [call, late = duration > aTimeout, then = std::move(aThen)] {
        if (late) {
          then(base::MakeError(
            base::ErrorCode::eOutcomeUnknown, "report", "server", "timed out"));
          return;
        }
        node::ReportResponse response;
        response.mReport.mStartedMs = 1;
        response.mReport.mCompletions.resize(1);
        response.mReport.mCompletions[0].mNumber = call;
        then(response);
      });
  }

private:
  fakes::VirtualClock& mClock;
  base::Duration mDelay{ 0 };
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
    };
    events.mOnUnresponsive = [this] { ++mUnresponsive; };
    events.mNeedsReports = [] { return true; };
    events.mAckThrough = [] { return 0; };
    events.mHasUnstoredCompletions = [] { return false; };
    events.mOnLease = [](base::Time) {};
    events.mLeaseLimit = [] { return base::Time::max(); };
    mSession = std::make_shared<node::ServerSession>(
      node::Ports{ &mLoop, nullptr, &mServer, nullptr, &mLog },
      scheduler::ServerInfo{},
      1,
      node::ServerSessionTiming{},
      events);
  }

  fakes::VirtualClock mClock{ 1 };
  ClockLoop mLoop{ mClock };
  SilentLog mLog;
  DelayedServer mServer{ mClock };
  std::vector<std::int64_t> mReports;
  int mUnresponsive = 0;
  std::shared_ptr<node::ServerSession> mSession;
};

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
