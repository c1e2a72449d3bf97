#include "testing/platform_world/fake_servers.h"

#include <algorithm>

namespace flamingoloom::testing::platform_world {

using base::Duration;
using base::ErrorCode;
using base::Expected;
using base::MakeError;
using base::ServerId;
using base::Time;
using jobs::TaskAttempt;
using scheduler::StartResult;
using scheduler::TaskEndReason;
using std::chrono::milliseconds;

namespace {

constexpr auto kHop = milliseconds(2);
constexpr auto kMaxLease = milliseconds(10000);
// Servers' clocks run this much too slowly at worst.
constexpr double kClockRate = 0.98;
constexpr auto kGangTimeout = milliseconds(3000);

} // namespace

FakeServers::FakeServers(fakes::VirtualClock& aClock,
                         Checker& aChecker,
                         WorkTime aWorkTime,
                         GangSize aGangSize)
  : mClock(aClock)
  , mChecker(aChecker)
  , mWorkTime(std::move(aWorkTime))
  , mGangSize(std::move(aGangSize))
{
}

void FakeServers::Add(const scheduler::ServerInfo& aInfo)
{
  Server server;
  server.mInfo = aInfo;
  server.mInfo.mStartedMs = 1;
  server.mBorn = mClock.Now();
  mServers.emplace(aInfo.mId, server);
}

void FakeServers::Crash(const ServerId& aServer)
{
  Server& server = mServers.at(aServer);
  const auto runs = server.mRuns;
  for (const auto& [run, state] : runs) {
    mChecker.OnOver(aServer.Value(), run);
    server.mRuns.erase(run);
    BreakGang(run);
  }
  const auto info = server.mInfo;
  const int life = server.mLife + 1;
  const bool cut = server.mCut;
  server = Server{};
  server.mInfo = info;
  server.mLife = life;
  server.mInfo.mStartedMs = life;
  server.mCut = cut;
  server.mBorn = mClock.Now();
}

void FakeServers::SetCut(const ServerId& aServer, bool aCut)
{
  mServers.at(aServer).mCut = aCut;
}

bool FakeServers::IsCut(const ServerId& aServer) const
{
  return mServers.at(aServer).mCut;
}

int FakeServers::Life(const ServerId& aServer) const
{
  return mServers.at(aServer).mLife;
}

std::vector<scheduler::ServerInfo> FakeServers::Listed() const
{
  std::vector<scheduler::ServerInfo> infos;
  for (const auto& [id, server] : mServers) {
    infos.push_back(server.mInfo);
  }
  return infos;
}

std::int64_t FakeServers::ClockMs(const Server& aServer) const
{
  const auto age = mClock.Now() - aServer.mBorn;
  return static_cast<std::int64_t>(
    static_cast<double>(base::ToMilliseconds(age)) * kClockRate);
}

void FakeServers::SetLease(Server& aServer, std::int64_t aUntilMs)
{
  const auto left =
    std::min<std::int64_t>(aUntilMs - ClockMs(aServer), kMaxLease.count());
  const auto until = mClock.Now() + milliseconds(static_cast<std::int64_t>(
                                      static_cast<double>(left) / kClockRate));
  if (until > aServer.mLeaseUntil) {
    aServer.mLeaseUntil = until;
    mClock.At(until, [this, id = aServer.mInfo.mId, life = aServer.mLife] {
      CheckLease(id, life);
    });
  }
}

void FakeServers::CheckLease(const ServerId& aServer, int aLife)
{
  Server& server = mServers.at(aServer);
  if (server.mLife != aLife || mClock.Now() < server.mLeaseUntil) {
    return;
  }
  const auto runs = server.mRuns;
  for (const auto& [run, state] : runs) {
    End(server, run, TaskEndReason::eLeaseExpired);
  }
}

std::vector<std::pair<FakeServers::Server*, TaskAttempt>> FakeServers::Members(
  const TaskAttempt& aRun)
{
  std::vector<std::pair<Server*, TaskAttempt>> members;
  for (auto& [id, server] : mServers) {
    for (const auto& [run, state] : server.mRuns) {
      const auto& name = run.mTask;
      if (run.mAttemptNumber == aRun.mAttemptNumber &&
          name.mJob == aRun.mTask.mJob &&
          name.mOccurrence == aRun.mTask.mOccurrence &&
          name.mStep == aRun.mTask.mStep) {
        members.emplace_back(&server, run);
      }
    }
  }
  return members;
}

void FakeServers::End(Server& aServer,
                      const TaskAttempt& aRun,
                      TaskEndReason aEnd)
{
  if (aServer.mRuns.erase(aRun) == 0) {
    return;
  }
  auto& highest = aServer.mHighestEnded[aRun.mTask];
  highest = std::max(highest, aRun.mAttemptNumber);
  aServer.mCompletions.push_back({ ++aServer.mLastEnd, aRun, aEnd, "" });
  mChecker.OnOver(aServer.mInfo.mId.Value(), aRun);
  if (aEnd != TaskEndReason::eDone) {
    BreakGang(aRun);
  }
}

void FakeServers::BreakGang(const TaskAttempt& aRun)
{
  if (mGangSize(aRun.mTask) == 1) {
    return;
  }
  for (auto& [server, run] : Members(aRun)) {
    End(*server, run, TaskEndReason::eGangBroken);
  }
}

void FakeServers::BeginWork(const TaskAttempt& aRun)
{
  const int size = mGangSize(aRun.mTask);
  if (size > 1 && static_cast<int>(Members(aRun).size()) < size) {
    mClock.After(kGangTimeout, [this, aRun] {
      for (auto& [server, run] : Members(aRun)) {
        if (run == aRun && !server->mRuns.at(run).mWorking) {
          End(*server, run, TaskEndReason::eGangIncomplete);
          return;
        }
      }
    });
    return;
  }
  const auto members =
    size > 1 ? Members(aRun) : std::vector<std::pair<Server*, TaskAttempt>>{};
  for (auto& [server, run] : members) {
    auto& state = server->mRuns.at(run);
    state.mWorking = true;
    state.mStartedAt = mClock.Now();
  }
  mClock.After(mWorkTime(aRun.mTask), [this, aRun] { FinishRun(aRun); });
}

void FakeServers::FinishRun(const TaskAttempt& aRun)
{
  const int size = mGangSize(aRun.mTask);
  if (size > 1) {
    const auto members = Members(aRun);
    if (static_cast<int>(members.size()) < size) {
      return;
    }
    for (const auto& [server, run] : members) {
      mChecker.OnDone(run);
    }
    for (const auto& [server, run] : members) {
      End(*server, run, TaskEndReason::eDone);
    }
    return;
  }
  for (auto& [id, server] : mServers) {
    if (server.mRuns.count(aRun) > 0) {
      mChecker.OnDone(aRun);
      End(server, aRun, TaskEndReason::eDone);
      return;
    }
  }
}

std::optional<StartResult> FakeServers::Start(
  const ServerId& aServer,
  const scheduler::StartCommand& aOrder,
  std::int64_t aEpoch,
  std::int64_t aLeaseUntilMs)
{
  Server& server = mServers.at(aServer);
  if (aEpoch < server.mEpoch) {
    return StartResult::eFenced;
  }
  server.mEpoch = aEpoch;
  const auto& run = aOrder.mAttempt;
  if (server.mRuns.count(run) > 0) {
    SetLease(server, aLeaseUntilMs);
    return StartResult::eStarted;
  }
  if (aLeaseUntilMs <= ClockMs(server)) {
    return StartResult::eTooLate;
  }
  const auto ended = server.mHighestEnded.find(run.mTask);
  if (ended != server.mHighestEnded.end() &&
      run.mAttemptNumber <= ended->second) {
    return StartResult::eStaleAttempt;
  }
  if (static_cast<std::int64_t>(server.mRuns.size()) >=
      server.mInfo.mCapacity.mAccelerators) {
    return StartResult::eNoCapacity;
  }
  SetLease(server, aLeaseUntilMs);
  server.mRuns.emplace(run, Run{ mGangSize(run.mTask) == 1, mClock.Now() });
  mChecker.OnStart(mClock.Now(), aServer.Value(), run);
  BeginWork(run);
  return StartResult::eStarted;
}

bool FakeServers::Stop(const ServerId& aServer,
                       const scheduler::StopCommand& aOrder,
                       std::int64_t aEpoch)
{
  Server& server = mServers.at(aServer);
  if (aEpoch < server.mEpoch) {
    return false;
  }
  server.mEpoch = aEpoch;
  auto& highest = server.mHighestEnded[aOrder.mAttempt.mTask];
  highest = std::max(highest, aOrder.mAttempt.mAttemptNumber);
  End(server, aOrder.mAttempt, TaskEndReason::eStopped);
  return true;
}

bool FakeServers::HasNews(const ServerId& aServer) const
{
  return !mServers.at(aServer).mCompletions.empty();
}

Expected<node::ReportResponse> FakeServers::Report(
  const ServerId& aServer,
  const node::ReportRequest& aRequest)
{
  Server& server = mServers.at(aServer);
  if (aRequest.mEpoch < server.mEpoch) {
    return MakeError(
      ErrorCode::eStaleEpoch, "report", aServer.Value(), "fence");
  }
  server.mEpoch = aRequest.mEpoch;
  if (aRequest.mLeaseUntilMs) {
    SetLease(server, *aRequest.mLeaseUntilMs);
  }
  auto& ended = server.mCompletions;
  while (!ended.empty() && ended.front().mNumber <= aRequest.mAckThrough) {
    if (ended.front().mEndReason == TaskEndReason::eDone) {
      mChecker.OnDoneAcknowledged(ended.front().mAttempt);
    }
    ended.erase(ended.begin());
  }
  node::ReportResponse answer;
  answer.mClockMs = ClockMs(server);
  answer.mReport.mStartedMs = server.mLife;
  answer.mReport.mCompletions = ended;
  for (const auto& [run, state] : server.mRuns) {
    int percent = 0;
    if (state.mWorking) {
      percent = static_cast<int>(100 * (mClock.Now() - state.mStartedAt) /
                                 mWorkTime(run.mTask));
    }
    answer.mReport.mRunning.push_back({ run, "", std::min(percent, 100), -1 });
  }
  return answer;
}

void ServersLink::Later(Duration aDelay, std::function<void()> aThen)
{
  mClock.After(aDelay, [this, life = mLife, then = std::move(aThen)] {
    if (life == mLife) {
      then();
    }
  });
}

Duration ServersLink::OrderDelay(bool& aLost)
{
  aLost = mServers.NextIsLate();
  return aLost ? mClock.Between(milliseconds(500), milliseconds(9000))
               : Duration(kHop);
}

void ServersLink::Start(const scheduler::ServerInfo& aServer,
                        const scheduler::StartCommand& aOrder,
                        std::int64_t aEpoch,
                        std::int64_t aLeaseUntilMs,
                        Duration aTimeout,
                        std::function<void(StartResult)> aThen)
{
  const auto id = aServer.mId;
  bool lost = false;
  const auto delay = OrderDelay(lost);
  if (mServers.IsCut(id)) {
    Later(aTimeout, [then = aThen] { then(StartResult::eUnknown); });
    return;
  }
  mClock.After(delay,
               [this,
                id,
                aOrder,
                aEpoch,
                aLeaseUntilMs,
                lost,
                serverLife = mServers.Life(id),
                life = mLife,
                aThen] {
                 if (mServers.Life(id) != serverLife) {
                   if (!lost && life == mLife) {
                     Later(kHop, [aThen] { aThen(StartResult::eUnknown); });
                   }
                   return;
                 }
                 const auto answer =
                   mServers.Start(id, aOrder, aEpoch, aLeaseUntilMs);
                 if (!lost && life == mLife) {
                   Later(kHop, [aThen, answer] { aThen(*answer); });
                 }
               });
  if (lost) {
    Later(aTimeout, [then = aThen] { then(StartResult::eUnknown); });
  }
}

void ServersLink::Stop(const scheduler::ServerInfo& aServer,
                       const scheduler::StopCommand& aOrder,
                       std::int64_t aEpoch,
                       Duration aTimeout,
                       std::function<void(bool)> aThen)
{
  const auto id = aServer.mId;
  bool lost = false;
  const auto delay = OrderDelay(lost);
  if (mServers.IsCut(id)) {
    Later(aTimeout, [then = aThen] { then(false); });
    return;
  }
  mClock.After(delay, [this, id, aOrder, aEpoch, lost, life = mLife, aThen] {
    const bool done = mServers.Stop(id, aOrder, aEpoch);
    if (!lost && life == mLife) {
      Later(kHop, [aThen, done] { aThen(done); });
    }
  });
  if (lost) {
    Later(aTimeout, [then = aThen] { then(false); });
  }
}

void ServersLink::Report(
  const scheduler::ServerInfo& aServer,
  const node::ReportRequest& aRequest,
  Duration aTimeout,
  std::function<void(Expected<node::ReportResponse>)> aThen)
{
  const auto id = aServer.mId;
  if (mServers.IsCut(id)) {
    Later(aTimeout, [then = std::move(aThen), id] {
      then(
        MakeError(ErrorCode::eOutcomeUnknown, "report", id.Value(), "cut off"));
    });
    return;
  }
  PollReport(id,
             aRequest,
             mServers.Life(id),
             mClock.Now() + aRequest.mWait,
             std::move(aThen));
}

void ServersLink::PollReport(
  const ServerId& aServer,
  const node::ReportRequest& aRequest,
  int aServerLife,
  Time aUntil,
  std::function<void(Expected<node::ReportResponse>)> aThen)
{
  mClock.After(
    kHop,
    [this,
     aServer,
     aRequest,
     aServerLife,
     aUntil,
     life = mLife,
     then = std::move(aThen)] {
      if (mServers.Life(aServer) != aServerLife) {
        // The connection ended with the server's life.
        if (life == mLife) {
          then(MakeError(
            ErrorCode::eOutcomeUnknown, "report", aServer.Value(), "closed"));
        }
        return;
      }
      auto answer = mServers.Report(aServer, aRequest);
      const bool wait =
        answer && mClock.Now() < aUntil && !mServers.HasNews(aServer);
      if (life != mLife) {
        return;
      }
      if (wait) {
        // The acknowledgement counts when the call arrives, not while it waits.
        auto waiting = aRequest;
        waiting.mAckThrough = 0;
        PollReport(aServer, waiting, aServerLife, aUntil, then);
      } else {
        Later(kHop, [then, answer] { then(answer); });
      }
    });
}

} // namespace flamingoloom::testing::platform_world
