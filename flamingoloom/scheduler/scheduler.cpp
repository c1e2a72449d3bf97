#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>
#include <tuple>

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
// A plan whose victims have not made room by then is made anew.
constexpr base::Duration kPlanTimeout = std::chrono::milliseconds(2500);
// From then on a guaranteed job takes room on any rack, and from accounts that
// use more than their guarantee: stopping work takes up to a second, and the
// platform's bound for reclaiming is 2.7 s and more.
constexpr base::Duration kReclaimAnywhereAfter = std::chrono::milliseconds(500);
// Work of the same priority is stopped only if little else would do.
constexpr double kSamePriorityCost = 4.0;
// Between searches for other work to stop for the same step; a search visits
// every run on every server.
constexpr base::Duration kSeekVictimsEvery = std::chrono::milliseconds(150);
constexpr base::Duration kLocalCheckEvery = std::chrono::milliseconds(1000);
// Work away from its data takes a multiple of its time; waiting for the right
// rack this long is shorter in most cases.
constexpr base::Duration kLocalWait = std::chrono::milliseconds(1500);
// The store takes 100 entries in a transaction, and a condition counts as one;
// some are left for the epoch's condition.
constexpr std::size_t kEntriesPerBatch = 95;
// A row with a condition, and a job's state with its row in kPendingTable.
constexpr std::size_t kEntriesPerStep = 2;
constexpr std::size_t kEntriesPerState = 3;
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
// Below the store's 1 MB for a transaction, also in base64.
constexpr std::size_t kBytesPerBatch = std::size_t{ 500 } * 1024;

bool IsPlaced(TaskPhase aPhase)
{
  return aPhase == TaskPhase::eIntended || aPhase == TaskPhase::eOrdered ||
         aPhase == TaskPhase::eRunning || aPhase == TaskPhase::eUnresolved;
}

std::string RunText(const jobs::TaskName& aName, int aRun)
{
  return std::to_string(aName.mOccurrence) + "." + std::to_string(aName.mStep) +
         "." + std::to_string(aName.mIndex) + "#" + std::to_string(aRun);
}

std::vector<int> WaitingIndices(const StepRun& aStep)
{
  std::vector<int> indices;
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    if (aStep.mTasks[i].mPhase == TaskPhase::eWaiting) {
      indices.push_back(static_cast<int>(i));
    }
  }
  return indices;
}

} // namespace

Scheduler::Scheduler(SchedulerSettings aSettings, DecisionSink aSink)
  : mSettings(aSettings)
  , mSink(std::move(aSink))
{
}

void Scheduler::Log(const char* aEvent,
                    const std::string& aJob,
                    std::vector<std::pair<const char*, std::string>> aFields)
{
  if (mSink) {
    mSink({ aEvent, aJob, std::move(aFields) });
  }
}

// Jobs -----------------------------------------------------------------------

void Scheduler::AddJob(Time aNow, jobs::JobSpec aSpec, std::int64_t aVersion)
{
  const auto [entry, added] = mJobs.try_emplace(aSpec.mId);
  if (!added) {
    return;
  }
  entry->second = std::make_unique<Job>();
  Job& job = *entry->second;
  job.mSpec = std::move(aSpec);
  job.mAcceptedAt = aNow;
  job.mStateVersion = aVersion;
  job.mUnfinishedOccurrences = job.mSpec.OccurrenceCount();
  job.mObjective = aNow +
                   std::chrono::duration_cast<base::Duration>(
                     job.mSpec.LongestChain() * job.mSpec.mRules.mStretch) +
                   job.mSpec.mRules.mTargetLatency;
  if (job.mSpec.mOccurrences == 0) {
    auto& occurrence =
      job.mOccurrences.emplace(0, MakeOccurrence(job, 0)).first->second;
    UpdateReady(aNow, occurrence);
  }
}

void Scheduler::RestoreState(const std::string& aJob,
                             const jobs::StateRecord& aState,
                             std::int64_t aVersion)
{
  const auto entry = mJobs.find(aJob);
  if (entry == mJobs.end()) {
    return;
  }
  Job& job = *entry->second;
  job.mState = aState.mState;
  job.mStateVersion = aVersion;
  job.mEndedAtStoreMs = aState.mEndedAtStoreMs;
  job.mPendingRow = aState.mState == JobState::eQueued;
  job.mCancelled = aState.mState == JobState::eCancelled;
}

