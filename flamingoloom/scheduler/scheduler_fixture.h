// A scheduler for tests, with a store that accepts every batch and servers
// whose reports the test writes.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "flamingoloom/scheduler/scheduler.h"

namespace flamingoloom::scheduler {

using base::ServerId;
using base::Time;
using jobs::JobState;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct Fixture
{
  Fixture()
    : mScheduler({}, {})
  {
  }

  void AddServers(int aCount, const char* aRack = "r1", int aFirst = 0)
  {
    for (int i = aFirst; i < aFirst + aCount; ++i) {
      ServerInfo info;
      info.mId = ServerId("s" + std::to_string(i));
      info.mService = "desk";
      info.mRack = aRack;
      info.mDataCentre = base::DataCentreId("dc1");
      info.mCapacity = { 64000, 262144, 8 };
      info.mStartedMs = 1;
      mInfos.push_back(info);
    }
    UpdateServers();
    for (const auto& info : mInfos) {
      Report(info.mId, {}, {});
    }
  }

  // Passes the current mInfos to the scheduler.
  void UpdateServers()
  {
    mScheduler.UpdateServers(mNow, mInfos, mNow + seconds(12));
  }

  static jobs::JobSpec MakeJob(const std::string& aId,
                               int aTasks,
                               int aAccelerators)
  {
    jobs::JobSpec job;
    job.mId = aId;
    job.mAccount = base::AccountId("shop");
    job.mRules = { "q", "desk", 1, 3, 3.0, milliseconds(500) };
    jobs::StepSpec step;
    step.mTaskCount = aTasks;
    step.mPerTask = { 1000, 1000, aAccelerators };
    step.mEstimate = seconds(2);
    job.mSteps = { step };
    return job;
  }

  void Add(const jobs::JobSpec& aJob) { mScheduler.AddJob(mNow, aJob); }

  void Report(const ServerId& aServer,
              std::vector<RunningTask> aRunning,
              std::vector<TaskCompletion> aCompletions,
              std::int64_t aIncarnation = 1)
  {
    mScheduler.OnReport(
      mNow, aServer, { aIncarnation, aRunning, aCompletions }, mNow);
  }

  // Reports the first attempts of a server's incarnation as done.
  void ReportDone(const std::vector<StartCommand>& aStarts)
  {
    std::vector<TaskCompletion> completions;
    completions.reserve(aStarts.size());
    for (const auto& start : aStarts) {
      completions.push_back({ static_cast<std::int64_t>(completions.size()) + 1,
                              start.mAttempt,
                              TaskEndReason::eDone,
                              "" });
    }
    Report(aStarts[0].mServer, {}, completions);
  }

  // Runs a scheduling pass, stores its changes and returns the commands.
  TaskCommands RunPass()
  {
    mNow += milliseconds(10);
    mScheduler.Schedule(mNow, mUnixMs);
    Store();
    return mScheduler.TakeCommands();
  }

  void Store()
  {
    while (mScheduler.HasChanges()) {
      const auto batch = mScheduler.TakeBatch(1000);
      for (const auto& row : batch.mRows) {
        mRows[row.mTable + ":" + row.mKey] = row.mValue.value_or("");
      }
      mScheduler.OnStored(mNow, batch);
    }
  }

  // Advances the time to where a guaranteed job may preempt other work.
  void AdvanceToPreemption() { mNow += SchedulerSettings{}.mMaxStopTime / 2; }

  std::vector<StartCommand> StartAll()
  {
    auto starts = RunPass().mStarts;
    for (const auto& start : starts) {
      mScheduler.OnStart(mNow, start, StartResult::eStarted, false);
    }
    return starts;
  }

  JobState State(const std::string& aJob) const
  {
    return mScheduler.Jobs().at(aJob)->mState;
  }

  Time mNow{ seconds(100) };
  std::int64_t mUnixMs = 1'000'000;
  std::vector<ServerInfo> mInfos;
  std::map<std::string, std::string> mRows;
  Scheduler mScheduler;
};

} // namespace flamingoloom::scheduler
