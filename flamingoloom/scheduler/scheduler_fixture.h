// A scheduler for tests, with a store that always accepts and servers that are
// driven by hand.
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

  // Lists mInfos as they are now.
  void UpdateServers()
  {
    mScheduler.UpdateServers(mNow, mInfos, mNow + seconds(12));
  }

  static jobs::JobSpec Job(const std::string& aId,
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
              std::vector<TaskCompletion> aEnded,
              std::int64_t aLife = 1)
  {
    mScheduler.OnReport(mNow, aServer, { aLife, aRunning, aEnded }, mNow);
  }

  // Ends the first runs of one server's life as done.
  void ReportDone(const std::vector<StartCommand>& aRuns)
  {
    std::vector<TaskCompletion> ends;
    ends.reserve(aRuns.size());
    for (const auto& start : aRuns) {
      ends.push_back({ static_cast<std::int64_t>(ends.size()) + 1,
                       start.mAttempt,
                       TaskEndReason::eDone,
                       "" });
    }
    Report(aRuns[0].mServer, {}, ends);
  }

  // One pass; stores what it changes and returns the orders.
  TaskCommands Pass()
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
      mScheduler.OnStored(mNow, batch, ++mVersion);
    }
  }

  // A guaranteed job stops other work only after this.
  void WaitToPreempt() { mNow += SchedulerSettings{}.mMaxStopTime / 2; }

  std::vector<StartCommand> StartAll()
  {
    auto starts = Pass().mStarts;
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
  std::int64_t mVersion = 10;
  std::vector<ServerInfo> mInfos;
  std::map<std::string, std::string> mRows;
  Scheduler mScheduler;
};

} // namespace flamingoloom::scheduler
