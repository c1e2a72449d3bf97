// The attempts of tasks: assignment, responses of servers, reports and
// completion.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>

namespace flamingoloom::scheduler {

using base::ServerId;
using base::Time;
using jobs::JobState;

namespace {

// Applies when a server has no capacity although it should have by the state
// here. The completion that frees the capacity is about to be reported.
constexpr base::Duration kNoCapacityQuarantine = std::chrono::milliseconds(200);
// Applies when a server reports itself as unhealthy.
constexpr base::Duration kUnhealthyQuarantine = std::chrono::seconds(2);
// Applies when a server rejects a command as invalid.
constexpr base::Duration kRejectedCommandQuarantine = std::chrono::seconds(1);

} // namespace

void Scheduler::Assign(StepState& aStep,
                       int aIndex,
                       const ServerId& aServer,
                       Time aNow)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  task.mPhase = TaskPhase::eAssigned;
  task.mAttemptNumber =
    aStep.Spec().mGang ? aStep.mGangAttemptNumber : task.mAttemptNumber + 1;
  task.mServer = aServer;
  task.mStopRequested = false;
  task.mRespondedAt.reset();
  task.mMayStrayUntil = {};
  task.mPlacedAt = aNow;
  task.mPercent = task.mFirstPercent = 0;
  --aStep.mWaitingTasks;
  ServerState* server = mFleet.Find(aServer);
  server->mUsed += aStep.Spec().Footprint();
  CountAttempt(aStep);
  server->mAttempts.insert({ aStep.Name(aIndex), task.mAttemptNumber });
  MarkDirty(aStep);
}

void Scheduler::RecordTaskStarted(Job& aJob)
{
  if (aJob.mState == JobState::eQueued) {
    SetState(aJob, JobState::eRunning);
  }
}

void Scheduler::RemoveFromServer(StepState& aStep, Task& aTask, int aIndex)
{
  ServerState* server = mFleet.Find(aTask.mServer);
  const jobs::TaskAttempt attempt{ aStep.Name(aIndex), aTask.mAttemptNumber };
  if (server != nullptr && server->mAttempts.erase(attempt) > 0) {
    server->mUsed -= aStep.Spec().Footprint();
    UncountAttempt(aStep);
  }
  mStops.erase({ aTask.mServer, attempt });
  aTask.mStopRequested = false;
}

void Scheduler::Requeue(StepState& aStep, int aIndex, const char* aReason)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  Log("run_released",
      aStep.mJob->mSpec.mId,
      { { "run", AttemptText(aStep.Name(aIndex), task.mAttemptNumber) },
        { "server", task.mServer.Value() },
        { "reason", aReason } });
  RemoveFromServer(aStep, task, aIndex);
  task.mPhase = TaskPhase::eWaiting;
  ++aStep.mWaitingTasks;
  MarkDirty(aStep);
  if (!aStep.Spec().mGang) {
    return;
  }
  if (aStep.mWaitingTasks == static_cast<int>(aStep.mTasks.size())) {
    aStep.mGangAborting = false;
  } else if (!aStep.mGangAborting) {
    AbortGang(aStep);
  }
}

void Scheduler::RequestStop(StepState& aStep, int aIndex, const char* aReason)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  if (task.mStopRequested) {
    return;
  }
  task.mStopRequested = true;
  Log("stop_wanted",
      aStep.mJob->mSpec.mId,
      { { "run", AttemptText(aStep.Name(aIndex), task.mAttemptNumber) },
        { "server", task.mServer.Value() },
        { "reason", aReason } });
  // A task that is only assigned is returned to waiting when its assignment is
  // stored. An attempt of a previous leader is stopped when its server has
  // reported it.
  if (task.mPhase == TaskPhase::eDispatching ||
      task.mPhase == TaskPhase::eRunning) {
    mStops.insert(
      { task.mServer, { aStep.Name(aIndex), task.mAttemptNumber } });
  }
}

void Scheduler::AbortGang(StepState& aStep)
{
  aStep.mGangAborting = true;
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    if (IsPlaced(aStep.mTasks[i].mPhase)) {
      RequestStop(aStep, static_cast<int>(i), "gang is incomplete");
    }
  }
}

void Scheduler::AbortIfGang(StepState& aStep)
{
  if (aStep.Spec().mGang && !aStep.mGangAborting) {
    AbortGang(aStep);
  }
}

// Responses of servers
// ----------------------------------------------------------------------

