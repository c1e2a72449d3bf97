#include "testing/scheduler_load/server_model.h"

#include <algorithm>

namespace flamingoloom::testing::scheduler_load {

using base::Time;
using scheduler::StartResult;
using scheduler::TaskEndReason;

namespace {

// Time until a task fails that a faulty server or job lets fail.
constexpr base::Duration kFailTime = std::chrono::milliseconds(5);

} // namespace

jobs::Resources Server::Free() const
{
  auto free = mInfo.mCapacity;
  free -= mUsed;
  return free;
}

ServerModel::ServerModel(Random& aRandom,
                         const std::map<std::string, PlannedJob>& aJobs,
                         double aRemoteSlowdown)
  : mRandom(aRandom)
  , mJobs(aJobs)
  , mRemoteSlowdown(aRemoteSlowdown)
{
}

void ServerModel::Add(scheduler::ServerInfo aInfo)
{
  mIndex.emplace(aInfo.mId, mServers.size());
  mServers.push_back({ std::move(aInfo) });
}

Server* ServerModel::Find(const base::ServerId& aId)
{
  const auto index = mIndex.find(aId);
  return index == mIndex.end() ? nullptr : &mServers[index->second];
}

const jobs::StepSpec& ServerModel::StepOf(const jobs::TaskName& aTask) const
{
  return mJobs.at(aTask.mJob)
    .mSpec.mSteps[static_cast<std::size_t>(aTask.mStep)];
}

base::Duration ServerModel::WorkOf(const jobs::TaskName& aTask,
                                   bool aRemote) const
{
  const auto work =
    mJobs.at(aTask.mJob).mWork[static_cast<std::size_t>(aTask.mStep)];
  return aRemote
           ? std::chrono::duration_cast<base::Duration>(work * mRemoteSlowdown)
           : work;
}

jobs::Resources ServerModel::RunningOf(const base::AccountId& aAccount) const
{
  jobs::Resources used;
  for (const Server& server : mServers) {
    for (const auto& [attempt, state] : server.mAttempts) {
      if (mJobs.at(attempt.mTask.mJob).mSpec.mAccount == aAccount) {
        used += StepOf(attempt.mTask).mPerTask;
      }
    }
  }
  return used;
}

StartResult ServerModel::Start(Time aNow,
                               const scheduler::StartCommand& aCommand)
{
  const auto index = mIndex.find(aCommand.mServer);
  if (index == mIndex.end() || !mServers[index->second].mUp) {
    return StartResult::eUnknown;
  }
  Server& server = mServers[index->second];
  if (!StepOf(aCommand.mAttempt.mTask).Footprint().FitsIn(server.Free())) {
    return StartResult::eNoCapacity;
  }
  Begin(aNow, index->second, aCommand.mAttempt);
  return StartResult::eStarted;
}

void ServerModel::Begin(Time aNow,
                        std::size_t aServer,
                        const jobs::TaskAttempt& aAttempt)
{
  Server& server = mServers[aServer];
  const auto& name = aAttempt.mTask;
  const auto& step = StepOf(name);
  const auto& job = mJobs.at(name.mJob);
  auto& attempt = server.mAttempts[aAttempt];
  attempt.mStartedAt = aNow;
  server.mUsed += step.Footprint();
  server.mChanged = true;
  ++mRunning[name.mJob];
  ++mStarts[name.mJob];
  if (server.mFailing || job.mHopeless || mRandom.Chance(job.mErrorShare)) {
    attempt.mEndsAt = aNow + kFailTime;
    attempt.mEnd = TaskEndReason::eFailed;
  }
  const bool remote =
    !step.mDataRack.empty() && server.mInfo.mRack != step.mDataRack;
  if (!step.mGang) {
    if (!attempt.mEndsAt && !step.mLongRunning) {
      attempt.mEndsAt = aNow + WorkOf(name, remote);
    }
    return;
  }
  auto& gang = mGangs[{ name.mJob, name.mStep, aAttempt.mAttemptNumber }];
  gang.mMembers[name.mIndex] = aServer;
  if (gang.mOver) {
    attempt.mEndsAt = aNow;
    attempt.mEnd = TaskEndReason::eGangAborted;
    return;
  }
  if (static_cast<int>(gang.mMembers.size()) < step.mTaskCount) {
    return;
  }
  std::set<std::string> racks;
  for (const auto& [index, member] : gang.mMembers) {
    racks.insert(mServers[member].mInfo.mRack);
  }
  const bool spread =
    (step.mSameRack && racks.size() > 1) ||
    (!step.mDataRack.empty() && racks != std::set{ step.mDataRack });
  for (const auto& [index, member] : gang.mMembers) {
    auto& started = mServers[member].mAttempts.at(
      { { name.mJob, name.mOccurrence, name.mStep, index },
        aAttempt.mAttemptNumber });
    if (!started.mEndsAt) {
      started.mEndsAt = aNow + WorkOf(name, spread);
    }
  }
}

void ServerModel::End(Server& aServer,
                      const jobs::TaskAttempt& aAttempt,
                      TaskEndReason aReason)
{
  const auto found = aServer.mAttempts.find(aAttempt);
  if (found == aServer.mAttempts.end()) {
    return;
  }
  aServer.mAttempts.erase(found);
  const auto& name = aAttempt.mTask;
  const auto& step = StepOf(name);
  aServer.mUsed -= step.Footprint();
  aServer.mChanged = true;
  --mRunning[name.mJob];
  if (aServer.mUp) {
    aServer.mCompletions.push_back(
      { ++aServer.mLastCompletion, aAttempt, aReason, "" });
  }
  if (!step.mGang) {
    return;
  }
  auto& gang = mGangs[{ name.mJob, name.mStep, aAttempt.mAttemptNumber }];
  if (gang.mOver) {
    return;
  }
  gang.mOver = true;
  const auto others = aReason == TaskEndReason::eDone
                        ? TaskEndReason::eDone
                        : TaskEndReason::eGangAborted;
  for (const auto& [index, member] : gang.mMembers) {
    End(mServers[member],
        { { name.mJob, name.mOccurrence, name.mStep, index },
          aAttempt.mAttemptNumber },
        others);
  }
}

void ServerModel::Stop(const scheduler::StopCommand& aCommand)
{
  if (Server* server = Find(aCommand.mServer)) {
    End(*server, aCommand.mAttempt, TaskEndReason::eStopped);
  }
}

void ServerModel::Leave(Server& aServer)
{
  aServer.mUp = false;
  const auto attempts = aServer.mAttempts;
  for (const auto& [attempt, state] : attempts) {
    End(aServer, attempt, TaskEndReason::eLeaseExpired);
  }
  aServer.mCompletions.clear();
}

void ServerModel::Restart(Server& aServer)
{
  aServer.mUp = aServer.mListed = aServer.mChanged = true;
  aServer.mLastCompletion = 0;
  ++aServer.mInfo.mStartedMs;
}

void ServerModel::Advance(Time aNow)
{
  for (Server& server : mServers) {
    const auto attempts = server.mAttempts;
    for (const auto& [attempt, state] : attempts) {
      if (state.mEndsAt && *state.mEndsAt <= aNow) {
        End(server, attempt, state.mEnd);
      }
    }
  }
}

scheduler::ServerReport ServerModel::Report(Time aNow,
                                            const Server& aServer) const
{
  scheduler::ServerReport report;
  report.mStartedMs = aServer.mInfo.mStartedMs;
  report.mCompletions = aServer.mCompletions;
  for (const auto& [attempt, state] : aServer.mAttempts) {
    int percent = 0;
    if (state.mEndsAt && *state.mEndsAt > state.mStartedAt) {
      const std::chrono::duration<double> elapsed = aNow - state.mStartedAt;
      const std::chrono::duration<double> all =
        *state.mEndsAt - state.mStartedAt;
      percent = std::clamp(
        static_cast<int>(100 * elapsed.count() / all.count()), 0, 99);
    }
    report.mRunning.push_back({ attempt, "", percent });
  }
  return report;
}

void ServerModel::Acknowledge(Server& aServer, std::int64_t aThrough)
{
  std::erase_if(aServer.mCompletions, [aThrough](const auto& aCompletion) {
    return aCompletion.mNumber <= aThrough;
  });
}

int ServerModel::Running(const std::string& aJob) const
{
  const auto running = mRunning.find(aJob);
  return running == mRunning.end() ? 0 : running->second;
}

int ServerModel::Starts(const std::string& aJob) const
{
  const auto starts = mStarts.find(aJob);
  return starts == mStarts.end() ? 0 : starts->second;
}

} // namespace flamingoloom::testing::scheduler_load
