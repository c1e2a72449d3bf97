#include "flamingoloom/scheduler/fleet.h"

#include <algorithm>

namespace flamingoloom::scheduler {
namespace {

// A server that fails tasks of this many jobs in a row is at fault, not they.
constexpr std::size_t kFailingJobsForQuarantine = 2;
// First quarantine; it doubles each time, up to kMaxQuarantine. Faults of
// servers last 5 to 7 s on the platform's days.
constexpr base::Duration kQuarantine = std::chrono::seconds(4);
constexpr base::Duration kMaxQuarantine = std::chrono::seconds(16);

} // namespace

const char* StartResultName(StartResult aResult)
{
  switch (aResult) {
    case StartResult::eStarted:
      return "started";
    case StartResult::eNoCapacity:
      return "no_room";
    case StartResult::eTooLate:
      return "too_late";
    case StartResult::eStaleAttempt:
      return "old_run";
    case StartResult::eBadTicket:
      return "bad_ticket";
    case StartResult::eUnhealthy:
      return "unhealthy";
    case StartResult::eWrongServer:
      return "other_server";
    case StartResult::eFenced:
      return "fenced";
    case StartResult::eInvalid:
      return "invalid";
    case StartResult::eUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* TaskEndReasonName(TaskEndReason aReason)
{
  switch (aReason) {
    case TaskEndReason::eDone:
      return "done";
    case TaskEndReason::eFailed:
      return "failed";
    case TaskEndReason::eStopped:
      return "stopped";
    case TaskEndReason::eLeaseExpired:
      return "lease_expired";
    case TaskEndReason::eGangAborted:
      return "gang_broken";
    case TaskEndReason::eGangIncomplete:
      return "gang_incomplete";
  }
  return "failed";
}

jobs::Resources ServerState::Free() const
{
  jobs::Resources free = mInfo.mCapacity;
  free -= mUsed;
  return free;
}

std::vector<base::ServerId> Fleet::Update(
  base::Time aNow,
  const std::vector<ServerInfo>& aListed,
  base::Time aLeasesEndBy)
{
  std::vector<base::ServerId> fresh;
  for (auto& [id, server] : mServers) {
    server.mListed = false;
  }
  for (const auto& info : aListed) {
    const auto [entry, added] = mServers.try_emplace(info.mId);
    ServerState& server = entry->second;
    if (added) {
      server.mLeasesEndBy = aLeasesEndBy;
      fresh.push_back(info.mId);
    } else if (server.mLife != 0 && info.mStartedMs > server.mLife &&
               server.mFenced) {
      server.mFenced = false;
      fresh.push_back(info.mId);
    }
    server.mInfo = info;
    if (!info.mDraining || !info.mTimeLeft) {
      server.mLeavesAt.reset();
    } else if (!server.mLeavesAt) {
      server.mLeavesAt = aNow + *info.mTimeLeft;
    }
    server.mListed = true;
  }
  for (auto entry = mServers.begin(); entry != mServers.end();) {
    const ServerState& server = entry->second;
    if (!server.mListed && server.mAttempts.empty()) {
      entry = mServers.erase(entry);
    } else {
      ++entry;
    }
  }
  return fresh;
}

ServerState* Fleet::Find(const base::ServerId& aId)
{
  const auto entry = mServers.find(aId);
  return entry == mServers.end() ? nullptr : &entry->second;
}

const ServerState* Fleet::Find(const base::ServerId& aId) const
{
  const auto entry = mServers.find(aId);
  return entry == mServers.end() ? nullptr : &entry->second;
}

ServerState& Fleet::FindOrAdd(const base::ServerId& aId,
                              base::Time aLeasesEndBy)
{
  const auto [entry, added] = mServers.try_emplace(aId);
  if (added) {
    entry->second.mInfo.mId = aId;
    entry->second.mListed = false;
    // Without an entry there is no address to ask.
    entry->second.mAnswers = false;
    entry->second.mLeasesEndBy = aLeasesEndBy;
  }
  return entry->second;
}

void Fleet::NoteDone(ServerState& aServer)
{
  aServer.mFailingJobs.clear();
  aServer.mQuarantines = 0;
}

void Fleet::NoteFailed(ServerState& aServer,
                       const std::string& aJob,
                       base::Time aNow)
{
  aServer.mFailingJobs.insert(aJob);
  if (aServer.mFailingJobs.size() < kFailingJobsForQuarantine) {
    return;
  }
  const auto pause =
    std::min(kMaxQuarantine, kQuarantine * (1 << aServer.mQuarantines));
  aServer.mQuarantines = std::min(aServer.mQuarantines + 1, 4);
  Pause(aServer, aNow, pause);
}

void Fleet::Pause(ServerState& aServer, base::Time aNow, base::Duration aPause)
{
  aServer.mAvoidUntil = std::max(aServer.mAvoidUntil, aNow + aPause);
}

} // namespace flamingoloom::scheduler
