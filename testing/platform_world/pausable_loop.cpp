#include "testing/platform_world/pausable_loop.h"

namespace flamingoloom::testing::platform_world {

using base::Duration;
using base::ErrorCode;
using base::Expected;
using base::MakeError;

namespace {

// How much longer than its wait a watch may take before it ends.
constexpr auto kWatchSlack = std::chrono::milliseconds(1000);

template <typename Value>
Expected<Value> TimedOut(const char* aCall)
{
  return MakeError(ErrorCode::eOutcomeUnknown, aCall, "peer", "timed out");
}

} // namespace

void PausableLoop::After(Duration aDelay, std::function<void()> aThen)
{
  FireAt(mClock.Now() + aDelay, mSuspended, std::move(aThen));
}

void PausableLoop::FireAt(base::Time aDue,
                          Duration aSuspendedBefore,
                          std::function<void()> aThen)
{
  mClock.At(
    aDue,
    [this, alive = mAlive, aDue, aSuspendedBefore, then = std::move(aThen)] {
      if (*alive) {
        Fire(aDue, aSuspendedBefore, then);
      }
    });
}

void PausableLoop::Fire(base::Time aDue,
                        Duration aSuspendedBefore,
                        std::function<void()> aThen)
{
  if (mPaused) {
    mTimers.emplace_back(
      [this, aDue, aSuspendedBefore, then = std::move(aThen)] {
        Fire(aDue, aSuspendedBefore, then);
      });
  } else if (mSuspended > aSuspendedBefore) {
    FireAt(
      aDue + (mSuspended - aSuspendedBefore), mSuspended, std::move(aThen));
  } else {
    aThen();
  }
}

void PausableLoop::Pause()
{
  mPaused = true;
  mPausedAt = mClock.Now();
}

void PausableLoop::Resume(WakeOrder aOrder)
{
  mPaused = false;
  mWakeOrder = aOrder;
  if (aOrder == WakeOrder::eTimersLate) {
    mSuspended += mClock.Now() - mPausedAt;
  }
  auto timers = std::exchange(mTimers, {});
  auto responses = std::exchange(mResponses, {});
  if (aOrder == WakeOrder::eTimersFirst) {
    HandleAll(std::move(timers));
    HandleAll(std::move(responses));
  } else {
    HandleAll(std::move(responses));
    HandleAll(std::move(timers));
  }
}

void PausableLoop::HandleAll(std::vector<std::function<void()>> aCallbacks)
{
  for (auto& callback : aCallbacks) {
    mClock.After(Duration(0), [alive = mAlive, then = std::move(callback)] {
      if (*alive) {
        then();
      }
    });
  }
}

void PausableStore::Commit(
  const node::Transaction& aTransaction,
  Duration aTimeout,
  std::function<void(Expected<node::CommitResult>)> aThen)
{
  mStore.Commit(
    aTransaction,
    aTimeout,
    mLoop.Bind<Expected<node::CommitResult>>(
      aTimeout, std::move(aThen), TimedOut<node::CommitResult>("commit")));
}

void PausableStore::Read(const std::string& aTable,
                         const std::string& aPartition,
                         const std::string& aFrom,
                         const std::string& aTo,
                         Duration aTimeout,
                         std::function<void(Expected<node::Rows>)> aThen)
{
  mStore.Read(aTable,
              aPartition,
              aFrom,
              aTo,
              aTimeout,
              mLoop.Bind<Expected<node::Rows>>(
                aTimeout, std::move(aThen), TimedOut<node::Rows>("read")));
}

void PausableStore::Watch(const std::string& aTable,
                          std::int64_t aVersion,
                          Duration aWait,
                          std::function<void(Expected<node::Rows>)> aThen)
{
  mStore.Watch(aTable,
               aVersion,
               aWait,
               mLoop.Bind<Expected<node::Rows>>(aWait + kWatchSlack,
                                                std::move(aThen),
                                                TimedOut<node::Rows>("watch")));
}

bool PausableServers::HasConnection(const scheduler::ServerInfo& aServer,
                                    base::Time aOpenedBy)
{
  return mServers.HasConnection(aServer, aOpenedBy);
}

void PausableServers::Start(const scheduler::ServerInfo& aServer,
                            const scheduler::StartCommand& aCommand,
                            const node::StartRequest& aRequest,
                            Duration aTimeout,
                            std::function<void(node::StartResponse)> aThen)
{
  mServers.Start(aServer,
                 aCommand,
                 aRequest,
                 aTimeout,
                 mLoop.Bind(aTimeout, std::move(aThen), node::StartResponse{}));
}

void PausableServers::Stop(const scheduler::ServerInfo& aServer,
                           const scheduler::StopCommand& aCommand,
                           const node::FencingToken& aToken,
                           Duration aTimeout,
                           std::function<void(bool)> aThen)
{
  mServers.Stop(aServer,
                aCommand,
                aToken,
                aTimeout,
                mLoop.Bind(aTimeout, std::move(aThen), false));
}

void PausableServers::Report(
  const scheduler::ServerInfo& aServer,
  const node::ReportRequest& aRequest,
  Duration aTimeout,
  std::function<void(Expected<node::ReportResponse>)> aThen)
{
  mServers.Report(
    aServer,
    aRequest,
    aTimeout,
    mLoop.Bind<Expected<node::ReportResponse>>(
      aTimeout, std::move(aThen), TimedOut<node::ReportResponse>("report")));
}

} // namespace flamingoloom::testing::platform_world
