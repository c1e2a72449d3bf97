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
  const auto attempts = server.mAttempts;
  for (const auto& [attempt, state] : attempts) {
    mChecker.OnOver(aServer.Value(), attempt);
    server.mAttempts.erase(attempt);
    BreakGang(attempt);
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
  const auto attempts = server.mAttempts;
  for (const auto& [attempt, state] : attempts) {
    End(server, attempt, TaskEndReason::eLeaseExpired);
  }
}

std::vector<std::pair<FakeServers::Server*, TaskAttempt>> FakeServers::Members(
  const TaskAttempt& aAttempt)
{
  std::vector<std::pair<Server*, TaskAttempt>> members;
  for (auto& [id, server] : mServers) {
    for (const auto& [attempt, state] : server.mAttempts) {
      const auto& name = attempt.mTask;
      if (attempt.mAttemptNumber == aAttempt.mAttemptNumber &&
          name.mJob == aAttempt.mTask.mJob &&
          name.mOccurrence == aAttempt.mTask.mOccurrence &&
          name.mStep == aAttempt.mTask.mStep) {
        members.emplace_back(&server, attempt);
      }
    }
  }
  return members;
}

void FakeServers::End(Server& aServer,
                      const TaskAttempt& aAttempt,
                      TaskEndReason aReason)
{
  if (aServer.mAttempts.erase(aAttempt) == 0) {
    return;
  }
  auto& highest = aServer.mHighestEnded[aAttempt.mTask];
  highest = std::max(highest, aAttempt.mAttemptNumber);
  aServer.mCompletions.push_back({ ++aServer.mLastEnd, aAttempt, aReason, "" });
  mChecker.OnOver(aServer.mInfo.mId.Value(), aAttempt);
  if (aReason != TaskEndReason::eDone) {
    BreakGang(aAttempt);
  }
}

void FakeServers::BreakGang(const TaskAttempt& aAttempt)
{
  if (mGangSize(aAttempt.mTask) == 1) {
    return;
  }
  for (auto& [server, attempt] : Members(aAttempt)) {
    End(*server, attempt, TaskEndReason::eGangAborted);
  }
}

void FakeServers::BeginWork(const TaskAttempt& aAttempt)
{
  const int size = mGangSize(aAttempt.mTask);
  if (size > 1 && static_cast<int>(Members(aAttempt).size()) < size) {
    mClock.After(kGangTimeout, [this, aAttempt] {
      for (auto& [server, attempt] : Members(aAttempt)) {
        if (attempt == aAttempt && !server->mAttempts.at(attempt).mWorking) {
          End(*server, attempt, TaskEndReason::eGangIncomplete);
          return;
        }
      }
    });
    return;
  }
  const auto members = size > 1
                         ? Members(aAttempt)
                         : std::vector<std::pair<Server*, TaskAttempt>>{};
  for (auto& [server, attempt] : members) {
    auto& state = server->mAttempts.at(attempt);
    state.mWorking = true;
    state.mStartedAt = mClock.Now();
  }
  mClock.After(mWorkTime(aAttempt.mTask),
               [this, aAttempt] { FinishAttempt(aAttempt); });
}

void FakeServers::FinishAttempt(const TaskAttempt& aAttempt)
{
  const int size = mGangSize(aAttempt.mTask);
  if (size > 1) {
    const auto members = Members(aAttempt);
    if (static_cast<int>(members.size()) < size) {
      return;
    }
    for (const auto& [server, attempt] : members) {
      mChecker.OnDone(attempt);
    }
    for (const auto& [server, attempt] : members) {
      End(*server, attempt, TaskEndReason::eDone);
    }
    return;
  }
  for (auto& [id, server] : mServers) {
    if (server.mAttempts.count(aAttempt) > 0) {
      mChecker.OnDone(aAttempt);
      End(server, aAttempt, TaskEndReason::eDone);
      return;
    }
  }
}

