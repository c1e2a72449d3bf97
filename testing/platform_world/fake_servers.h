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
#include "testing/platform_world/invariant_checker.h"

namespace flamingoloom::testing::platform_world {

// How long a task of a job works once it runs.
using WorkTime = std::function<base::Duration(const jobs::TaskName&)>;
// How many members a task's gang has; 1 for a task by itself.
using GangSize = std::function<int(const jobs::TaskName&)>;

class FakeServers
{
public:
  FakeServers(fakes::VirtualClock& aClock,
              InvariantChecker& aChecker,
              WorkTime aWorkTime,
              GangSize aGangSize);

  void Add(const scheduler::ServerInfo& aInfo);
  // The server and all that runs on it end; another life begins.
  void Crash(const base::ServerId& aServer);
  // Instances do not reach the server; it works on.
  void SetUnreachable(const base::ServerId& aServer, bool aUnreachable);
  // Share of orders that are carried out seconds later and not answered.
  void SetLateCommandShare(double aShare) { mLateCommandShare = aShare; }
  std::vector<scheduler::ServerInfo> ServerInfos() const;

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
  bool HasUnacknowledgedCompletions(const base::ServerId& aServer) const;
  bool IsUnreachable(const base::ServerId& aServer) const;
  // Orders that are under way end with the server's life.
  int Incarnation(const base::ServerId& aServer) const;
  bool NextCommandIsLate() { return mClock.Chance(mLateCommandShare); }

private:
  struct AttemptState
  {
    bool mWorking = false;
    base::Time mStartedAt;
  };

  struct Server
  {
    scheduler::ServerInfo mInfo;
    bool mUnreachable = false;
    int mIncarnation = 1;
    std::int64_t mEpoch = 0;
    base::Time mLeaseUntil;
    base::Time mClockStartedAt;
    std::map<jobs::TaskAttempt, AttemptState> mAttempts;
    std::map<jobs::TaskName, int> mHighestEndedAttempt;
    std::vector<scheduler::TaskCompletion> mCompletions;
    std::int64_t mLastCompletion = 0;
  };

  std::int64_t ClockMs(const Server& aServer) const;
  void SetLease(Server& aServer, std::int64_t aUntilMs);
  void CheckLease(const base::ServerId& aServer, int aIncarnation);
  void BeginWork(const jobs::TaskAttempt& aAttempt);
  void FinishAttempt(const jobs::TaskAttempt& aAttempt);
  void EndAttempt(Server& aServer,
                  const jobs::TaskAttempt& aAttempt,
                  scheduler::TaskEndReason aReason);
  void AbortGang(const jobs::TaskAttempt& aAttempt);
  std::vector<std::pair<Server*, jobs::TaskAttempt>> GangMembers(
    const jobs::TaskAttempt& aAttempt);

  fakes::VirtualClock& mClock;
  InvariantChecker& mChecker;
  const WorkTime mWorkTime;
  const GangSize mGangSize;
  std::map<base::ServerId, Server> mServers;
  double mLateCommandShare = 0;
};

// One instance's way to the servers.
class ServersConnection : public node::BackendServers
{
public:
  ServersConnection(FakeServers& aServers, fakes::VirtualClock& aClock)
    : mServers(aServers)
    , mClock(aClock)
  {
  }

  // Answers that are under way are dropped: the instance is gone.
  void Disconnect() { ++mIncarnation; }

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
  void CallLater(base::Duration aDelay, std::function<void()> aThen);
  // Delay until an order takes effect, and whether its answer is lost.
  base::Duration CommandDelay(bool& aResponseLost);
  void PollReport(
    const base::ServerId& aServer,
    const node::ReportRequest& aRequest,
    int aServerIncarnation,
    base::Time aUntil,
    std::function<void(base::Expected<node::ReportResponse>)> aThen);

  FakeServers& mServers;
  fakes::VirtualClock& mClock;
  int mIncarnation = 0;
};

} // namespace flamingoloom::testing::platform_world
