// Backend servers as the platform describes them, under virtual time: fences,
// leases, gangs that work only together, numbered ends, late orders.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/node/ports.h"
#include "testing/fakes/virtual_clock.h"
#include "testing/platform_world/checker.h"

namespace flamingoloom::testing::platform_world {

// How long a task of a job works once it runs.
using WorkTime = std::function<base::Duration(const jobs::TaskName&)>;
// How many members a task's gang has; 1 for a task by itself.
using GangSize = std::function<int(const jobs::TaskName&)>;

class FakeServers
{
public:
  FakeServers(fakes::VirtualClock& aClock,
              Checker& aChecker,
              WorkTime aWorkTime,
              GangSize aGangSize);

  void Add(const scheduler::ServerInfo& aInfo);
  // The server and all that runs on it end; another life begins.
  void Crash(const base::ServerId& aServer);
  // Instances do not reach the server; it works on.
  void SetCut(const base::ServerId& aServer, bool aCut);
  // Share of orders that are carried out seconds later and not answered.
  void SetLateShare(double aShare) { mLateShare = aShare; }
  std::vector<scheduler::ServerInfo> Listed() const;

  // Calls of instances; aThen gets no answer if the server is cut off.
  std::optional<scheduler::StartResult> Start(
    const base::ServerId& aServer,
    const scheduler::StartCommand& aCommand,
    std::int64_t aEpoch,
    std::int64_t aLeaseUntilMs);
  bool Stop(const base::ServerId& aServer,
            const scheduler::StopCommand& aCommand,
            std::int64_t aEpoch);
  base::Expected<node::ReportResponse> Report(
    const base::ServerId& aServer,
    const node::ReportRequest& aRequest);
  // Ends are listed that nobody has acknowledged.
  bool HasNews(const base::ServerId& aServer) const;
  bool IsCut(const base::ServerId& aServer) const;
  // Orders that are under way end with the server's life.
  int Life(const base::ServerId& aServer) const;
  bool NextIsLate() { return mClock.Chance(mLateShare); }

private:
  struct Run
  {
    bool mWorking = false;
    base::Time mStartedAt;
  };

  struct Server
  {
    scheduler::ServerInfo mInfo;
    bool mCut = false;
    int mLife = 1;
    std::int64_t mEpoch = 0;
    base::Time mLeaseUntil;
    base::Time mBorn;
    std::map<jobs::TaskAttempt, Run> mAttempts;
    std::map<jobs::TaskName, int> mHighestEnded;
    std::vector<scheduler::TaskCompletion> mCompletions;
    std::int64_t mLastEnd = 0;
  };

  std::int64_t ClockMs(const Server& aServer) const;
  void SetLease(Server& aServer, std::int64_t aUntilMs);
  void CheckLease(const base::ServerId& aServer, int aLife);
  void BeginWork(const jobs::TaskAttempt& aAttempt);
  void FinishAttempt(const jobs::TaskAttempt& aAttempt);
  void End(Server& aServer,
           const jobs::TaskAttempt& aAttempt,
           scheduler::TaskEndReason aReason);
  void BreakGang(const jobs::TaskAttempt& aAttempt);
  std::vector<std::pair<Server*, jobs::TaskAttempt>> Members(
    const jobs::TaskAttempt& aAttempt);

  fakes::VirtualClock& mClock;
  Checker& mChecker;
  const WorkTime mWorkTime;
  const GangSize mGangSize;
  std::map<base::ServerId, Server> mServers;
  double mLateShare = 0;
};

// One instance's way to the servers.
class ServersLink : public node::BackendServers
{
public:
  ServersLink(FakeServers& aServers, fakes::VirtualClock& aClock)
    : mServers(aServers)
    , mClock(aClock)
  {
  }

  // Answers that are under way are dropped: the instance is gone.
  void Cut() { ++mLife; }

  void Start(const scheduler::ServerInfo& aServer,
             const scheduler::StartCommand& aCommand,
             std::int64_t aEpoch,
             std::int64_t aLeaseUntilMs,
             base::Duration aTimeout,
             std::function<void(scheduler::StartResult)> aThen) override;
  void Stop(const scheduler::ServerInfo& aServer,
            const scheduler::StopCommand& aCommand,
            std::int64_t aEpoch,
            base::Duration aTimeout,
            std::function<void(bool)> aThen) override;
  void Report(
    const scheduler::ServerInfo& aServer,
    const node::ReportRequest& aRequest,
    base::Duration aTimeout,
    std::function<void(base::Expected<node::ReportResponse>)> aThen) override;

private:
  void Later(base::Duration aDelay, std::function<void()> aThen);
  // Delay until an order takes effect, and whether its answer is lost.
  base::Duration OrderDelay(bool& aLost);
  void PollReport(
    const base::ServerId& aServer,
    const node::ReportRequest& aRequest,
    int aServerLife,
    base::Time aUntil,
    std::function<void(base::Expected<node::ReportResponse>)> aThen);

  FakeServers& mServers;
  fakes::VirtualClock& mClock;
  int mLife = 0;
};

} // namespace flamingoloom::testing::platform_world