void Scheduler::RestoreStep(const std::string& aJob,
                            const jobs::StepRecord& aStep,
                            std::int64_t aVersion,
                            Time aLeasesEndBy)
{
  const auto entry = mJobs.find(aJob);
  if (entry == mJobs.end() || aStep.mStep < 0 ||
      aStep.mStep >= static_cast<int>(entry->second->mSpec.mSteps.size())) {
    return;
  }
  Job& job = *entry->second;
  auto occurrence = job.mOccurrences.find(aStep.mOccurrence);
  if (occurrence == job.mOccurrences.end()) {
    occurrence =
      job.mOccurrences
        .emplace(aStep.mOccurrence, MakeOccurrence(job, aStep.mOccurrence))
        .first;
  }
  StepRun& step =
    *occurrence->second.mSteps[static_cast<std::size_t>(aStep.mStep)];
  scheduler::RestoreStep(step, aStep, aVersion);
  for (std::size_t i = 0; i < step.mTasks.size(); ++i) {
    const Task& task = step.mTasks[i];
    if (task.mPhase != TaskPhase::eUnresolved) {
      continue;
    }
    ServerState& server = mFleet.FindOrAdd(task.mServer, aLeasesEndBy);
    server.mRuns.insert({ step.Name(static_cast<int>(i)), task.mRun });
    server.mUsed += step.Spec().Footprint();
  }
}

void Scheduler::Resume(Time aNow)
{
  for (auto& [id, job] : mJobs) {
    for (auto& [number, occurrence] : job->mOccurrences) {
      occurrence.mUnfinishedSteps = 0;
      for (auto& step : occurrence.mSteps) {
        occurrence.mUnfinishedSteps += step->mUnfinished > 0 ? 1 : 0;
        const bool mixed =
          step->mWaiting > 0 &&
          step->mWaiting < static_cast<int>(step->mTasks.size());
        if (step->Spec().mGang && step->mUnfinished > 0 && mixed) {
          BreakGang(*step);
        }
      }
      if (occurrence.mUnfinishedSteps == 0) {
        --job->mUnfinishedOccurrences;
      }
      UpdateReady(aNow, occurrence);
    }
    if (job->IsFinal()) {
      StopAll(*job, "job is final");
    } else if (job->mUnfinishedOccurrences == 0) {
      SetState(*job, JobState::eCompleted);
    }
  }
}

void Scheduler::Cancel(Time, const std::string& aJob)
{
  const auto entry = mJobs.find(aJob);
  if (entry == mJobs.end() || entry->second->IsFinal()) {
    return;
  }
  Job& job = *entry->second;
  job.mCancelled = true;
  Log("job_cancelled", aJob);
  SetState(job, JobState::eCancelled);
  StopAll(job, "cancelled");
}

void Scheduler::StopAll(Job& aJob, const char* aReason)
{
  for (auto& [number, occurrence] : aJob.mOccurrences) {
    for (auto& step : occurrence.mSteps) {
      step->mPlan.clear();
      for (std::size_t i = 0; i < step->mTasks.size(); ++i) {
        if (IsPlaced(step->mTasks[i].mPhase)) {
          WantStop(*step, static_cast<int>(i), aReason);
        }
      }
    }
  }
}

void Scheduler::SetState(Job& aJob, JobState aState)
{
  if (aJob.mState == aState) {
    return;
  }
  Log("job_state",
      aJob.mSpec.mId,
      { { "from", jobs::JobStateName(aJob.mState) },
        { "to", jobs::JobStateName(aState) } });
  aJob.mState = aState;
  MarkDirty(aJob);
}

void Scheduler::MarkDirty(StepRun& aStep)
{
  ++mChange;
  aStep.mDirty = true;
  mDirtySteps.insert(&aStep);
}

void Scheduler::MarkDirty(Job& aJob)
{
  ++mChange;
  aJob.mStateDirty = true;
  mDirtyJobs.insert(&aJob);
}

Task* Scheduler::FindTask(const jobs::TaskName& aName, StepRun** aStep)
{
  const auto job = mJobs.find(aName.mJob);
  if (job == mJobs.end()) {
    return nullptr;
  }
  const auto occurrence = job->second->mOccurrences.find(aName.mOccurrence);
  if (occurrence == job->second->mOccurrences.end() || aName.mStep < 0 ||
      aName.mStep >= static_cast<int>(occurrence->second.mSteps.size())) {
    return nullptr;
  }
  StepRun& step =
    *occurrence->second.mSteps[static_cast<std::size_t>(aName.mStep)];
  if (aName.mIndex < 0 ||
      aName.mIndex >= static_cast<int>(step.mTasks.size())) {
    return nullptr;
  }
  *aStep = &step;
  return &step.mTasks[static_cast<std::size_t>(aName.mIndex)];
}

// Placing and giving up runs --------------------------------------------------

void Scheduler::Intend(StepRun& aStep,
                       int aIndex,
                       const ServerId& aServer,
                       Time aNow)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  task.mPhase = TaskPhase::eIntended;
  task.mRun = aStep.Spec().mGang ? aStep.mGangRun : task.mRun + 1;
  task.mServer = aServer;
  task.mStopWanted = task.mStopAnswered = false;
  task.mAnsweredAt.reset();
  task.mPlacedAt = aNow;
  task.mPercent = task.mFirstPercent = 0;
  --aStep.mWaiting;
  ServerState* server = mFleet.Find(aServer);
  server->mUsed += aStep.Spec().Footprint();
  server->mRuns.insert({ aStep.Name(aIndex), task.mRun });
  MarkDirty(aStep);
  Job& job = *aStep.mJob;
  if (job.mState == JobState::eQueued) {
    SetState(job, JobState::eRunning);
  }
}