std::optional<StartResult> FakeServers::Start(
  const ServerId& aServer,
  const scheduler::StartCommand& aCommand,
  std::int64_t aEpoch,
  std::int64_t aLeaseUntilMs)
{
  Server& server = mServers.at(aServer);
  if (aEpoch < server.mEpoch) {
    return StartResult::eFenced;
  }
  server.mEpoch = aEpoch;
  const auto& attempt = aCommand.mAttempt;
  if (server.mAttempts.count(attempt) > 0) {
    SetLease(server, aLeaseUntilMs);
    return StartResult::eStarted;
  }
  if (aLeaseUntilMs <= ClockMs(server)) {
    return StartResult::eTooLate;
  }
  const auto ended = server.mHighestEnded.find(attempt.mTask);
  if (ended != server.mHighestEnded.end() &&
      attempt.mAttemptNumber <= ended->second) {
    return StartResult::eStaleAttempt;
  }
  if (static_cast<std::int64_t>(server.mAttempts.size()) >=
      server.mInfo.mCapacity.mAccelerators) {
    return StartResult::eNoCapacity;
  }
  SetLease(server, aLeaseUntilMs);
  server.mAttempts.emplace(attempt,
                           Run{ mGangSize(attempt.mTask) == 1, mClock.Now() });
  mChecker.OnStart(mClock.Now(), aServer.Value(), attempt);
  BeginWork(attempt);
  return StartResult::eStarted;
}

bool FakeServers::Stop(const ServerId& aServer,
                       const scheduler::StopCommand& aCommand,
                       std::int64_t aEpoch)
{
  Server& server = mServers.at(aServer);
  if (aEpoch < server.mEpoch) {
    return false;
  }
  server.mEpoch = aEpoch;
  auto& highest = server.mHighestEnded[aCommand.mAttempt.mTask];
  highest = std::max(highest, aCommand.mAttempt.mAttemptNumber);
  End(server, aCommand.mAttempt, TaskEndReason::eStopped);
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
  auto& completions = server.mCompletions;
  while (!completions.empty() &&
         completions.front().mNumber <= aRequest.mAckThrough) {
    if (completions.front().mEndReason == TaskEndReason::eDone) {
      mChecker.OnDoneAcknowledged(completions.front().mAttempt);
    }
    completions.erase(completions.begin());
  }
  node::ReportResponse response;
  response.mClockMs = ClockMs(server);
  response.mReport.mStartedMs = server.mLife;
  response.mReport.mCompletions = completions;
  for (const auto& [attempt, state] : server.mAttempts) {
    int percent = 0;
    if (state.mWorking) {
      percent = static_cast<int>(100 * (mClock.Now() - state.mStartedAt) /
                                 mWorkTime(attempt.mTask));
    }
    response.mReport.mRunning.push_back(
      { attempt, "", std::min(percent, 100), -1 });
  }
  return response;
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
                        const scheduler::StartCommand& aCommand,
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
                aCommand,
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
                 const auto result =
                   mServers.Start(id, aCommand, aEpoch, aLeaseUntilMs);
                 if (!lost && life == mLife) {
                   Later(kHop, [aThen, result] { aThen(*result); });
                 }
               });
  if (lost) {
    Later(aTimeout, [then = aThen] { then(StartResult::eUnknown); });
  }
}

void ServersLink::Stop(const scheduler::ServerInfo& aServer,
                       const scheduler::StopCommand& aCommand,
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
  mClock.After(delay, [this, id, aCommand, aEpoch, lost, life = mLife, aThen] {
    const bool done = mServers.Stop(id, aCommand, aEpoch);
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
      auto response = mServers.Report(aServer, aRequest);
      const bool wait =
        response && mClock.Now() < aUntil && !mServers.HasNews(aServer);
      if (life != mLife) {
        return;
      }
      if (wait) {
        // The acknowledgement counts when the call arrives, not while it waits.
        auto waiting = aRequest;
        waiting.mAckThrough = 0;
        PollReport(aServer, waiting, aServerLife, aUntil, then);
      } else {
        Later(kHop, [then, response] { then(response); });
      }
    });
}

} // namespace flamingoloom::testing::platform_world
