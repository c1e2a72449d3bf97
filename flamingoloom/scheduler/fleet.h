// The scheduler's view of the backend servers: their capacity, the attempts
// that are assigned to them, which of their completions are stored, and their
// health.
//
// Internal to the scheduler. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "flamingoloom/scheduler/earlier_leases.h"
#include "flamingoloom/scheduler/server.h"

namespace flamingoloom::scheduler {

// An attempt that runs on a server although none is wanted there: it was given
// up before it started, or its task has ended elsewhere.
struct StrayAttempt
{
  base::AccountId mAccount;
  jobs::Resources mResources;
  // A report that was requested later and does not list the attempt shows that
  // it has ended.
  base::Time mSeenAt;
};

struct ServerState
{
  ServerInfo mInfo;
  // Start time of the incarnation that sent the last report, in Unix
  // milliseconds; nullopt before the first report.
  std::optional<std::int64_t> mIncarnation;
  // The server has an entry in the store.
  bool mListed = true;
  // The server has responded to a request of this leader's epoch, so it rejects
  // commands of previous leaders from now on.
  bool mFenced = false;
  // Another incarnation has begun since the last report.
  bool mRestarted = false;
  // While the server drains: the earliest time at which it may exit.
  std::optional<base::Time> mDrainDeadline;
  // The server responded to the last call.
  bool mResponsive = true;
  jobs::Resources mUsed;
  std::set<jobs::TaskAttempt> mAttempts;
  std::map<jobs::TaskAttempt, StrayAttempt> mStrays;
  // All leases that were granted to the server have expired by then.
  base::Time mLeasesExpireBy;
  // Highest number of a completion that was handled. mUnstoredCompletions holds
  // the completions whose effect is not stored yet, as pairs of the
  // completion's number and the number of the last change once it was handled;
  // mAcknowledgedThrough is the highest number that may be acknowledged.
  std::int64_t mLastHandledCompletion = 0;
  std::deque<std::pair<std::int64_t, std::uint64_t>> mUnstoredCompletions;
  std::int64_t mAcknowledgedThrough = 0;
  // Jobs of which a task failed on this server since a task was last done on
  // it.
  std::set<std::string> mFailingJobs;
  // Quarantines for failed tasks since a task was last done here, up to 4. Each
  // doubles the duration of the next one.
  int mQuarantines = 0;
  base::Time mQuarantinedUntil;

  // Returns the capacity that is left for further tasks. An attempt uses
  // capacity from its assignment to its completion.
  jobs::Resources FreeCapacity() const;
};

class Fleet
{
public:
  // Replaces the list of servers by aListed, the entries in the store at aNow.
  // A server that is no longer listed is kept while attempts or strays may
  // still run on it. aLeases bounds the leases of servers that were not known
  // before. Returns the servers to poll for a report: those that are new or
  // have restarted since the last call.
  std::vector<base::ServerId> Update(base::Time aNow,
                                     const std::vector<ServerInfo>& aListed,
                                     const EarlierLeases& aLeases);

  ServerState* Find(const base::ServerId& aId);
  const ServerState* Find(const base::ServerId& aId) const;
  // Like Find, but adds an unlisted, unresponsive server for an unknown ID.
  ServerState& FindOrAdd(const base::ServerId& aId, base::Time aLeasesExpireBy);
  std::map<base::ServerId, ServerState>& Servers() { return mServers; }
  const std::map<base::ServerId, ServerState>& Servers() const
  {
    return mServers;
  }

  // Record the outcome of an attempt on the server, as evidence of its health.
  // RecordFailure quarantines the server if tasks of several jobs failed on it
  // in a row.
  void RecordSuccess(ServerState& aServer);
  void RecordFailure(ServerState& aServer,
                     const std::string& aJob,
                     base::Time aNow);
  // Assigns no tasks to the server until aNow + aDuration.
  void Quarantine(ServerState& aServer,
                  base::Time aNow,
                  base::Duration aDuration);

private:
  std::map<base::ServerId, ServerState> mServers;
};

} // namespace flamingoloom::scheduler
