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

constexpr auto kNetworkDelay = milliseconds(2);
constexpr auto kMaxLease = milliseconds(10000);
// Rate of the servers' clocks, the slowest that instances allow for.
constexpr double kClockRate = 0.98;
constexpr auto kGangTimeout = milliseconds(3000);

} // namespace

FakeServers::FakeServers(fakes::VirtualClock& aClock,
                         InvariantChecker& aChecker,
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
  server.mClockStartedAt = mClock.Now();
  mServers.emplace(aInfo.mId, server);
}

void FakeServers::Crash(const ServerId& aServer,
                        std::optional<std::int64_t> aStartedMs)
{
  Server& server = mServers.at(aServer);
  const auto attempts = server.mAttempts;
  for (const auto& [attempt, state] : attempts) {
    mChecker.OnAttemptOver(aServer.Value(), attempt);
    server.mAttempts.erase(attempt);
    AbortGang(attempt);
  }
  const auto info = server.mInfo;
  const int incarnation = server.mIncarnation + 1;
  const bool unreachable = server.mUnreachable;
  server = Server{};
  server.mInfo = info;
  server.mIncarnation = incarnation;
  server.mInfo.mStartedMs = aStartedMs.value_or(incarnation);
  server.mUnreachable = unreachable;
  server.mClockStartedAt = mClock.Now();
}

void FakeServers::SetUnreachable(const ServerId& aServer, bool aUnreachable)
{
  mServers.at(aServer).mUnreachable = aUnreachable;
}

bool FakeServers::IsUnreachable(const ServerId& aServer) const
{
  return mServers.at(aServer).mUnreachable;
}

int FakeServers::Incarnation(const ServerId& aServer) const
{
  return mServers.at(aServer).mIncarnation;
}

bool FakeServers::KeepsConnections(const ServerId& aServer,
                                   const std::optional<Time>& aOpenedBy) const
{
  return !aOpenedBy || mServers.at(aServer).mClockStartedAt <= *aOpenedBy;
}

const scheduler::ServerInfo* FakeServers::FindInfo(
  const base::ServerId& aServer) const
{
  const auto server = mServers.find(aServer);
  return server == mServers.end() ? nullptr : &server->second.mInfo;
}

std::vector<scheduler::ServerInfo> FakeServers::ServerInfos() const
{
  std::vector<scheduler::ServerInfo> infos;
  for (const auto& [id, server] : mServers) {
    infos.push_back(server.mInfo);
  }
  return infos;
}

std::int64_t FakeServers::ClockMs(const Server& aServer) const
{
  const auto age = mClock.Now() - aServer.mClockStartedAt;
  return static_cast<std::int64_t>(
    static_cast<double>(base::ToMilliseconds(age)) * kClockRate);
}

void FakeServers::SetLease(Server& aServer, std::int64_t aUntilMs)
{
  const auto remaining =
    std::min<std::int64_t>(aUntilMs - ClockMs(aServer), kMaxLease.count());
  const auto until =
    mClock.Now() + milliseconds(static_cast<std::int64_t>(
                     static_cast<double>(remaining) / kClockRate));
  if (until > aServer.mLeaseUntil) {
    aServer.mLeaseUntil = until;
    mClock.At(
      until,
      [this, id = aServer.mInfo.mId, incarnation = aServer.mIncarnation] {
        CheckLease(id, incarnation);
      });
  }
}

void FakeServers::CheckLease(const ServerId& aServer, int aIncarnation)
{
  Server& server = mServers.at(aServer);
  if (server.mIncarnation != aIncarnation ||
      mClock.Now() < server.mLeaseUntil) {
    return;
  }
  const auto attempts = server.mAttempts;
  for (const auto& [attempt, state] : attempts) {
    EndAttempt(server, attempt, TaskEndReason::eLeaseExpired);
  }
}

std::vector<std::pair<FakeServers::Server*, TaskAttempt>>
FakeServers::GangMembers(const TaskAttempt& aAttempt)
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

void FakeServers::EndAttempt(Server& aServer,
                             const TaskAttempt& aAttempt,
                             TaskEndReason aReason)
{
  if (aServer.mAttempts.erase(aAttempt) == 0) {
    return;
  }
  auto& highest = aServer.mHighestEndedAttempt[aAttempt.mTask];
  highest = std::max(highest, aAttempt.mAttemptNumber);
  aServer.mCompletions.push_back(
    { ++aServer.mLastCompletion, aAttempt, aReason, "" });
  mChecker.OnAttemptOver(aServer.mInfo.mId.Value(), aAttempt);
  if (aReason != TaskEndReason::eDone) {
    AbortGang(aAttempt);
  }
}

void FakeServers::AbortGang(const TaskAttempt& aAttempt)
{
  if (mGangSize(aAttempt.mTask) == 1) {
    return;
  }
  for (auto& [server, attempt] : GangMembers(aAttempt)) {
    EndAttempt(*server, attempt, TaskEndReason::eGangAborted);
  }
}

