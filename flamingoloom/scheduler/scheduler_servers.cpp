// Servers that do not respond, are replaced or start again, and how long work
// may last there.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

namespace flamingoloom::scheduler {

using base::ServerId;
using base::Time;

void Scheduler::OnServerUnresponsive(Time, const ServerId& aServer)
{
  ServerState* server = mFleet.Find(aServer);
  if (server != nullptr && server->mResponsive) {
    server->mResponsive = false;
    Log("server_silent", "", { { "server", aServer.Value() } });
  }
}

void Scheduler::OnServerReplaced(Time, const ServerId& aServer)
{
  ServerState* server = mFleet.Find(aServer);
  if (server != nullptr) {
    server->mResponsive = false;
    RequeueAllOn(
      *server, [](const auto&) { return true; }, "server was replaced");
    ForgetStrays(*server, [](const auto&, const auto&) { return true; });
  }
}

void Scheduler::OnServerRestarted(const ServerId& aServer)
{
  if (ServerState* server = mFleet.Find(aServer)) {
    server->mFenced = false;
    ForgetIncarnation(*server);
  }
}

void Scheduler::ForgetIncarnation(ServerState& aServer)
{
  aServer.mIncarnation.reset();
  aServer.mRestarted = true;
  aServer.mLastHandledCompletion = aServer.mAcknowledgedThrough = 0;
  aServer.mUnstoredCompletions.clear();
  ForgetStrays(aServer, [](const auto&, const auto&) { return true; });
  for (const auto& attempt : aServer.mAttempts) {
    StepState* step = nullptr;
    Task* task = FindTask(attempt.mTask, &step);
    if (task != nullptr && task->mAttemptNumber == attempt.mAttemptNumber &&
        task->mPhase != TaskPhase::eAssigned) {
      task->mPhase = TaskPhase::eUnresolved;
    }
  }
}

void Scheduler::OnStartMayStray(const StartCommand& aCommand, Time aEndsBy)
{
  StepState* step = nullptr;
  Task* task = FindTask(aCommand.mAttempt.mTask, &step);
  if (task != nullptr &&
      task->mAttemptNumber == aCommand.mAttempt.mAttemptNumber) {
    task->mMayStrayUntil = aEndsBy;
  }
}

void Scheduler::RecordLease(const ServerId& aServer, Time aExpiresBy)
{
  if (ServerState* server = mFleet.Find(aServer)) {
    server->mLeasesExpireBy = std::max(server->mLeasesExpireBy, aExpiresBy);
  }
}

void Scheduler::RequeueAllOn(
  ServerState& aServer,
  const std::function<bool(const jobs::TaskAttempt&)>& aHasEnded,
  const char* aReason)
{
  const auto attempts = aServer.mAttempts;
  for (const auto& attempt : attempts) {
    StepState* step = nullptr;
    const Task* task = FindTask(attempt.mTask, &step);
    if (task != nullptr && task->mAttemptNumber == attempt.mAttemptNumber &&
        task->mPhase != TaskPhase::eAssigned && aHasEnded(attempt)) {
      Requeue(*step, attempt.mTask.mIndex, aReason);
    }
  }
}

void Scheduler::RequeueFromLostServers(Time aNow)
{
  for (auto& entry : mFleet.Servers()) {
    ServerState& server = entry.second;
    if (server.mResponsive || aNow <= server.mLeasesExpireBy) {
      continue;
    }
    ForgetStrays(server, [](const auto&, const auto&) { return true; });
    if (!server.mAttempts.empty()) {
      RequeueAllOn(
        server,
        [this, aNow, &server](const jobs::TaskAttempt& aAttempt) {
          return aNow > EndsBy(server, aAttempt);
        },
        "leases ended");
    }
  }
}

EarlierLeases Scheduler::LeasesAtRelease(Time aNow,
                                         std::size_t aMaxServers) const
{
  Time others = aNow;
  std::vector<std::pair<ServerId, Time>> notReached;
  for (const auto& [id, server] : mFleet.Servers()) {
    if (server.mAttempts.empty()) {
      continue;
    }
    const auto endsBy = AttemptsEndBy(server);
    const bool reached =
      server.mFenced && server.mResponsive && endsBy == server.mLeasesExpireBy;
    if (reached || notReached.size() >= aMaxServers) {
      others = std::max(others, endsBy);
    } else {
      notReached.emplace_back(server.mInfo.mId, endsBy);
    }
  }
  EarlierLeases leases(others);
  for (const auto& [id, endsBy] : notReached) {
    leases.SetExpiry(id, endsBy);
  }
  return leases;
}

Time Scheduler::EndsBy(const ServerState& aServer,
                       const jobs::TaskAttempt& aAttempt) const
{
  StepState* step = nullptr;
  const Task* task = FindTask(aAttempt.mTask, &step);
  return task == nullptr
           ? aServer.mLeasesExpireBy
           : std::max(aServer.mLeasesExpireBy, task->mMayStrayUntil);
}

Time Scheduler::AttemptsEndBy(const ServerState& aServer) const
{
  Time endsBy = aServer.mLeasesExpireBy;
  for (const auto& attempt : aServer.mAttempts) {
    endsBy = std::max(endsBy, EndsBy(aServer, attempt));
  }
  return endsBy;
}

bool Scheduler::NeedsReports(const ServerId& aServer) const
{
  const ServerState* server = mFleet.Find(aServer);
  return server != nullptr &&
         (!server->mAttempts.empty() || !server->mStrays.empty() ||
          !server->mUnstoredCompletions.empty() || !server->mFenced ||
          (server->mListed && !server->mResponsive));
}

} // namespace flamingoloom::scheduler