void Scheduler::Detach(StepRun& aStep, Task& aTask, int aIndex)
{
  ServerState* server = mFleet.Find(aTask.mServer);
  const jobs::TaskRun run{ aStep.Name(aIndex), aTask.mRun };
  if (server != nullptr && server->mRuns.erase(run) > 0) {
    server->mUsed -= aStep.Spec().Footprint();
  }
  mStops.erase({ aTask.mServer, run });
  aTask.mStopWanted = aTask.mStopAnswered = false;
}

void Scheduler::Release(StepRun& aStep, int aIndex, const char* aReason)
{
  Task& task = aStep.mTasks[static_cast<std::size_t>(aIndex)];
  Log("run_released",
      aStep.mJob->mSpec.mId,
      { { "run", RunText(aStep.Name(aIndex), task.mRun) },
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
      { { "run", RunText(aStep.Name(aIndex), task.mRun) },
        { "server", task.mServer.Value() },
        { "reason", aReason } });
  // An intent is dropped when it is stored; a predecessor's run is stopped
  // when its server has reported it.
  if (task.mPhase == TaskPhase::eOrdered ||
      task.mPhase == TaskPhase::eRunning) {
    mStops.insert({ task.mServer, { aStep.Name(aIndex), task.mRun } });
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
                        const StartOrder& aOrder,
                        StartAnswer aAnswer,
                        bool aEarlierUnknown)
{
  StepRun* step = nullptr;
  Task* task = FindTask(aOrder.mRun.mTask, &step);
  ServerState* server = mFleet.Find(aOrder.mServer);
  if (task == nullptr || server == nullptr || task->mRun != aOrder.mRun.mRun ||
      task->mPhase != TaskPhase::eOrdered) {
    return;
  }
  const int index = aOrder.mRun.mTask.mIndex;
  Log("start_answered",
      step->mJob->mSpec.mId,
      { { "run", RunText(aOrder.mRun.mTask, aOrder.mRun.mRun) },
        { "server", aOrder.mServer.Value() },
        { "answer", StartAnswerName(aAnswer) },
        { "earlier_unknown", aEarlierUnknown ? "1" : "0" } });
  switch (aAnswer) {
    case StartAnswer::eStarted:
      task->mPhase = TaskPhase::eRunning;
      task->mAnsweredAt = aNow;
      task->mStartedAt = task->mPercentChangedAt = aNow;
      if (task->mStopWanted) {
        mStops.insert({ aOrder.mServer, aOrder.mRun });
      }
      return;
    case StartAnswer::eOldRun:
      // The run has been there: its end is listed, or it is absent.
      task->mAnsweredAt = aNow;
      return;
    case StartAnswer::eUnknown:
      WantStop(*step, index, "start not answered");
      return;
    case StartAnswer::eOtherServer:
      OnReplaced(aNow, aOrder.mServer);
      return;
    case StartAnswer::eFenced:
      return;
    case StartAnswer::eNoRoom:
      mFleet.Pause(*server, aNow, kNoRoomPause);
      break;
    case StartAnswer::eUnhealthy:
      mFleet.Pause(*server, aNow, kUnhealthyPause);
      break;
    case StartAnswer::eBadTicket:
    case StartAnswer::eInvalid:
      // The same order would be refused again at once.
      mFleet.Pause(*server, aNow, kRefusedPause);
      break;
    case StartAnswer::eTooLate:
      break;
  }
  if (aEarlierUnknown) {
    WantStop(*step, index, "an earlier try may still arrive");
  } else {
    Release(*step, index, StartAnswerName(aAnswer));
  }
}

void Scheduler::OnStop(Time aNow, const StopOrder& aOrder, bool aAnswered)
{
  StepRun* step = nullptr;
  Task* task = FindTask(aOrder.mRun.mTask, &step);
  if (task == nullptr || task->mRun != aOrder.mRun.mRun ||
      !IsPlaced(task->mPhase) || task->mServer != aOrder.mServer) {
    return;
  }
  if (aAnswered) {
    task->mStopAnswered = true;
    task->mAnsweredAt = aNow;
  } else {
    mStops.insert(aOrder);
  }
}

void Scheduler::OnSilence(Time, const ServerId& aServer)
{
  ServerState* server = mFleet.Find(aServer);
  if (server != nullptr && server->mAnswers) {
    server->mAnswers = false;
    Log("server_silent", "", { { "server", aServer.Value() } });
  }
}

void Scheduler::OnReplaced(Time, const ServerId& aServer)
{
  ServerState* server = mFleet.Find(aServer);
  if (server != nullptr) {
    server->mAnswers = false;
    ReleaseAll(*server, "server was replaced");
  }
}

void Scheduler::NoteLease(const ServerId& aServer, Time aEndsBy)
{
  if (ServerState* server = mFleet.Find(aServer)) {
    server->mLeasesEndBy = std::max(server->mLeasesEndBy, aEndsBy);
  }
}

void Scheduler::ReleaseAll(ServerState& aServer, const char* aReason)
{
  const auto runs = aServer.mRuns;
  for (const auto& run : runs) {
    StepRun* step = nullptr;
    const Task* task = FindTask(run.mTask, &step);
    if (task != nullptr && task->mRun == run.mRun &&
        task->mPhase != TaskPhase::eIntended) {
      Release(*step, run.mTask.mIndex, aReason);
    }
  }
}

void Scheduler::ReleaseLost(Time aNow)
{
  for (auto& [id, server] : mFleet.Servers()) {
    if (!server.mAnswers && aNow > server.mLeasesEndBy &&
        !server.mRuns.empty()) {
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
    server->mSeenEnds = server->mAckThrough = 0;
    server->mUnstoredEnds.clear();
  }
  std::set<jobs::TaskRun> listed;
  for (const auto& end : aReport.mEnded) {
    listed.insert(end.mRun);
    if (end.mNumber > server->mSeenEnds) {
      TakeEnd(aNow, *server, end);
      server->mSeenEnds = end.mNumber;
      server->mUnstoredEnds.emplace_back(end.mNumber, mChange);
    }
  }
  for (const auto& running : aReport.mRunning) {
    listed.insert(running.mRun);
    TakeRunning(aNow, *server, running);
  }
  const auto runs = server->mRuns;
  for (const auto& run : runs) {
    StepRun* step = nullptr;
    const Task* task = FindTask(run.mTask, &step);
    if (task == nullptr || listed.count(run) > 0) {
      continue;
    }
    const bool answered =
      task->mAnsweredAt.has_value() && *task->mAnsweredAt <= aSentAt;
    if (task->mPhase == TaskPhase::eUnresolved ||
        (newLife && task->mPhase == TaskPhase::eRunning) || answered) {
      Release(*step, run.mTask.mIndex, "absent from the server's report");
    }
  }
}

void Scheduler::TakeRunning(Time aNow,
                            ServerState& aServer,
                            const RunningTask& aRunning)
{
  StepRun* step = nullptr;
  Task* task = FindTask(aRunning.mRun.mTask, &step);
  const bool ours = task != nullptr && task->mRun == aRunning.mRun.mRun &&
                    task->mServer == aServer.mInfo.mId &&
                    IsPlaced(task->mPhase);
  if (!ours) {
    // Carried out after it was given up, or unknown here.
    Log("stray_run",
        aRunning.mRun.mTask.mJob,
        { { "run", RunText(aRunning.mRun.mTask, aRunning.mRun.mRun) },
          { "server", aServer.mInfo.mId.Value() } });
    mStops.insert({ aServer.mInfo.mId, aRunning.mRun });
    return;
  }
  if (task->mPhase != TaskPhase::eRunning) {
    task->mPhase = TaskPhase::eRunning;
    task->mStartedAt = task->mPercentChangedAt = aNow;
    task->mPercent = task->mFirstPercent = aRunning.mPercent;
    if (task->mStopWanted) {
      mStops.insert({ aServer.mInfo.mId, aRunning.mRun });
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

void Scheduler::TakeEnd(Time aNow, ServerState& aServer, const EndedTask& aEnd)
{
  StepRun* step = nullptr;
  Task* task = FindTask(aEnd.mRun.mTask, &step);
  const bool ours = task != nullptr && task->mRun == aEnd.mRun.mRun &&
                    task->mServer == aServer.mInfo.mId &&
                    IsPlaced(task->mPhase);
  Log("run_ended",
      aEnd.mRun.mTask.mJob,
      { { "run", RunText(aEnd.mRun.mTask, aEnd.mRun.mRun) },
        { "server", aServer.mInfo.mId.Value() },
        { "end", RunEndName(aEnd.mEnd) },
        { "number", std::to_string(aEnd.mNumber) },
        { "known", ours ? "1" : "0" } });
  if (!ours) {
    return;
  }
  const int index = aEnd.mRun.mTask.mIndex;
  if (!aEnd.mCheckpoint.empty()) {
    task->mCheckpoint = aEnd.mCheckpoint;
    step->mGangCheckpoint = aEnd.mCheckpoint;
  }
  if (aEnd.mEnd == RunEnd::eDone) {
    mFleet.NoteDone(aServer);
    TakeDone(aNow, *step, index);
  } else if (aEnd.mEnd == RunEnd::eFailed) {
    TakeFailed(aNow, aServer, *step, index);
  } else {
    Release(*step, index, RunEndName(aEnd.mEnd));
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

void Scheduler::FailJob(Job& aJob)
{
  SetState(aJob, JobState::eFailed);
  StopAll(aJob, "job failed");
}

// Storing
// ----------------------------------------------------------------------

Batch Scheduler::TakeBatch(std::int64_t aStoreNowMs)
{
  Batch batch;
  mIntendedInBatch.clear();
  std::vector<StepRun*> steps;
  std::vector<Job*> states;
  // States follow their steps: a job is not shown as completed before its
  // last end is stored.
  std::size_t entries = 0;
  std::size_t bytes = 0;
  for (StepRun* step : mDirtySteps) {
    if (entries + kEntriesPerStep > kEntriesPerBatch ||
        bytes > kBytesPerBatch) {
      break;
    }
    entries += kEntriesPerStep;
    steps.push_back(step);
    AddStepRow(*step, batch);
    bytes += batch.mRows.back().mValue->size();
  }
  const bool allSteps = steps.size() == mDirtySteps.size();
  for (Job* job : mDirtyJobs) {
    if (!allSteps || entries + kEntriesPerState > kEntriesPerBatch) {
      break;
    }
    entries += kEntriesPerState;
    states.push_back(job);
    AddStateRows(*job, aStoreNowMs, batch);
  }
  for (StepRun* step : steps) {
    mDirtySteps.erase(step);
  }
  for (Job* job : states) {
    mDirtyJobs.erase(job);
  }
  batch.mCovers =
    mDirtySteps.empty() && mDirtyJobs.empty() ? mChange : mStoredChange;
  return batch;
}

void Scheduler::AddStepRow(StepRun& aStep, Batch& aBatch)
{
  aStep.mDirty = false;
  aBatch.mRows.push_back(
    { jobs::kRunTable,
      jobs::RunKey(aStep.mJob->mSpec.mId, aStep.mOccurrence, aStep.mStep),
      jobs::EncodeStep(aStep.Record()),
      aStep.mRowVersion });
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    if (aStep.mTasks[i].mPhase == TaskPhase::eIntended) {
      mIntendedInBatch.emplace_back(&aStep, static_cast<int>(i));
    }
  }
}

void Scheduler::AddStateRows(Job& aJob, std::int64_t aStoreNowMs, Batch& aBatch)
{
  aJob.mStateDirty = false;
  if (aJob.IsFinal() && aJob.mEndedAtStoreMs == 0) {
    aJob.mEndedAtStoreMs = std::max<std::int64_t>(1, aStoreNowMs);
  }
  aBatch.mRows.push_back(
    { jobs::kStateTable,
      aJob.mSpec.mId,
      jobs::EncodeState(
        { aJob.mState, aJob.mSpec.mAccount, aJob.mEndedAtStoreMs }),
      aJob.mStateVersion });
  if (aJob.mPendingRow && aJob.mState != JobState::eQueued) {
    aJob.mPendingRow = false;
    aBatch.mRows.push_back(
      { jobs::kPendingTable,
        jobs::PendingKey(aJob.mSpec.mRules.mQueue, aJob.mSpec.mId),
        std::nullopt,
        std::nullopt });
  }
}

void Scheduler::OnStored(Time aNow, const Batch& aBatch, std::int64_t aVersion)
{
  for (const auto& row : aBatch.mRows) {
    const auto job = mJobs.find(jobs::JobOfKey(row.mKey));
    if (job == mJobs.end()) {
      continue;
    }
    if (row.mTable == jobs::kStateTable) {
      job->second->mStateVersion = aVersion;
    } else if (row.mTable == jobs::kRunTable) {
      for (auto& [number, occurrence] : job->second->mOccurrences) {
        for (auto& step : occurrence.mSteps) {
          if (row.mKey ==
              jobs::RunKey(job->first, step->mOccurrence, step->mStep)) {
            step->mRowVersion = aVersion;
          }
        }
      }
    }
  }
  mStoredChange = std::max(mStoredChange, aBatch.mCovers);
  for (auto& [id, server] : mFleet.Servers()) {
    while (!server.mUnstoredEnds.empty() &&
           server.mUnstoredEnds.front().second <= mStoredChange) {
      server.mAckThrough = server.mUnstoredEnds.front().first;
      server.mUnstoredEnds.pop_front();
    }
  }
  const auto intended = std::move(mIntendedInBatch);
  mIntendedInBatch.clear();
  for (const auto& [step, index] : intended) {
    Task& task = step->mTasks[static_cast<std::size_t>(index)];
    if (task.mPhase != TaskPhase::eIntended) {
      continue;
    }
    if (task.mStopWanted) {
      Release(*step, index, "not wanted any more");
      continue;
    }
    task.mPhase = TaskPhase::eOrdered;
    task.mPlacedAt = aNow;
    const bool gang = step->Spec().mGang;
    mStarts.push_back({ task.mServer,
                        { step->Name(index), task.mRun },
                        step->mJob->mSpec.mPayload,
                        gang ? step->mGangCheckpoint : task.mCheckpoint,
                        {} });
  }
}

Orders Scheduler::TakeOrders()
{
  Orders orders;
  orders.mStarts = std::move(mStarts);
  mStarts.clear();
  orders.mStops.assign(mStops.begin(), mStops.end());
  mStops.clear();
  return orders;
}

// Servers
// ----------------------------------------------------------------------

std::vector<ServerId> Scheduler::UpdateServers(
  Time aNow,
  const std::vector<ServerInfo>& aListed,
  Time aLeasesEndBy)
{
  return mFleet.Update(aNow, aListed, aLeasesEndBy);
}

void Scheduler::SetDataCentresOut(std::set<base::DataCentreId> aOut)
{
  mDataCentresOut = std::move(aOut);
}

void Scheduler::SetGuarantees(
  std::map<base::AccountId, std::int64_t> aGuarantees)
{
  mGuarantees = std::move(aGuarantees);
}

std::int64_t Scheduler::AcknowledgedEnds(const ServerId& aServer) const
{
  const ServerState* server = mFleet.Find(aServer);
  return server == nullptr ? 0 : server->mAckThrough;
}

bool Scheduler::NeedsReports(const ServerId& aServer) const
{
  const ServerState* server = mFleet.Find(aServer);
  return server != nullptr &&
         (!server->mRuns.empty() || !server->mUnstoredEnds.empty() ||
          !server->mFenced);
}

int Scheduler::WaitingTasks() const
{
  int waiting = 0;
  for (const auto& [id, job] : mJobs) {
    if (job->IsFinal()) {
      continue;
    }
    for (const auto& [number, occurrence] : job->mOccurrences) {
      for (const auto& step : occurrence.mSteps) {
        waiting += step->mReady ? step->mWaiting : 0;
      }
    }
  }
  return waiting;
}

std::vector<RowChange> Scheduler::TakeExpired(std::int64_t aStoreMs)
{
  std::vector<RowChange> rows;
  for (auto entry = mJobs.begin(); entry != mJobs.end();) {
    Job& job = *entry->second;
    bool busy = job.mStateDirty || !job.IsFinal() ||
                job.mEndedAtStoreMs >= aStoreMs ||
                rows.size() > kEntriesPerBatch / 2;
    for (const auto& [number, occurrence] : job.mOccurrences) {
      for (const auto& step : occurrence.mSteps) {
        busy = busy || step->mDirty;
        for (const auto& task : step->mTasks) {
          busy = busy || IsPlaced(task.mPhase);
        }
      }
    }
    if (busy) {
      ++entry;
      continue;
    }
    for (const auto& [number, occurrence] : job.mOccurrences) {
      for (const auto& step : occurrence.mSteps) {
        if (step->mRowVersion != 0) {
          rows.push_back({ jobs::kRunTable,
                           jobs::RunKey(entry->first, number, step->mStep),
                           std::nullopt,
                           std::nullopt });
        }
      }
    }
    rows.push_back(
      { jobs::kStateTable, entry->first, std::nullopt, std::nullopt });
    rows.push_back(
      { jobs::kJobTable, entry->first, std::nullopt, std::nullopt });
    if (job.mCancelled) {
      rows.push_back({ jobs::kJobTable,
                       jobs::CancelKey(entry->first),
                       std::nullopt,
                       std::nullopt });
    }
    entry = mJobs.erase(entry);
  }
  return rows;
}

// Passes
// -----------------------------------------------------------------------

void Scheduler::UpdateReady(Time aNow, Occurrence& aOccurrence)
{
  for (auto& step : aOccurrence.mSteps) {
    if (step->mReady) {
      continue;
    }
    bool ready = true;
    for (const int before : step->Spec().mAfter) {
      ready =
        ready &&
        aOccurrence.mSteps[static_cast<std::size_t>(before)]->mUnfinished == 0;
    }
    if (ready) {
      step->mReady = true;
      step->mReadyAt = aNow;
    }
  }
}

void Scheduler::CreateDue(Time aNow, std::int64_t aUnixMs)
{
  for (auto& [id, job] : mJobs) {
    const auto& spec = job->mSpec;
    if (spec.mOccurrences == 0 || job->IsFinal()) {
      continue;
    }
    for (int i = 0; i < spec.mOccurrences; ++i) {
      if (aUnixMs < spec.mFirstDueMs + i * spec.mIntervalMs) {
        break;
      }
      if (job->mOccurrences.count(i) == 0) {
        auto& occurrence =
          job->mOccurrences.emplace(i, MakeOccurrence(*job, i)).first->second;
        UpdateReady(aNow, occurrence);
        Log("occurrence_due", id, { { "occurrence", std::to_string(i) } });
      }
    }
  }
}

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
    const auto runs = server.mRuns;
    for (const auto& run : runs) {
      StepRun* step = nullptr;
      const Task* task = FindTask(run.mTask, &step);
      if (task == nullptr || task->mStopWanted ||
          task->mPhase != TaskPhase::eRunning || step->Spec().mLongRunning) {
        continue;
      }
      const double speed = task->Speed();
      const std::chrono::duration<double> left =
        speed > 0
          ? std::chrono::duration<double>((100 - task->mPercent) / speed)
          : std::chrono::duration<double>(step->Spec().mEstimate);
      const std::chrono::duration<double> stays = *server.mLeavesAt - aNow;
      if (left > stays) {
        // It would be lost with the server; elsewhere it starts sooner, and
        // from its checkpoint if it has one.
        WantStop(*step, run.mTask.mIndex, "server leaves before its end");
      }
    }
  }
}

std::optional<std::int64_t> Scheduler::MillisecondsToNextDue(
  std::int64_t aUnixMs) const
{
  std::optional<std::int64_t> next;
  for (const auto& [id, job] : mJobs) {
    const auto& spec = job->mSpec;
    if (spec.mOccurrences == 0 || job->IsFinal()) {
      continue;
    }
    const auto created =
      job->mOccurrences.empty() ? 0 : job->mOccurrences.rbegin()->first + 1;
    if (created < spec.mOccurrences) {
      const auto due = spec.mFirstDueMs + created * spec.mIntervalMs;
      const auto wait = std::max<std::int64_t>(0, due - aUnixMs);
      next = next ? std::min(*next, wait) : wait;
    }
  }
  return next;
}

std::vector<Scheduler::Group> Scheduler::OrderedGroups(Time aNow)
{
  std::map<base::AccountId, std::int64_t> demand;
  std::vector<Group> groups;
  for (auto& [id, job] : mJobs) {
    if (job->IsFinal()) {
      continue;
    }
    for (auto& [number, occurrence] : job->mOccurrences) {
      for (auto& step : occurrence.mSteps) {
        if (!step->mReady || step->mUnfinished == 0) {
          continue;
        }
        if (job->mSpec.mRules.mPriority == 0) {
          demand[job->mSpec.mAccount] +=
            step->Spec().mPerTask.mAccelerators * step->mUnfinished;
        }
        if (step->mWaiting > 0 && !step->mGangBreaking) {
          groups.push_back({ step.get(), false });
        }
      }
    }
  }
  mOverGuarantee.clear();
  for (const auto& [account, needed] : demand) {
    const auto guarantee = mGuarantees.find(account);
    if (guarantee == mGuarantees.end() || needed > guarantee->second) {
      mOverGuarantee.insert(account);
    }
  }
  for (Group& group : groups) {
    const auto& spec = group.mStep->mJob->mSpec;
    const auto guarantee = mGuarantees.find(spec.mAccount);
    group.mGuaranteed = spec.mRules.mPriority == 0 &&
                        guarantee != mGuarantees.end() &&
                        demand[spec.mAccount] <= guarantee->second;
  }
  const auto key = [aNow](const Group& aGroup) {
    const Job& job = *aGroup.mStep->mJob;
    // Jobs that can still be in time come first; after three times the
    // objective a job earns nothing any more.
    const auto worthless =
      job.mAcceptedAt + (job.mObjective - job.mAcceptedAt) * 3;
    const auto end = aNow + aGroup.mStep->Spec().mEstimate;
    const int lateness = end <= job.mObjective ? 0 : end <= worthless ? 1 : 2;
    return std::make_tuple(!aGroup.mGuaranteed,
                           job.mSpec.mRules.mPriority,
                           lateness,
                           job.mObjective,
                           aGroup.mStep->mOccurrence,
                           aGroup.mStep->mStep);
  };
  std::sort(groups.begin(),
            groups.end(),
            [&key](const Group& aLeft, const Group& aRight) {
              return key(aLeft) < key(aRight);
            });
  return groups;
}

void Scheduler::Schedule(Time aNow, std::int64_t aUnixMs)
{
  ReleaseLost(aNow);
  LeaveSlowServers(aNow);
  LeaveDrainingServers(aNow);
  CreateDue(aNow, aUnixMs);
  Placement placement(mFleet, mDataCentresOut, aNow);
  const auto groups = OrderedGroups(aNow);
  // Room that is being made for a step is not given to others, also not to
  // more urgent ones: they make room of their own.
  for (const Group& group : groups) {
    if (!group.mStep->mPlan.empty()) {
      HoldPlan(aNow, *group.mStep, placement);
    }
  }
  for (const Group& group : groups) {
    PlaceGroup(aNow, group, placement);
  }
}

bool Scheduler::MayGoRemote(Time aNow, const StepRun& aStep) const
{
  const Job& job = *aStep.mJob;
  const auto remote = std::chrono::duration_cast<base::Duration>(
    aStep.Spec().mEstimate * mSettings.mRemoteFactor);
  if (aNow - aStep.mReadyAt < kLocalWait) {
    return false;
  }
  return aNow + remote <= job.mObjective ||
         aNow + aStep.Spec().mEstimate > job.mObjective;
}

void Scheduler::HoldPlan(Time aNow, StepRun& aStep, Placement& aPlacement)
{
  bool usable = aNow - aStep.mPlannedAt < kPlanTimeout;
  for (const auto& [index, server] : aStep.mPlan) {
    const bool waiting = aStep.mTasks[static_cast<std::size_t>(index)].mPhase ==
                         TaskPhase::eWaiting;
    usable = usable && waiting && aPlacement.IsUsable(server);
  }
  if (!usable) {
    aStep.mPlan.clear();
    return;
  }
  for (const auto& [index, server] : aStep.mPlan) {
    aPlacement.Take(server, aStep.Spec().Footprint());
  }
}

void Scheduler::FollowPlan(Time aNow, StepRun& aStep, Placement& aPlacement)
{
  // The room is held already: it is there once no server is overdrawn.
  for (const auto& [index, server] : aStep.mPlan) {
    if (!aPlacement.Fits(server, jobs::Resources{})) {
      return;
    }
  }
  aStep.mGangRun += aStep.Spec().mGang ? 1 : 0;
  const auto plan = std::move(aStep.mPlan);
  aStep.mPlan.clear();
  for (const auto& [index, server] : plan) {
    Intend(aStep, index, server, aNow);
  }
}

void Scheduler::PlaceGroup(Time aNow,
                           const Group& aGroup,
                           Placement& aPlacement)
{
  StepRun& step = *aGroup.mStep;
  if (!step.mPlan.empty()) {
    FollowPlan(aNow, step, aPlacement);
    return;
  }
  auto indices = WaitingIndices(step);
  // Whether a place near the data exists at all changes only with the fleet.
  if (aNow - step.mLocalCheckedAt >= kLocalCheckEvery) {
    step.mLocalCheckedAt = aNow;
    step.mCouldStayLocal = aPlacement.CouldStayLocal(step, indices);
  }
  const bool reclaimNow =
    aGroup.mGuaranteed && aNow - step.mReadyAt >= kReclaimAnywhereAfter;
  const bool remote =
    reclaimNow || MayGoRemote(aNow, step) || !step.mCouldStayLocal;
  Assignment assignment;
  if (step.Spec().mGang) {
    assignment =
      aPlacement.PlaceAll(step, indices, remote).value_or(Assignment{});
    step.mGangRun += assignment.empty() ? 0 : 1;
  } else {
    assignment = aPlacement.PlaceSome(step, indices, remote);
  }
  for (const auto& [index, server] : assignment) {
    Intend(step, index, server, aNow);
  }
  indices = WaitingIndices(step);
  if (indices.empty() || !aGroup.mGuaranteed ||
      aNow - step.mVictimsSoughtAt < kSeekVictimsEvery) {
    return;
  }
  step.mVictimsSoughtAt = aNow;
  std::vector<Victim> victims;
  const auto over = aPlacement.PlaceOver(
    step,
    indices,
    remote,
    [&](const ServerState& aServer) {
      return VictimsOn(aServer, step, reclaimNow, aNow);
    },
    victims);
  if (!over) {
    return;
  }
  step.mPlan = *over;
  step.mPlannedAt = aNow;
  Log("preempt",
      step.mJob->mSpec.mId,
      { { "tasks", std::to_string(indices.size()) },
        { "victims", std::to_string(victims.size()) } });
  for (const Victim& victim : victims) {
    WantStop(*victim.mStep, victim.mIndex, "preempted");
  }
}

std::vector<Victim> Scheduler::VictimsOn(const ServerState& aServer,
                                         const StepRun& aFor,
                                         bool aFromOverGuarantee,
                                         Time aNow)
{
  std::vector<Victim> victims;
  for (const auto& run : aServer.mRuns) {
    StepRun* step = nullptr;
    const Task* task = FindTask(run.mTask, &step);
    if (task == nullptr || step->Spec().mLongRunning) {
      continue;
    }
    const auto& rules = step->mJob->mSpec.mRules;
    const bool lessUrgent = rules.mPriority > aFor.mJob->mSpec.mRules.mPriority;
    const bool overGuarantee =
      aFromOverGuarantee &&
      mOverGuarantee.count(step->mJob->mSpec.mAccount) > 0;
    if (!lessUrgent && !overGuarantee) {
      continue;
    }
    if (task->mPhase != TaskPhase::eRunning &&
        task->mPhase != TaskPhase::eOrdered) {
      continue;
    }
    Victim victim{ step, run.mTask.mIndex, step->Spec().Footprint(), 0 };
    if (!task->mStopWanted) {
      const auto age = std::chrono::duration<double>(aNow - task->mPlacedAt);
      const double members =
        step->Spec().mGang ? static_cast<double>(step->mTasks.size()) : 1.0;
      victim.mCost =
        step->Spec().mCheckpoints
          ? step->Spec().mPerTask.WeightedCores() * members * 0.5
          : step->Spec().mPerTask.WeightedCores() * members * age.count();
    }
    victim.mCost *= lessUrgent ? 1.0 : kSamePriorityCost;
    victims.push_back(victim);
  }
  return victims;
}

} // namespace flamingoloom::scheduler