void Scheduler::OnStart(Time aNow,
                        const StartCommand& aCommand,
                        StartResult aResult,
                        bool aEarlierUnknown)
{
  StepState* step = nullptr;
  Task* task = FindTask(aCommand.mAttempt.mTask, &step);
  ServerState* server = mFleet.Find(aCommand.mServer);
  if (task == nullptr || server == nullptr ||
      task->mAttemptNumber != aCommand.mAttempt.mAttemptNumber ||
      task->mPhase != TaskPhase::eDispatching) {
    return;
  }
  const int index = aCommand.mAttempt.mTask.mIndex;
  Log("start_answered",
      step->mJob->mSpec.mId,
      { { "run",
          AttemptText(aCommand.mAttempt.mTask,
                      aCommand.mAttempt.mAttemptNumber) },
        { "server", aCommand.mServer.Value() },
        { "answer", StartResultName(aResult) },
        { "earlier_unknown", aEarlierUnknown ? "1" : "0" } });
  switch (aResult) {
    case StartResult::eStarted:
      task->mPhase = TaskPhase::eRunning;
      task->mRespondedAt = aNow;
      task->mStartedAt = task->mPercentChangedAt = aNow;
      RecordTaskStarted(*step->mJob);
      if (task->mStopRequested) {
        mStops.insert({ aCommand.mServer, aCommand.mAttempt });
      }
      return;
    case StartResult::eStaleAttempt:
      // The server has already received this attempt: either its reports list
      // the completion, or the attempt is absent from them.
      task->mRespondedAt = aNow;
      return;
    case StartResult::eUnknown:
      RequestStop(*step, index, "start not answered");
      AbortIfGang(*step);
      return;
    case StartResult::eWrongServer:
      OnServerReplaced(aNow, aCommand.mServer);
      return;
    case StartResult::eFenced:
      return;
    case StartResult::eNoCapacity:
      mFleet.Quarantine(*server, aNow, kNoCapacityQuarantine);
      break;
    case StartResult::eUnhealthy:
      mFleet.Quarantine(*server, aNow, kUnhealthyQuarantine);
      break;
    case StartResult::eBadTicket:
    case StartResult::eInvalid:
      // A retry of the same command would be rejected again.
      mFleet.Quarantine(*server, aNow, kRejectedCommandQuarantine);
      break;
    case StartResult::eTooLate:
      break;
  }
  if (aEarlierUnknown) {
    RequestStop(*step, index, "an earlier call attempt may still take effect");
    AbortIfGang(*step);
  } else {
    Requeue(*step, index, StartResultName(aResult));
  }
}

void Scheduler::OnStop(Time aNow,
                       const StopCommand& aCommand,
                       bool aAcknowledged)
{
  StepState* step = nullptr;
  Task* task = FindTask(aCommand.mAttempt.mTask, &step);
  if (task == nullptr ||
      task->mAttemptNumber != aCommand.mAttempt.mAttemptNumber ||
      !IsPlaced(task->mPhase) || task->mServer != aCommand.mServer) {
    return;
  }
  if (aAcknowledged) {
    task->mRespondedAt = aNow;
  } else {
    mStops.insert(aCommand);
  }
}

bool Scheduler::IsStartWanted(const StartCommand& aCommand) const
{
  StepState* step = nullptr;
  const Task* task = FindTask(aCommand.mAttempt.mTask, &step);
  return task != nullptr && task->mPhase == TaskPhase::eDispatching &&
         task->mAttemptNumber == aCommand.mAttempt.mAttemptNumber &&
         !task->mStopRequested;
}

bool Scheduler::OnReport(Time aNow,
                         const ServerId& aServer,
                         const ServerReport& aReport,
                         Time aSentAt)
{
  ServerState* server = mFleet.Find(aServer);
  if (server == nullptr) {
    return false;
  }
  const auto changesBefore = mChangeNumber;
  const bool becomesUsable = !server->mResponsive || !server->mFenced;
  if (becomesUsable) {
    Log("server_answers",
        "",
        { { "server", aServer.Value() },
          { "running", std::to_string(aReport.mRunning.size()) } });
  }
  if (!server->mFenced) {
    // From now on it takes no lease of an earlier leader, nor one that was
    // meant for an earlier incarnation. Such a one names an expiry by another
    // clock, so it may last as long as the server allows.
    const auto latest = aNow + mSettings.mMaxServerLease;
    server->mLeasesExpireBy =
      server->mRestarted ? latest : std::min(server->mLeasesExpireBy, latest);
    server->mRestarted = false;
  }
  server->mResponsive = server->mFenced = true;
  if (server->mIncarnation && *server->mIncarnation != aReport.mStartedMs) {
    ForgetIncarnation(*server);
  }
  server->mIncarnation = aReport.mStartedMs;
  std::set<jobs::TaskAttempt> listed;
  std::set<jobs::TaskAttempt> runningNow;
  for (const auto& completion : aReport.mCompletions) {
    listed.insert(completion.mAttempt);
    if (completion.mNumber > server->mLastHandledCompletion) {
      HandleCompletion(aNow, *server, completion);
      server->mLastHandledCompletion = completion.mNumber;
      server->mUnstoredCompletions.emplace_back(completion.mNumber,
                                                mChangeNumber);
      mServersToAcknowledge.insert(aServer);
    }
  }
  for (const auto& running : aReport.mRunning) {
    listed.insert(running.mAttempt);
    runningNow.insert(running.mAttempt);
    HandleRunningTask(aNow - aReport.mDelay, *server, running);
  }
  ForgetStrays(*server, [&](const auto& aAttempt, const StrayAttempt& aStray) {
    return aStray.mSeenAt < aSentAt && runningNow.count(aAttempt) == 0;
  });
  const auto attempts = server->mAttempts;
  for (const auto& attempt : attempts) {
    StepState* step = nullptr;
    const Task* task = FindTask(attempt.mTask, &step);
    if (task == nullptr || listed.count(attempt) > 0) {
      continue;
    }
    const bool responded =
      task->mRespondedAt.has_value() && *task->mRespondedAt <= aSentAt;
    const bool known = !aReport.mMayHaveMoreCompletions &&
                       (task->mPhase == TaskPhase::eUnresolved || responded);
    if (known) {
      Requeue(*step, attempt.mTask.mIndex, "absent from the server's report");
    }
  }
  return becomesUsable || mChangeNumber != changesBefore || HasCommands() ||
         !aReport.mCompletions.empty();
}