void FakeServers::BeginWork(const TaskAttempt& aAttempt)
{
  const int size = mGangSize(aAttempt.mTask);
  if (size > 1 && static_cast<int>(GangMembers(aAttempt).size()) < size) {
    mClock.After(kGangTimeout, [this, aAttempt] {
      for (auto& [server, attempt] : GangMembers(aAttempt)) {
        if (attempt == aAttempt && !server->mAttempts.at(attempt).mWorking) {
          EndAttempt(*server, attempt, TaskEndReason::eGangIncomplete);
          return;
        }
      }
    });
    return;
  }
  const auto members = size > 1
                         ? GangMembers(aAttempt)
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
    const auto members = GangMembers(aAttempt);
    if (static_cast<int>(members.size()) < size) {
      return;
    }
    for (const auto& [server, attempt] : members) {
      mChecker.OnDone(attempt);
    }
    for (const auto& [server, attempt] : members) {
      EndAttempt(*server, attempt, TaskEndReason::eDone);
    }
    return;
  }
  for (auto& [id, server] : mServers) {
    if (server.mAttempts.count(aAttempt) > 0) {
      mChecker.OnDone(aAttempt);
      EndAttempt(server, aAttempt, TaskEndReason::eDone);
      return;
    }
  }
}

std::optional<StartResult> FakeServers::Start(
  const ServerId& aServer,
  const scheduler::StartCommand& aCommand,
  const node::StartRequest& aRequest)
{
  Server& server = mServers.at(aServer);
  if (aRequest.mToken < server.mToken) {
    return StartResult::eFenced;
  }
  server.mToken = aRequest.mToken;
  const auto& attempt = aCommand.mAttempt;
  if (server.mAttempts.count(attempt) > 0) {
    SetLease(server, aRequest.mLeaseUntilMs);
    return StartResult::eStarted;
  }
  if (aRequest.mLeaseUntilMs <= ClockMs(server)) {
    return StartResult::eTooLate;
  }
  const auto ended = server.mHighestEndedAttempt.find(attempt.mTask);
  if (ended != server.mHighestEndedAttempt.end() &&
      attempt.mAttemptNumber <= ended->second) {
    return StartResult::eStaleAttempt;
  }
  if (static_cast<std::int64_t>(server.mAttempts.size()) >=
      server.mInfo.mCapacity.mAccelerators) {
    return StartResult::eNoCapacity;
  }
  SetLease(server, aRequest.mLeaseUntilMs);
  server.mAttempts.emplace(
    attempt, AttemptState{ mGangSize(attempt.mTask) == 1, mClock.Now() });
  mChecker.OnStart(mClock.Now(), aServer.Value(), attempt);
  BeginWork(attempt);
  return StartResult::eStarted;
}

bool FakeServers::Stop(const ServerId& aServer,
                       const scheduler::StopCommand& aCommand,
                       const node::FencingToken& aToken)
{
  Server& server = mServers.at(aServer);
  if (aToken < server.mToken) {
    return false;
  }
  server.mToken = aToken;
  auto& highest = server.mHighestEndedAttempt[aCommand.mAttempt.mTask];
  highest = std::max(highest, aCommand.mAttempt.mAttemptNumber);
  EndAttempt(server, aCommand.mAttempt, TaskEndReason::eStopped);
  return true;
}

bool FakeServers::HasUnacknowledgedCompletions(const ServerId& aServer) const
{
  return !mServers.at(aServer).mCompletions.empty();
}

