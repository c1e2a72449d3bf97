#include "flamingoloom/scheduler/job_progress.h"

#include <algorithm>

namespace flamingoloom::scheduler {

using jobs::TaskOutcome;

double Task::Speed() const
{
  const std::chrono::duration<double> elapsed = mReportedAt - mStartedAt;
  return elapsed.count() > 0 ? (mPercent - mFirstPercent) / elapsed.count()
                             : 0.0;
}

std::optional<base::Duration> Task::TimeLeftAtReport() const
{
  const double speed = Speed();
  if (speed <= 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<base::Duration>(
    std::chrono::duration<double>((100 - mPercent) / speed));
}

const jobs::StepSpec& StepState::Spec() const
{
  return mJob->mSpec.mSteps[static_cast<std::size_t>(mStep)];
}

bool StepState::WantsOneRack() const
{
  return !Spec().mDataRack.empty() || (Spec().mGang && Spec().mSameRack);
}

jobs::TaskName StepState::Name(int aIndex) const
{
  return { mJob->mSpec.mId, mOccurrence, mStep, aIndex };
}

jobs::StepRecord StepState::Record() const
{
  jobs::StepRecord record{ mOccurrence, mStep, {}, mGangFailedAttempt };
  for (std::size_t i = 0; i < mTasks.size(); ++i) {
    const Task& task = mTasks[i];
    if (task.mAttemptNumber == 0) {
      continue;
    }
    jobs::TaskRecord row;
    row.mIndex = static_cast<int>(i);
    row.mAttemptNumber = task.mAttemptNumber;
    row.mFailures = Spec().mGang ? mGangFailures : task.mFailures;
    row.mCheckpoint = Spec().mGang ? mGangCheckpoint : task.mCheckpoint;
    switch (task.mPhase) {
      case TaskPhase::eWaiting:
        row.mOutcome = TaskOutcome::eWaiting;
        break;
      case TaskPhase::eDone:
        row.mOutcome = TaskOutcome::eDone;
        row.mCheckpoint.clear();
        break;
      case TaskPhase::eFailed:
        row.mOutcome = TaskOutcome::eFailed;
        break;
      default:
        row.mOutcome = TaskOutcome::eAssigned;
        row.mServer = task.mServer;
        break;
    }
    record.mTasks.push_back(std::move(row));
  }
  return record;
}

admission::MemoryClass MemoryClassOf(const Job& aJob)
{
  return admission::ClassOf(aJob.mSpec.mAccount, aJob.mSpec.mRules.mPriority);
}

Occurrence MakeOccurrence(Job& aJob, int aOccurrence)
{
  Occurrence occurrence;
  for (std::size_t i = 0; i < aJob.mSpec.mSteps.size(); ++i) {
    auto step = std::make_unique<StepState>();
    step->mJob = &aJob;
    step->mOccurrence = aOccurrence;
    step->mStep = static_cast<int>(i);
    step->mTasks.resize(
      static_cast<std::size_t>(aJob.mSpec.mSteps[i].mTaskCount));
    step->mUnfinishedTasks = step->mWaitingTasks =
      aJob.mSpec.mSteps[i].mTaskCount;
    occurrence.mSteps.push_back(std::move(step));
  }
  occurrence.mUnfinishedSteps = static_cast<int>(occurrence.mSteps.size());
  return occurrence;
}

void RestoreStep(StepState& aStep, const jobs::StepRecord& aRecord)
{
  aStep.mHasRow = true;
  aStep.mGangFailedAttempt = aRecord.mGangFailedAttempt;
  for (const auto& row : aRecord.mTasks) {
    if (row.mIndex < 0 || row.mIndex >= static_cast<int>(aStep.mTasks.size())) {
      continue;
    }
    Task& task = aStep.mTasks[static_cast<std::size_t>(row.mIndex)];
    task.mAttemptNumber = row.mAttemptNumber;
    task.mServer = row.mServer;
    task.mFailures = row.mFailures;
    task.mCheckpoint = row.mCheckpoint;
    aStep.mGangAttemptNumber =
      std::max(aStep.mGangAttemptNumber, row.mAttemptNumber);
    if (aStep.Spec().mGang) {
      aStep.mGangFailures = std::max(aStep.mGangFailures, row.mFailures);
      aStep.mGangCheckpoint = row.mCheckpoint;
    }
    switch (row.mOutcome) {
      case TaskOutcome::eWaiting:
        task.mPhase = TaskPhase::eWaiting;
        break;
      case TaskOutcome::eAssigned:
        task.mPhase = TaskPhase::eUnresolved;
        break;
      case TaskOutcome::eDone:
        task.mPhase = TaskPhase::eDone;
        break;
      case TaskOutcome::eFailed:
        task.mPhase = TaskPhase::eFailed;
        break;
    }
  }
  aStep.mWaitingTasks = aStep.mUnfinishedTasks = 0;
  for (const Task& task : aStep.mTasks) {
    aStep.mWaitingTasks += task.mPhase == TaskPhase::eWaiting ? 1 : 0;
    aStep.mUnfinishedTasks += task.mPhase == TaskPhase::eDone ? 0 : 1;
  }
}

bool IsPlaced(TaskPhase aPhase)
{
  return aPhase == TaskPhase::eAssigned || aPhase == TaskPhase::eDispatching ||
         aPhase == TaskPhase::eRunning || aPhase == TaskPhase::eUnresolved;
}

std::string AttemptText(const jobs::TaskName& aName, int aAttemptNumber)
{
  return std::to_string(aName.mOccurrence) + "." + std::to_string(aName.mStep) +
         "." + std::to_string(aName.mIndex) + "#" +
         std::to_string(aAttemptNumber);
}

} // namespace flamingoloom::scheduler