void Scheduler::HandleRunningTask(Time aReportedAt,
                                  ServerState& aServer,
                                  const RunningTask& aRunning)
{
  StepState* step = nullptr;
  Task* task = FindTask(aRunning.mAttempt.mTask, &step);
  if (task != nullptr) {
    RecordTaskStarted(*step->mJob);
  }
  const bool current =
    task != nullptr &&
    task->mAttemptNumber == aRunning.mAttempt.mAttemptNumber &&
    task->mServer == aServer.mInfo.mId && IsPlaced(task->mPhase);
  if (!current) {
    // The attempt was abandoned before the server executed the command, or it
    // is unknown here.
    Log("stray_run",
        aRunning.mAttempt.mTask.mJob,
        { { "run",
            AttemptText(aRunning.mAttempt.mTask,
                        aRunning.mAttempt.mAttemptNumber) },
          { "server", aServer.mInfo.mId.Value() } });
    mStops.insert({ aServer.mInfo.mId, aRunning.mAttempt });
    if (task != nullptr) {
      AddStray(aReportedAt, aServer, aRunning.mAttempt, *step);
    }
    return;
  }
  task->mMayStrayUntil = {};
  if (task->mPhase != TaskPhase::eRunning) {
    task->mPhase = TaskPhase::eRunning;
    task->mStartedAt = task->mPercentChangedAt = aReportedAt;
    task->mPercent = task->mFirstPercent = aRunning.mPercent;
    if (task->mStopRequested) {
      mStops.insert({ aServer.mInfo.mId, aRunning.mAttempt });
    }
  }
  if (aRunning.mPercent != task->mPercent) {
    task->mPercent = aRunning.mPercent;
    task->mPercentChangedAt = aReportedAt;
  }
  task->mReportedAt = aReportedAt;
  if (!aRunning.mCheckpoint.empty()) {
    task->mCheckpoint = aRunning.mCheckpoint;
    step->mGangCheckpoint = aRunning.mCheckpoint;
  }
}

void Scheduler::HandleCompletion(Time aNow,
                                 ServerState& aServer,
                                 const TaskCompletion& aCompletion)
{
  StepState* step = nullptr;
  Task* task = FindTask(aCompletion.mAttempt.mTask, &step);
  if (task != nullptr) {
    RecordTaskStarted(*step->mJob);
  }
  const bool current =
    task != nullptr &&
    task->mAttemptNumber == aCompletion.mAttempt.mAttemptNumber &&
    task->mServer == aServer.mInfo.mId && IsPlaced(task->mPhase);
  Log("run_ended",
      aCompletion.mAttempt.mTask.mJob,
      { { "run",
          AttemptText(aCompletion.mAttempt.mTask,
                      aCompletion.mAttempt.mAttemptNumber) },
        { "server", aServer.mInfo.mId.Value() },
        { "end", TaskEndReasonName(aCompletion.mEndReason) },
        { "number", std::to_string(aCompletion.mNumber) },
        { "known", current ? "1" : "0" } });
  if (!current) {
    if (task != nullptr && aCompletion.mEndReason == TaskEndReason::eDone &&
        task->mPhase != TaskPhase::eDone && !step->Spec().mLongRunning) {
      TakeOverDone(aNow, *step, aCompletion.mAttempt.mTask.mIndex);
    }
    return;
  }
  const int index = aCompletion.mAttempt.mTask.mIndex;
  if (!aCompletion.mCheckpoint.empty()) {
    task->mCheckpoint = aCompletion.mCheckpoint;
    step->mGangCheckpoint = aCompletion.mCheckpoint;
  }
  if (aCompletion.mEndReason == TaskEndReason::eDone) {
    mFleet.RecordSuccess(aServer);
    HandleTaskDone(aNow, *step, index);
  } else if (aCompletion.mEndReason == TaskEndReason::eFailed) {
    HandleTaskFailed(aNow, aServer, *step, index);
  } else {
    Requeue(*step, index, TaskEndReasonName(aCompletion.mEndReason));
  }
}