Expected<node::ReportResponse> FakeServers::Report(
  const ServerId& aServer,
  const node::ReportRequest& aRequest)
{
  Server& server = mServers.at(aServer);
  if (aRequest.mToken < server.mToken) {
    return MakeError(
      ErrorCode::eStaleEpoch, "report", aServer.Value(), "fence");
  }
  server.mToken = aRequest.mToken;
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
  response.mReport.mStartedMs = server.mInfo.mStartedMs;
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

void ServersConnection::CallLater(Duration aDelay, std::function<void()> aThen)
{
  mClock.After(aDelay,
               [this, incarnation = mIncarnation, then = std::move(aThen)] {
                 if (incarnation == mIncarnation) {
                   then();
                 }
               });
}

Duration ServersConnection::CommandDelay(bool& aResponseLost)
{
  aResponseLost = mServers.NextCommandIsLate();
  return aResponseLost ? mClock.Between(milliseconds(500), milliseconds(9000))
                       : Duration(kNetworkDelay);
}

bool ServersConnection::HasConnection(const scheduler::ServerInfo& aServer,
                                      Time aOpenedBy)
{
  // A crash closes the connections.
  return mServers.KeepsConnections(aServer.mId, aOpenedBy) &&
         mServers.NextCallFindsConnection();
}

void ServersConnection::Start(const scheduler::ServerInfo& aServer,
                              const scheduler::StartCommand& aCommand,
                              const node::StartRequest& aRequest,
                              Duration aTimeout,
                              std::function<void(node::StartResponse)> aThen)
{
  const auto id = aServer.mId;
  bool responseLost = false;
  const auto delay = CommandDelay(responseLost);
  if (mServers.IsUnreachable(id) ||
      !mServers.KeepsConnections(id, aRequest.mConnectedBy)) {
    CallLater(aTimeout, [then = aThen] { then({}); });
    return;
  }
  mClock.After(delay,
               [this,
                id,
                aCommand,
                aRequest,
                responseLost,
                serverIncarnation = mServers.Incarnation(id),
                incarnation = mIncarnation,
                aThen] {
                 if (mServers.Incarnation(id) != serverIncarnation) {
                   if (!responseLost && incarnation == mIncarnation) {
                     CallLater(kNetworkDelay, [aThen] { aThen({}); });
                   }
                   return;
                 }
                 const auto result = mServers.Start(id, aCommand, aRequest);
                 if (!responseLost && incarnation == mIncarnation) {
                   CallLater(kNetworkDelay,
                             [aThen, result, clockMs = mServers.ClockMs(id)] {
                               aThen({ *result, clockMs });
                             });
                 }
               });
  if (responseLost) {
    CallLater(aTimeout, [then = aThen] { then({}); });
  }
}

void ServersConnection::Stop(const scheduler::ServerInfo& aServer,
                             const scheduler::StopCommand& aCommand,
                             const node::FencingToken& aToken,
                             Duration aTimeout,
                             std::function<void(bool)> aThen)
{
  const auto id = aServer.mId;
  bool responseLost = false;
  const auto delay = CommandDelay(responseLost);
  if (mServers.IsUnreachable(id)) {
    CallLater(aTimeout, [then = aThen] { then(false); });
    return;
  }
  mClock.After(delay,
               [this,
                id,
                aCommand,
                aToken,
                responseLost,
                incarnation = mIncarnation,
                aThen] {
                 const bool done = mServers.Stop(id, aCommand, aToken);
                 if (!responseLost && incarnation == mIncarnation) {
                   CallLater(kNetworkDelay, [aThen, done] { aThen(done); });
                 }
               });
  if (responseLost) {
    CallLater(aTimeout, [then = aThen] { then(false); });
  }
}

void ServersConnection::Report(
  const scheduler::ServerInfo& aServer,
  const node::ReportRequest& aRequest,
  Duration aTimeout,
  std::function<void(Expected<node::ReportResponse>)> aThen)
{
  const auto id = aServer.mId;
  if (mServers.IsUnreachable(id) ||
      !mServers.KeepsConnections(id, aRequest.mConnectedBy)) {
    CallLater(aTimeout, [then = std::move(aThen), id] {
      then(MakeError(
        ErrorCode::eOutcomeUnknown, "report", id.Value(), "unreachable"));
    });
    return;
  }
  PollReport(id,
             aRequest,
             mServers.Incarnation(id),
             mClock.Now() + aRequest.mWait,
             mClock.Now() + aTimeout,
             [sentAt = mClock.Now(),
              then = std::move(aThen)](Expected<node::ReportResponse> aReport) {
               if (aReport) {
                 aReport->mRequestSentAt = sentAt;
               }
               then(std::move(aReport));
             });
}

void ServersConnection::PollReport(
  const ServerId& aServer,
  const node::ReportRequest& aRequest,
  int aServerIncarnation,
  Time aUntil,
  Time aTimesOutAt,
  std::function<void(Expected<node::ReportResponse>)> aThen)
{
  mClock.After(
    kNetworkDelay,
    [this,
     aServer,
     aRequest,
     aServerIncarnation,
     aUntil,
     aTimesOutAt,
     incarnation = mIncarnation,
     then = std::move(aThen)] {
      if (mServers.IsUnreachable(aServer)) {
        CallLater(aTimesOutAt - mClock.Now(), [then, aServer] {
          then(MakeError(ErrorCode::eOutcomeUnknown,
                         "report",
                         aServer.Value(),
                         "unreachable"));
        });
        return;
      }
      if (mServers.Incarnation(aServer) != aServerIncarnation) {
        // The connection was closed when the server crashed.
        if (incarnation == mIncarnation) {
          then(MakeError(
            ErrorCode::eOutcomeUnknown, "report", aServer.Value(), "closed"));
        }
        return;
      }
      auto response = mServers.Report(aServer, aRequest);
      const bool wait = response && mClock.Now() < aUntil &&
                        !mServers.HasUnacknowledgedCompletions(aServer);
      if (incarnation != mIncarnation) {
        return;
      }
      if (wait) {
        // The acknowledgement applies when the call arrives, not while it
        // waits.
        auto waiting = aRequest;
        waiting.mAckThrough = 0;
        PollReport(
          aServer, waiting, aServerIncarnation, aUntil, aTimesOutAt, then);
      } else {
        CallLater(kNetworkDelay, [then, response] { then(response); });
      }
    });
}

} // namespace flamingoloom::testing::platform_world
