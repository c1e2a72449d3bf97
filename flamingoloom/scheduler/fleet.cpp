#include "flamingoloom/scheduler/fleet.h"

#include <algorithm>

namespace flamingoloom::scheduler {
namespace {

// If tasks of this many jobs fail on a server in a row, the server is
// considered faulty rather than the jobs.
constexpr std::size_t kFailingJobsForQuarantine = 2;
// The first quarantine. Each further one lasts twice as long, up to
// kMaxQuarantine. Servers of the platform that become faulty stay so for 5 to 7
// s.
constexpr base::Duration kInitialQuarantine = std::chrono::seconds(4);
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

jobs::Resources ServerState::FreeCapacity() const
{
  jobs::Resources free = mInfo.mCapacity;
  free -= mUsed;
  return free;
}

std::vector<base::ServerId> Fleet::Update(
  base::Time aNow,
  const std::vector<ServerInfo>& aListed,
  const EarlierLeases& aLeases)
{
  std::vector<base::ServerId> serversToPoll;
  for (auto& [id, server] : mServers) {
    server.mListed = false;
  }
  for (const auto& info : aListed) {
    const auto [entry, added] = mServers.try_emplace(info.mId);
    ServerState& server = entry->second;
    if (added) {
      server.mLeasesExpireBy = aLeases.ExpireBy(info.mId);
      serversToPoll.push_back(info.mId);
    } else if (server.mIncarnation && server.mFenced &&
               info.mStartedMs != server.mInfo.mStartedMs &&
               info.mStartedMs != *server.mIncarnation) {
      // An entry that is older than the last report has not changed. The wall
      // clock of a server may step back, so its start times need not rise.
      server.mFenced = false;
      serversToPoll.push_back(info.mId);
    }
    server.mInfo = info;
    if (!info.mDraining || !info.mTimeLeft) {
      server.mDrainDeadline.reset();
    } else if (!server.mDrainDeadline) {
      server.mDrainDeadline = aNow + *info.mTimeLeft;
    }
    server.mListed = true;
  }
  for (auto entry = mServers.begin(); entry != mServers.end();) {
    const ServerState& server = entry->second;
    if (!server.mListed && server.mAttempts.empty() && server.mStrays.empty()) {
      entry = mServers.erase(entry);
    } else {
      ++entry;
    }
  }
  return serversToPoll;
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
                              base::Time aLeasesExpireBy)
{
  const auto [entry, added] = mServers.try_emplace(aId);
  if (added) {
    entry->second.mInfo.mId = aId;
    entry->second.mListed = false;
    // Without an entry in the store there is no address to send requests to.
    entry->second.mResponsive = false;
    entry->second.mLeasesExpireBy = aLeasesExpireBy;
  }
  return entry->second;
}

void Fleet::RecordSuccess(ServerState& aServer)
{
  aServer.mFailingJobs.clear();
  aServer.mQuarantines = 0;
}

void Fleet::RecordFailure(ServerState& aServer,
                          const std::string& aJob,
                          base::Time aNow)
{
  aServer.mFailingJobs.insert(aJob);
  if (aServer.mFailingJobs.size() < kFailingJobsForQuarantine) {
    return;
  }
  const auto duration =
    std::min(kMaxQuarantine, kInitialQuarantine * (1 << aServer.mQuarantines));
  aServer.mQuarantines = std::min(aServer.mQuarantines + 1, 4);
  Quarantine(aServer, aNow, duration);
}

void Fleet::Quarantine(ServerState& aServer,
                       base::Time aNow,
                       base::Duration aDuration)
{
  aServer.mQuarantinedUntil =
    std::max(aServer.mQuarantinedUntil, aNow + aDuration);
}

} // namespace flamingoloom::scheduler
