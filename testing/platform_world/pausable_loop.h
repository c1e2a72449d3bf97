// An instance's event loop on the virtual clock that can stand still, and ports
// whose responses wait for it.
//
// While the loop stands still, its clock and all others go on, calls that were
// sent take effect, and responses wait, as with a process that was stopped.
//
//   PausableLoop loop(clock);
//   PausableStore store(loop, connection);
//   loop.Pause();
//   clock.RunFor(seconds(5));
//   loop.Resume(WakeOrder::eTimersFirst);
//
// Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "flamingoloom/node/ports.h"
#include "testing/fakes/virtual_clock.h"

namespace flamingoloom::testing::platform_world {

// What a loop handles first when it goes on.
enum class WakeOrder
{
  // Calls whose timeout has passed end with an error, with or without a
  // response.
  eTimersFirst,
  eResponsesFirst,
  // The machine was suspended: timers have not advanced meanwhile.
  eTimersLate,
};

class PausableLoop : public node::Loop
{
public:
  // aClock must outlive the loop.
  explicit PausableLoop(fakes::VirtualClock& aClock)
    : mClock(aClock)
  {
  }

  base::Time Now() const override { return mClock.Now(); }
  std::int64_t UnixMs() const override
  {
    return base::ToMilliseconds(mClock.Now().time_since_epoch());
  }
  void After(base::Duration aDelay, std::function<void()> aThen) override;

  // The loop must not stand still.
  void Pause();
  // The loop must stand still.
  void Resume(WakeOrder aOrder);
  // No timer and no response is handled from now on.
  void Kill() { *mAlive = false; }

  // Returns a callback that passes its argument to aThen once the loop runs, or
  // aTimedOut if the loop handles the timeout aTimeout of the call first.
  template <typename Response>
  std::function<void(Response)> Bind(base::Duration aTimeout,
                                     std::function<void(Response)> aThen,
                                     Response aTimedOut)
  {
    return [this,
            alive = mAlive,
            deadline = mClock.Now() + aTimeout,
            then = std::move(aThen),
            timedOut = std::move(aTimedOut)](Response aResponse) {
      if (!*alive) {
        return;
      }
      if (!mPaused) {
        then(std::move(aResponse));
        return;
      }
      mResponses.emplace_back([this, deadline, then, timedOut, aResponse] {
        const bool late =
          mWakeOrder == WakeOrder::eTimersFirst && mClock.Now() > deadline;
        then(late ? timedOut : aResponse);
      });
    };
  }

private:
  // Calls aThen at aDue, or later by the time that timers stand still from now
  // on. aSuspendedBefore is how long they had when aDue was computed.
  void FireAt(base::Time aDue,
              base::Duration aSuspendedBefore,
              std::function<void()> aThen);
  void Fire(base::Time aDue,
            base::Duration aSuspendedBefore,
            std::function<void()> aThen);
  void HandleAll(std::vector<std::function<void()>> aCallbacks);

  fakes::VirtualClock& mClock;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  bool mPaused = false;
  base::Time mPausedAt;
  WakeOrder mWakeOrder = WakeOrder::eTimersFirst;
  // How long timers have stood still so far.
  base::Duration mSuspended{ 0 };
  std::vector<std::function<void()>> mTimers;
  std::vector<std::function<void()>> mResponses;
};

class PausableStore : public node::Store
{
public:
  // Both must outlive the store.
  PausableStore(PausableLoop& aLoop, node::Store& aStore)
    : mLoop(aLoop)
    , mStore(aStore)
  {
  }

  void Commit(
    const node::Transaction& aTransaction,
    base::Duration aTimeout,
    std::function<void(base::Expected<node::CommitResult>)> aThen) override;
  void Read(const std::string& aTable,
            const std::string& aPartition,
            const std::string& aFrom,
            const std::string& aTo,
            base::Duration aTimeout,
            std::function<void(base::Expected<node::Rows>)> aThen) override;
  void Watch(const std::string& aTable,
             std::int64_t aVersion,
             base::Duration aWait,
             std::function<void(base::Expected<node::Rows>)> aThen) override;

private:
  PausableLoop& mLoop;
  node::Store& mStore;
};

class PausableServers : public node::BackendServers
{
public:
  // Both must outlive the object.
  PausableServers(PausableLoop& aLoop, node::BackendServers& aServers)
    : mLoop(aLoop)
    , mServers(aServers)
  {
  }

  bool HasConnection(const scheduler::ServerInfo& aServer,
                     base::Time aOpenedBy) override;
  void Start(const scheduler::ServerInfo& aServer,
             const scheduler::StartCommand& aCommand,
             const node::StartRequest& aRequest,
             base::Duration aTimeout,
             std::function<void(node::StartResponse)> aThen) override;
  void Stop(const scheduler::ServerInfo& aServer,
            const scheduler::StopCommand& aCommand,
            const node::FencingToken& aToken,
            base::Duration aTimeout,
            std::function<void(bool)> aThen) override;
  void Report(
    const scheduler::ServerInfo& aServer,
    const node::ReportRequest& aRequest,
    base::Duration aTimeout,
    std::function<void(base::Expected<node::ReportResponse>)> aThen) override;

private:
  PausableLoop& mLoop;
  node::BackendServers& mServers;
};

} // namespace flamingoloom::testing::platform_world
