// The backend servers as the scheduler knows them: their room, what is placed
// on them, which of their ends are stored, and how far they are trusted.
//
// Internal to the scheduler. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "flamingoloom/scheduler/server.h"

namespace flamingoloom::scheduler {

struct ServerState
{
  ServerInfo mInfo;
  // The start of the life that the last report named; 0 before the first.
  std::int64_t mLife = 0;
  // Has an entry in the store.
  bool mListed = true;
  // Has answered in this epoch, so that no older scheduler's orders count.
  bool mFenced = false;
  // While it drains: when it leaves at the earliest.
  std::optional<base::Time> mLeavesAt;
  // The last call to it was answered.
  bool mAnswers = true;
  jobs::Resources mUsed;
  std::set<jobs::TaskAttempt> mAttempts;
  // By then every lease that was granted there has certainly ended.
  base::Time mLeasesEndBy;
  // Highest end that was taken in, and those not yet covered by the store.
  std::int64_t mSeenCompletions = 0;
  std::deque<std::pair<std::int64_t, std::uint64_t>> mUnstoredCompletions;
  std::int64_t mAckThrough = 0;
  // Jobs whose tasks failed here since one was done here.
  std::set<std::string> mFailingJobs;
  int mQuarantines = 0;
  base::Time mAvoidUntil;

  // Room for one more task, at all; what is placed counts until its end.
  jobs::Resources Free() const;
};

class Fleet
{
public:
  // Replaces the list of entries. Servers that left the list are kept while
  // something may still run there. Returns those that are new or have begun a
  // new life since the last call.
  std::vector<base::ServerId> Update(base::Time aNow,
                                     const std::vector<ServerInfo>& aListed,
                                     base::Time aLeasesEndBy);

  ServerState* Find(const base::ServerId& aId);
  const ServerState* Find(const base::ServerId& aId) const;
  // As Find; makes a record without an entry for an unknown server.
  ServerState& FindOrAdd(const base::ServerId& aId, base::Time aLeasesEndBy);
  std::map<base::ServerId, ServerState>& Servers() { return mServers; }
  const std::map<base::ServerId, ServerState>& Servers() const
  {
    return mServers;
  }

  // Evidence about a server's health from the end of a run of aJob.
  void NoteDone(ServerState& aServer);
  void NoteFailed(ServerState& aServer,
                  const std::string& aJob,
                  base::Time aNow);
  // No more starts until aNow + aPause.
  void Pause(ServerState& aServer, base::Time aNow, base::Duration aPause);

private:
  std::map<base::ServerId, ServerState> mServers;
};

} // namespace flamingoloom::scheduler
