// Backend servers under virtual time, as the scheduler sees them: admission by
// capacity, gangs that work together, numbered completions.
//
// Commands take effect at once; what the scheduler misses of a server is up to
// whoever passes the reports on. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/scheduler/server.h"
#include "testing/scheduler_load/job_mix.h"

namespace flamingoloom::testing::scheduler_load {

struct Attempt
{
  base::Time mStartedAt;
  // Unset while it waits for other members of its gang.
  std::optional<base::Time> mEndsAt;
  scheduler::TaskEndReason mEnd = scheduler::TaskEndReason::eDone;
};

struct Server
{
  scheduler::ServerInfo mInfo;
  bool mUp = true;
  // It has an entry in the store.
  bool mListed = true;
  // Every run that starts fails.
  bool mFailing = false;
  std::map<jobs::TaskAttempt, Attempt> mAttempts;
  jobs::Resources mUsed;
  std::vector<scheduler::TaskCompletion> mCompletions;
  std::int64_t mLastCompletion = 0;
  // Something has changed since the last report.
  bool mChanged = true;

  jobs::Resources Free() const;
};

class ServerModel
{
public:
  ServerModel(Random& aRandom,
              const std::map<std::string, PlannedJob>& aJobs,
              double aRemoteSlowdown);

  void Add(scheduler::ServerInfo aInfo);
  std::vector<Server>& Servers() { return mServers; }
  const std::vector<Server>& Servers() const { return mServers; }
  Server* Find(const base::ServerId& aId);

  scheduler::StartResult Start(base::Time aNow,
                               const scheduler::StartCommand& aCommand);
  void Stop(const scheduler::StopCommand& aCommand);
  // Everything on the server ends without a trace.
  void Leave(Server& aServer);
  // A new incarnation starts.
  void Restart(Server& aServer);
  // Ends what is due by aNow.
  void Advance(base::Time aNow);
  scheduler::ServerReport Report(base::Time aNow, const Server& aServer) const;
  static void Acknowledge(Server& aServer, std::int64_t aThrough);

  // Attempts of a job that are on servers, and the number of its starts.
  int Running(const std::string& aJob) const;
  int Starts(const std::string& aJob) const;
  // What the attempts of an account use on all servers.
  jobs::Resources RunningOf(const base::AccountId& aAccount) const;

private:
  struct Gang
  {
    std::map<int, std::size_t> mMembers;
    bool mOver = false;
  };
  using GangKey = std::tuple<std::string, int, int>;

  void Begin(base::Time aNow,
             std::size_t aServer,
             const jobs::TaskAttempt& aAttempt);
  void End(Server& aServer,
           const jobs::TaskAttempt& aAttempt,
           scheduler::TaskEndReason aReason);
  const jobs::StepSpec& StepOf(const jobs::TaskName& aTask) const;
  base::Duration WorkOf(const jobs::TaskName& aTask, bool aRemote) const;

  Random& mRandom;
  const std::map<std::string, PlannedJob>& mJobs;
  const double mRemoteSlowdown;
  std::vector<Server> mServers;
  std::map<base::ServerId, std::size_t> mIndex;
  std::map<GangKey, Gang> mGangs;
  std::map<std::string, int> mRunning;
  std::map<std::string, int> mStarts;
};

} // namespace flamingoloom::testing::scheduler_load
