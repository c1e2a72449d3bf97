// The life of a run: placed, ordered, answered, reported, ended.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>

namespace flamingoloom::scheduler {

using base::ServerId;
using base::Time;
using jobs::JobState;

namespace {

// A server that has no room contrary to our books is left alone this long:
// the end that makes room is about to be reported.
constexpr base::Duration kNoRoomPause = std::chrono::milliseconds(200);
// A server that calls itself unhealthy is left alone this long.
constexpr base::Duration kUnhealthyPause = std::chrono::seconds(2);
// A server that refuses an order as such is left alone this long.
constexpr base::Duration kRefusedPause = std::chrono::seconds(1);

} // namespace

void Scheduler::Intend(StepRun& aStep,
                       int aIndex,
                       const ServerId& aServer,
                       Time aNow)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  task.mPhase = TaskPhase::eIntended;
  task.mAttemptNumber =
    aStep.Spec().mGang ? aStep.mGangAttemptNumber : task.mAttemptNumber + 1;
  task.mServer = aServer;
  task.mStopWanted = false;
  task.mAnsweredAt.reset();
  task.mPlacedAt = aNow;
  task.mPercent = task.mFirstPercent = 0;
  --aStep.mWaiting;
  ServerState* server = mFleet.Find(aServer);
  server->mUsed += aStep.Spec().Footprint();
  server->mAttempts.insert({ aStep.Name(aIndex), task.mAttemptNumber });
  MarkDirty(aStep);
  Job& job = *aStep.mJob;
  if (job.mState == JobState::eQueued) {
    SetState(job, JobState::eRunning);
  }
}

void Scheduler::Detach(StepRun& aStep, Task& aTask, int aIndex)
{
  ServerState* server = mFleet.Find(aTask.mServer);
  const jobs::TaskAttempt attempt{ aStep.Name(aIndex), aTask.mAttemptNumber };
  if (server != nullptr && server->mAttempts.erase(attempt) > 0) {
    server->mUsed -= aStep.Spec().Footprint();
  }
  mStops.erase({ aTask.mServer, attempt });
  aTask.mStopWanted = false;
}

void Scheduler::Release(StepRun& aStep, int aIndex, const char* aReason)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  Log("run_released",
      aStep.mJob->mSpec.mId,
      { { "run", AttemptText(aStep.Name(aIndex), task.mAttemptNumber) },
        { "server", task.mServer.Value() },
        { "reason", aReason } });
  Detach(aStep, task, aIndex);
  task.mPhase = TaskPhase::eWaiting;
  ++aStep.mWaiting;
  MarkDirty(aStep);
  if (!aStep.Spec().mGang) {
    return;
  }
  if (aStep.mWaiting == static_cast<int>(aStep.mTasks.size())) {
    aStep.mGangBreaking = false;
  } else if (!aStep.mGangBreaking) {
    BreakGang(aStep);
  }
}

void Scheduler::WantStop(StepRun& aStep, int aIndex, const char* aReason)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  if (task.mStopWanted) {
    return;
  }
  task.mStopWanted = true;
  Log("stop_wanted",
      aStep.mJob->mSpec.mId,
      { { "run", AttemptText(aStep.Name(aIndex), task.mAttemptNumber) },
        { "server", task.mServer.Value() },
        { "reason", aReason } });
  // An intent is dropped when it is stored; a predecessor's run is stopped
  // when its server has reported it.
  if (task.mPhase == TaskPhase::eOrdered ||
      task.mPhase == TaskPhase::eRunning) {
    mStops.insert(
      { task.mServer, { aStep.Name(aIndex), task.mAttemptNumber } });
  }
}

void Scheduler::BreakGang(StepRun& aStep)
{
  aStep.mGangBreaking = true;
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    if (IsPlaced(aStep.mTasks[i].mPhase)) {
      WantStop(aStep, static_cast<int>(i), "gang is incomplete");
    }
  }
}

// Answers
// ----------------------------------------------------------------------

