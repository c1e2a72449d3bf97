// Running work that is better started elsewhere.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>

namespace flamingoloom::scheduler {

using base::Time;

namespace {

// A task whose progress stood still between two reports at least this far
// apart hangs: it should have moved by several percent.
constexpr base::Duration kStallTime = std::chrono::milliseconds(1800);
// Not worth another start.
constexpr int kNearlyDone = 90;
// Progress is judged by reports from this long after the start.
constexpr base::Duration kWarmUp = std::chrono::milliseconds(1500);
// A task that progresses this much slower than the median of its step is
// started again elsewhere. Estimates are off by up to ten times and do not
// serve for this.
constexpr double kSlowFactor = 4.0;
// Fewer tasks have no median to speak of.
constexpr std::size_t kTasksForMedian = 3;
// A server on which tasks hang or crawl is left alone this long; such faults
// last 5 to 7 s on the platform's days.
constexpr base::Duration kSlowPause = std::chrono::seconds(6);

} // namespace

bool Scheduler::IsTooSlow(const StepRun& aStep,
                          const Task& aTask,
                          double aMedianSpeed) const
{
  if (aTask.mPhase != TaskPhase::eRunning || aTask.mStopWanted ||
      aTask.mReportedAt - aTask.mStartedAt < kWarmUp ||
      aTask.mPercent >= kNearlyDone) {
    return false;
  }
  if (aTask.mReportedAt - aTask.mPercentChangedAt >= kStallTime) {
    return true;
  }
  const ServerState* server = mFleet.Find(aTask.mServer);
  const auto& rack = aStep.Spec().mDataRack;
  const bool remote =
    server != nullptr && !rack.empty() && server->mInfo.mRack != rack;
  return !remote && aTask.Speed() * kSlowFactor < aMedianSpeed;
}

void Scheduler::LeaveSlowServers(Time aNow)
{
  for (auto& [id, job] : mJobs) {
    if (job->IsFinal()) {
      continue;
    }
    for (auto& [number, occurrence] : job->mOccurrences) {
      for (auto& step : occurrence.mSteps) {
        if (step->mUnfinished > 0 && !step->mGangBreaking &&
            !step->Spec().mLongRunning) {
          LeaveSlowServers(aNow, *step);
        }
      }
    }
  }
}

void Scheduler::LeaveSlowServers(Time aNow, StepRun& aStep)
{
  const bool gang = aStep.Spec().mGang;
  if (gang && std::any_of(aStep.mTasks.begin(),
                          aStep.mTasks.end(),
                          [](const Task& aTask) {
                            return aTask.mPhase != TaskPhase::eRunning;
                          })) {
    // The members work only when all are there.
    return;
  }
  int least = 100;
  std::vector<double> speeds;
  for (const Task& task : aStep.mTasks) {
    least = std::min(least, task.mPercent);
    if (task.mPhase == TaskPhase::eRunning &&
        task.mReportedAt - task.mStartedAt >= kWarmUp) {
      speeds.push_back(task.Speed());
    }
  }
  double median = 0;
  if (speeds.size() >= kTasksForMedian) {
    const auto middle =
      speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
    std::nth_element(speeds.begin(), middle, speeds.end());
    median = *middle;
  }
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    Task& task = aStep.mTasks[i];
    if (!IsTooSlow(aStep, task, median)) {
      continue;
    }
    // In a gang the member that is furthest behind holds up the others.
    if (gang && task.mPercent > least) {
      continue;
    }
    if (ServerState* server = mFleet.Find(task.mServer)) {
      mFleet.Pause(*server, aNow, kSlowPause);
    }
    task.mFailedOn.insert(task.mServer);
    WantStop(aStep, static_cast<int>(i), "too slow");
  }
}

void Scheduler::LeaveDrainingServers(Time aNow)
{
  for (auto& [id, server] : mFleet.Servers()) {
    if (!server.mLeavesAt) {
      continue;
    }
    const auto attempts = server.mAttempts;
    for (const auto& attempt : attempts) {
      StepRun* step = nullptr;
      const Task* task = FindTask(attempt.mTask, &step);
      if (task == nullptr || task->mStopWanted ||
          task->mPhase != TaskPhase::eRunning || step->Spec().mLongRunning) {
        continue;
      }
      const base::Duration left =
        task->TimeLeftAtReport().value_or(step->Spec().mEstimate);
      const base::Duration stays = *server.mLeavesAt - aNow;
      if (left > stays) {
        // It would be lost with the server; elsewhere it starts sooner, and
        // from its checkpoint if it has one.
        WantStop(*step, attempt.mTask.mIndex, "server leaves before its end");
      }
    }
  }
}

} // namespace flamingoloom::scheduler