void Scheduler::TakeOverDone(Time aNow, StepState& aStep, int aIndex)
{
  const bool gang = aStep.Spec().mGang;
  std::vector<StopCommand> stops;
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    const Task& task = aStep.mTasks[i];
    const int index = static_cast<int>(i);
    if ((gang || index == aIndex) && IsPlaced(task.mPhase) &&
        task.mPhase != TaskPhase::eAssigned) {
      stops.push_back(
        { task.mServer, { aStep.Name(index), task.mAttemptNumber } });
    }
  }
  Log("done_taken_over",
      aStep.mJob->mSpec.mId,
      { { "run",
          AttemptText(
            aStep.Name(aIndex),
            aStep.mTasks[static_cast<std::size_t>(aIndex)].mAttemptNumber) },
        { "stopped", std::to_string(stops.size()) } });
  HandleTaskDone(aNow, aStep, aIndex);
  mStops.insert(stops.begin(), stops.end());
  for (const StopCommand& stop : stops) {
    if (ServerState* server = mFleet.Find(stop.mServer)) {
      AddStray(aNow, *server, stop.mAttempt, aStep);
    }
  }
}

void Scheduler::HandleTaskDone(Time aNow, StepState& aStep, int aIndex)
{
  if (aStep.Spec().mLongRunning) {
    Requeue(aStep, aIndex, "long-running task ended");
    return;
  }
  const bool gang = aStep.Spec().mGang;
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    Task& task = aStep.mTasks[i];
    if (!gang && static_cast<int>(i) != aIndex) {
      continue;
    }
    if (task.mPhase == TaskPhase::eDone) {
      continue;
    }
    RemoveFromServer(aStep, task, static_cast<int>(i));
    aStep.mWaitingTasks -= task.mPhase == TaskPhase::eWaiting ? 1 : 0;
    task.mPhase = TaskPhase::eDone;
    --aStep.mUnfinishedTasks;
  }
  aStep.mGangAborting = false;
  aStep.mPlan.clear();
  MarkDirty(aStep);
  if (aStep.mUnfinishedTasks == 0) {
    FinishStep(aNow, aStep);
  }
}

void Scheduler::FinishStep(Time aNow, StepState& aStep)
{
  Job& job = *aStep.mJob;
  Occurrence& occurrence = job.mOccurrences.at(aStep.mOccurrence);
  if (--occurrence.mUnfinishedSteps > 0) {
    UpdateReady(aNow, occurrence);
    return;
  }
  if (--job.mUnfinishedOccurrences == 0 && !job.IsFinal()) {
    SetState(job, JobState::eCompleted);
  }
}

void Scheduler::HandleTaskFailed(Time aNow,
                                 ServerState& aServer,
                                 StepState& aStep,
                                 int aIndex)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  Job& job = *aStep.mJob;
  mFleet.RecordFailure(aServer, job.mSpec.mId, aNow);
  int failures = 0;
  if (aStep.Spec().mGang) {
    // Any member would fail there and so end the next attempt.
    for (Task& member : aStep.mTasks) {
      member.mFailedOn.insert(aServer.mInfo.mId);
    }
    if (aStep.mGangFailedAttempt != task.mAttemptNumber) {
      aStep.mGangFailedAttempt = task.mAttemptNumber;
      ++aStep.mGangFailures;
    }
    failures = aStep.mGangFailures;
  } else {
    task.mFailedOn.insert(aServer.mInfo.mId);
    failures = ++task.mFailures;
  }
  Requeue(aStep, aIndex, "failed");
  if (failures >= job.mSpec.mRules.mMaxAttempts && !aStep.Spec().mLongRunning &&
      !job.IsFinal()) {
    Log("job_failed",
        job.mSpec.mId,
        { { "run", AttemptText(aStep.Name(aIndex), task.mAttemptNumber) },
          { "server", aServer.mInfo.mId.Value() },
          { "failures", std::to_string(failures) },
          { "max_attempts", std::to_string(job.mSpec.mRules.mMaxAttempts) } });
    FailJob(job);
  }
}

} // namespace flamingoloom::scheduler