void Scheduler::OnStart(Time aNow,
                        const StartCommand& aCommand,
                        StartResult aResult,
                        bool aEarlierUnknown)
{
  StepRun* step = nullptr;
  Task* task = FindTask(aCommand.mAttempt.mTask, &step);
  ServerState* server = mFleet.Find(aCommand.mServer);
  if (task == nullptr || server == nullptr ||
      task->mAttemptNumber != aCommand.mAttempt.mAttemptNumber ||
      task->mPhase != TaskPhase::eOrdered) {
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
      task->mAnsweredAt = aNow;
      task->mStartedAt = task->mPercentChangedAt = aNow;
      if (task->mStopWanted) {
        mStops.insert({ aCommand.mServer, aCommand.mAttempt });
      }
      return;
    case StartResult::eStaleAttempt:
      // The run has been there: its end is listed, or it is absent.
      task->mAnsweredAt = aNow;
      return;
    case StartResult::eUnknown:
      WantStop(*step, index, "start not answered");
      return;
    case StartResult::eWrongServer:
      OnServerReplaced(aNow, aCommand.mServer);
      return;
    case StartResult::eFenced:
      return;
    case StartResult::eNoCapacity:
      mFleet.Pause(*server, aNow, kNoRoomPause);
      break;
    case StartResult::eUnhealthy:
      mFleet.Pause(*server, aNow, kUnhealthyPause);
      break;
    case StartResult::eBadTicket:
    case StartResult::eInvalid:
      // The same order would be refused again at once.
      mFleet.Pause(*server, aNow, kRefusedPause);
      break;
    case StartResult::eTooLate:
      break;
  }
  if (aEarlierUnknown) {
    WantStop(*step, index, "an earlier try may still arrive");
  } else {
    Release(*step, index, StartResultName(aResult));
  }
}

void Scheduler::OnStop(Time aNow, const StopCommand& aCommand, bool aAnswered)
{
  StepRun* step = nullptr;
  Task* task = FindTask(aCommand.mAttempt.mTask, &step);
  if (task == nullptr ||
      task->mAttemptNumber != aCommand.mAttempt.mAttemptNumber ||
      !IsPlaced(task->mPhase) || task->mServer != aCommand.mServer) {
    return;
  }
  if (aAnswered) {
    task->mAnsweredAt = aNow;
  } else {
    mStops.insert(aCommand);
  }
}

void Scheduler::OnServerUnresponsive(Time, const ServerId& aServer)
{
  ServerState* server = mFleet.Find(aServer);
  if (server != nullptr && server->mAnswers) {
    server->mAnswers = false;
    Log("server_silent", "", { { "server", aServer.Value() } });
  }
}

void Scheduler::OnServerReplaced(Time, const ServerId& aServer)
{
  ServerState* server = mFleet.Find(aServer);
  if (server != nullptr) {
    server->mAnswers = false;
    ReleaseAll(*server, "server was replaced");
  }
}

void Scheduler::RecordLease(const ServerId& aServer, Time aEndsBy)
{
  if (ServerState* server = mFleet.Find(aServer)) {
    server->mLeasesEndBy = std::max(server->mLeasesEndBy, aEndsBy);
  }
}

void Scheduler::ReleaseAll(ServerState& aServer, const char* aReason)
{
  const auto attempts = aServer.mAttempts;
  for (const auto& attempt : attempts) {
    StepRun* step = nullptr;
    const Task* task = FindTask(attempt.mTask, &step);
    if (task != nullptr && task->mAttemptNumber == attempt.mAttemptNumber &&
        task->mPhase != TaskPhase::eIntended) {
      Release(*step, attempt.mTask.mIndex, aReason);
    }
  }
}

void Scheduler::ReleaseLost(Time aNow)
{
  for (auto& [id, server] : mFleet.Servers()) {
    if (!server.mAnswers && aNow > server.mLeasesEndBy &&
        !server.mAttempts.empty()) {
      ReleaseAll(server, "leases ended");
    }
  }
}

void Scheduler::OnReport(Time aNow,
                         const ServerId& aServer,
                         const ServerReport& aReport,
                         Time aSentAt)
{
  ServerState* server = mFleet.Find(aServer);
  if (server == nullptr) {
    return;
  }
  if (!server->mAnswers || !server->mFenced) {
    Log("server_answers",
        "",
        { { "server", aServer.Value() },
          { "running", std::to_string(aReport.mRunning.size()) } });
  }
  server->mAnswers = server->mFenced = true;
  const bool newLife =
    server->mLife != 0 && server->mLife != aReport.mStartedMs;
  server->mLife = aReport.mStartedMs;
  if (newLife) {
    server->mSeenCompletions = server->mAckThrough = 0;
    server->mUnstoredCompletions.clear();
  }
  std::set<jobs::TaskAttempt> listed;
  for (const auto& completion : aReport.mCompletions) {
    listed.insert(completion.mAttempt);
    if (completion.mNumber > server->mSeenCompletions) {
      TakeEnd(aNow, *server, completion);
      server->mSeenCompletions = completion.mNumber;
      server->mUnstoredCompletions.emplace_back(completion.mNumber, mChange);
    }
  }
  for (const auto& running : aReport.mRunning) {
    listed.insert(running.mAttempt);
    TakeRunning(aNow, *server, running);
  }
  const auto attempts = server->mAttempts;
  for (const auto& attempt : attempts) {
    StepRun* step = nullptr;
    const Task* task = FindTask(attempt.mTask, &step);
    if (task == nullptr || listed.count(attempt) > 0) {
      continue;
    }
    const bool answered =
      task->mAnsweredAt.has_value() && *task->mAnsweredAt <= aSentAt;
    if (task->mPhase == TaskPhase::eUnresolved ||
        (newLife && task->mPhase == TaskPhase::eRunning) || answered) {
      Release(*step, attempt.mTask.mIndex, "absent from the server's report");
    }
  }
}

