// Backend servers as the platform describes them, under virtual time: fencing
// tokens, leases, gangs whose members work only together, numbered completions,
// and commands that take effect late.
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

// How long a task works once its attempt has started.
using WorkTime = std::function<base::Duration(const jobs::TaskName&)>;
// Number of members of a task's gang; 1 for a task without a gang.
using GangSize = std::function<int(const jobs::TaskName&)>;

class FakeServers
{
public:
  FakeServers(fakes::VirtualClock& aClock,
              InvariantChecker& aChecker,
              WorkTime aWorkTime,
              GangSize aGangSize);

  void Add(const scheduler::ServerInfo& aInfo);
  // The server and all its attempts end, and a new incarnation starts, at
  // aStartedMs by its wall clock if that is given.
  void Crash(const base::ServerId& aServer,
             std::optional<std::int64_t> aStartedMs = std::nullopt);
  // Instances cannot reach the server, which keeps working.
  void SetUnreachable(const base::ServerId& aServer, bool aUnreachable);
  // Share of commands that take effect seconds later and whose responses are
  // lost.
  void SetLateCommandShare(double aShare) { mLateCommandShare = aShare; }
  std::vector<scheduler::ServerInfo> ServerInfos() const;
  // Returns null if there is no such server.
  const scheduler::ServerInfo* FindInfo(const base::ServerId& aServer) const;

  // Calls of instances. The caller checks first whether the server is
  // reachable.
  std::optional<scheduler::StartResult> Start(
    const base::ServerId& aServer,
    const scheduler::StartCommand& aCommand,
    const node::StartRequest& aRequest);
  bool Stop(const base::ServerId& aServer,
            const scheduler::StopCommand& aCommand,
            const node::FencingToken& aToken);
  base::Expected<node::ReportResponse> Report(
    const base::ServerId& aServer,
    const node::ReportRequest& aRequest);
  // Whether there are completions that were not acknowledged.
  bool HasUnacknowledgedCompletions(const base::ServerId& aServer) const;
  bool IsUnreachable(const base::ServerId& aServer) const;
  // Start commands and report requests in flight are lost when the incarnation
  // changes.
  int Incarnation(const base::ServerId& aServer) const;
  // Whether the server has run as the same incarnation since aOpenedBy, so that
  // a connection from then can be used.
  bool KeepsConnections(const base::ServerId& aServer,
                        const std::optional<base::Time>& aOpenedBy) const;
  std::int64_t ClockMs(const base::ServerId& aServer) const
  {
    return ClockMs(mServers.at(aServer));
  }
  // Share of the calls that find no open connection.
  void SetNewConnectionShare(double aShare) { mNewConnectionShare = aShare; }
  bool NextCallFindsConnection()
  {
    return mNewConnectionShare == 0 || !mClock.Chance(mNewConnectionShare);
  }
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
    node::FencingToken mToken;
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
  double mNewConnectionShare = 0;
};

// One instance's connection to the servers.
class ServersConnection : public node::BackendServers
{
public:
  ServersConnection(FakeServers& aServers, fakes::VirtualClock& aClock)
    : mServers(aServers)
    , mClock(aClock)
  {
  }

  // Drops responses in flight, since the instance was killed.
  void Disconnect() { ++mIncarnation; }

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
  void CallLater(base::Duration aDelay, std::function<void()> aThen);
  // Returns the delay until a command takes effect, and sets aResponseLost if
  // its response is lost.
  base::Duration CommandDelay(bool& aResponseLost);
  void PollReport(
    const base::ServerId& aServer,
    const node::ReportRequest& aRequest,
    int aServerIncarnation,
    base::Time aUntil,
    base::Time aTimesOutAt,
    std::function<void(base::Expected<node::ReportResponse>)> aThen);

  FakeServers& mServers;
  fakes::VirtualClock& mClock;
  int mIncarnation = 0;
};

} // namespace flamingoloom::testing::platform_world
