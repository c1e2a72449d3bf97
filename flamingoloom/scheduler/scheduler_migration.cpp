// Migration of running tasks from slow and draining servers to others.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>

namespace flamingoloom::scheduler {

using base::Time;

namespace {

// A task hangs if its progress did not change between two reports at least this
// far apart, and further apart than it takes a healthy task to progress by
// several percent.
constexpr base::Duration kMinStallTimeout = std::chrono::milliseconds(1800);
constexpr double kStallPercent = 4.0;
// Estimates of run times are wrong by up to a factor of ten.
constexpr double kStallShareOfEstimate = 0.2;
// A task with at least this progress is not restarted elsewhere.
constexpr int kNearlyDonePercent = 90;
// Progress is only evaluated in reports from this long after the start.
constexpr base::Duration kProgressGracePeriod = std::chrono::milliseconds(1500);
// A task is a straggler if its speed is below the median of its step by more
// than this factor. The estimates of run times cannot be used for this: they
// are wrong by up to a factor of ten.
constexpr double kStragglerFactor = 4.0;
// With fewer tasks the median has no significance.
constexpr std::size_t kMinTasksForMedian = 3;
// Applies to a server on which a task hangs or is a straggler. Such faults last
// 5 to 7 s on the platform.
constexpr base::Duration kStragglerQuarantine = std::chrono::seconds(6);

} // namespace

base::Duration Scheduler::StallTimeout(const StepState& aStep,
                                       const Task& aTask,
                                       double aMedianSpeed) const
{
  auto timeout = std::chrono::duration<double>(aStep.Spec().mEstimate) *
                 kStallShareOfEstimate;
  const double speed = std::max(aTask.Speed(), aMedianSpeed);
  if (speed > 0) {
    timeout =
      std::min(timeout, std::chrono::duration<double>(kStallPercent / speed));
  }
  return std::max(kMinStallTimeout,
                  std::chrono::duration_cast<base::Duration>(timeout));
}

bool Scheduler::IsStraggler(const StepState& aStep,
                            const Task& aTask,
                            double aMedianSpeed) const
{
  if (aTask.mPhase != TaskPhase::eRunning || aTask.mStopRequested ||
      aTask.mReportedAt - aTask.mStartedAt < kProgressGracePeriod ||
      aTask.mPercent >= kNearlyDonePercent) {
    return false;
  }
  if (aTask.mReportedAt - aTask.mPercentChangedAt >=
      StallTimeout(aStep, aTask, aMedianSpeed)) {
    return true;
  }
  const ServerState* server = mFleet.Find(aTask.mServer);
  const auto& rack = aStep.Spec().mDataRack;
  const bool remote =
    server != nullptr && !rack.empty() && server->mInfo.mRack != rack;
  return !remote && aTask.Speed() * kStragglerFactor < aMedianSpeed;
}

void Scheduler::MigrateStragglers(Time aNow)
{
  for (auto& [id, job] : mActiveJobs) {
    for (auto& [number, occurrence] : job->mOccurrences) {
      for (auto& step : occurrence.mSteps) {
        if (step->mUnfinishedTasks > 0 && !step->mGangAborting &&
            !step->Spec().mLongRunning) {
          MigrateStragglers(aNow, *step);
        }
      }
    }
  }
}

void Scheduler::MigrateStragglers(Time aNow, StepState& aStep)
{
  const bool gang = aStep.Spec().mGang;
  if (gang && std::any_of(aStep.mTasks.begin(),
                          aStep.mTasks.end(),
                          [](const Task& aTask) {
                            return aTask.mPhase != TaskPhase::eRunning;
                          })) {
    // The members make progress only while all of them run.
    return;
  }
  int minPercent = 100;
  std::vector<double> speeds;
  for (const Task& task : aStep.mTasks) {
    minPercent = std::min(minPercent, task.mPercent);
    if (task.mPhase == TaskPhase::eRunning &&
        task.mReportedAt - task.mStartedAt >= kProgressGracePeriod) {
      speeds.push_back(task.Speed());
    }
  }
  double median = 0;
  if (speeds.size() >= kMinTasksForMedian) {
    const auto middle =
      speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    median = *middle;
  }
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    Task& task = aStep.mTasks[i];
    if (!IsStraggler(aStep, task, median)) {
      continue;
    }
    // In a gang the members wait for the one with the least progress, so only
    // that one is a straggler.
    if (gang && task.mPercent > minPercent) {
      continue;
    }
    if (ServerState* server = mFleet.Find(task.mServer)) {
      mFleet.Quarantine(*server, aNow, kStragglerQuarantine);
    }
    task.mFailedOn.insert(task.mServer);
    RequestStop(aStep, static_cast<int>(i), "too slow");
  }
}

void Scheduler::MigrateFromDrainingServers(Time aNow)
{
  for (auto& [id, server] : mFleet.Servers()) {
    if (!server.mDrainDeadline) {
      continue;
    }
    const auto attempts = server.mAttempts;
    for (const auto& attempt : attempts) {
      StepState* step = nullptr;
      const Task* task = FindTask(attempt.mTask, &step);
      if (task == nullptr || task->mStopRequested ||
          task->mPhase != TaskPhase::eRunning || step->Spec().mLongRunning) {
        continue;
      }
      const base::Duration timeLeft =
        task->TimeLeftAtReport().value_or(step->Spec().mEstimate);
      const base::Duration timeToExit = *server.mDrainDeadline - aNow;
      if (timeLeft > timeToExit) {
        // The work would be lost when the server exits. Elsewhere the task
        // restarts sooner, from its checkpoint if it has one.
        RequestStop(*step,
                    attempt.mTask.mIndex,
                    "server exits before the expected completion");
      }
    }
  }
}

} // namespace flamingoloom::scheduler