void Scheduler::TakeRunning(Time aNow,
                            ServerState& aServer,
                            const RunningTask& aRunning)
{
  StepRun* step = nullptr;
  Task* task = FindTask(aRunning.mAttempt.mTask, &step);
  const bool ours = task != nullptr &&
                    task->mAttemptNumber == aRunning.mAttempt.mAttemptNumber &&
                    task->mServer == aServer.mInfo.mId &&
                    IsPlaced(task->mPhase);
  if (!ours) {
    // Carried out after it was given up, or unknown here.
    Log("stray_run",
        aRunning.mAttempt.mTask.mJob,
        { { "run",
            AttemptText(aRunning.mAttempt.mTask,
                        aRunning.mAttempt.mAttemptNumber) },
          { "server", aServer.mInfo.mId.Value() } });
    mStops.insert({ aServer.mInfo.mId, aRunning.mAttempt });
    return;
  }
  if (task->mPhase != TaskPhase::eRunning) {
    task->mPhase = TaskPhase::eRunning;
    task->mStartedAt = task->mPercentChangedAt = aNow;
    task->mPercent = task->mFirstPercent = aRunning.mPercent;
    if (task->mStopWanted) {
      mStops.insert({ aServer.mInfo.mId, aRunning.mAttempt });
    }
  }
  if (aRunning.mPercent != task->mPercent) {
    task->mPercent = aRunning.mPercent;
    task->mPercentChangedAt = aNow;
  }
  task->mReportedAt = aNow;
  if (!aRunning.mCheckpoint.empty()) {
    task->mCheckpoint = aRunning.mCheckpoint;
    step->mGangCheckpoint = aRunning.mCheckpoint;
  }
}

void Scheduler::TakeEnd(Time aNow,
                        ServerState& aServer,
                        const TaskCompletion& aCompletion)
{
  StepRun* step = nullptr;
  Task* task = FindTask(aCompletion.mAttempt.mTask, &step);
  const bool ours =
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
        { "known", ours ? "1" : "0" } });
  if (!ours) {
    return;
  }
  const int index = aCompletion.mAttempt.mTask.mIndex;
  if (!aCompletion.mCheckpoint.empty()) {
    task->mCheckpoint = aCompletion.mCheckpoint;
    step->mGangCheckpoint = aCompletion.mCheckpoint;
  }
  if (aCompletion.mEndReason == TaskEndReason::eDone) {
    mFleet.NoteDone(aServer);
    TakeDone(aNow, *step, index);
  } else if (aCompletion.mEndReason == TaskEndReason::eFailed) {
    TakeFailed(aNow, aServer, *step, index);
  } else {
    Release(*step, index, TaskEndReasonName(aCompletion.mEndReason));
  }
}

void Scheduler::TakeDone(Time aNow, StepRun& aStep, int aIndex)
{
  if (aStep.Spec().mLongRunning) {
    Release(aStep, aIndex, "long-running task ended");
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
    Detach(aStep, task, static_cast<int>(i));
    aStep.mWaiting -= task.mPhase == TaskPhase::eWaiting ? 1 : 0;
    task.mPhase = TaskPhase::eDone;
    --aStep.mUnfinished;
  }
  aStep.mGangBreaking = false;
  MarkDirty(aStep);
  if (aStep.mUnfinished == 0) {
    FinishStep(aNow, aStep);
  }
}

void Scheduler::FinishStep(Time aNow, StepRun& aStep)
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

void Scheduler::TakeFailed(Time aNow,
                           ServerState& aServer,
                           StepRun& aStep,
                           int aIndex)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  Job& job = *aStep.mJob;
  mFleet.NoteFailed(aServer, job.mSpec.mId, aNow);
  task.mFailedOn.insert(aServer.mInfo.mId);
  const int failures =
    aStep.Spec().mGang ? ++aStep.mGangFailures : ++task.mFailures;
  Release(aStep, aIndex, "failed");
  if (failures >= job.mSpec.mRules.mMaxAttempts && !aStep.Spec().mLongRunning &&
      !job.IsFinal()) {
    FailJob(job);
  }
}

} // namespace flamingoloom::scheduler
