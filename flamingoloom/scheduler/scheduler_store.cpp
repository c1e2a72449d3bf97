// The state that the scheduler stores: batches of rows, and the effects once
// they are stored.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>

namespace flamingoloom::scheduler {

using base::Time;
using jobs::JobState;

namespace {

// The store accepts 100 entries in a transaction, and a condition counts as
// one. The rest is for the condition on the epoch.
constexpr std::size_t kMaxEntriesPerBatch = 95;
// The row and the condition on its version.
constexpr std::size_t kEntriesPerRow = 2;
// Limits the work of garbage collection in one call, so that scheduling goes on
// beside it.
constexpr std::size_t kMaxExpiredJobsPerCall = 40;
// The store accepts transactions of up to 1 MB; this leaves room for base64
// encoding.
constexpr std::size_t kMaxBytesPerBatch = std::size_t{ 500 } * 1024;

} // namespace

// Storing
// ----------------------------------------------------------------------

Batch Scheduler::TakeBatch(std::int64_t aStoreNowMs)
{
  Batch batch;
  mAssignedInBatch.clear();
  std::vector<StepState*> steps;
  std::vector<Job*> states;
  // Add the states of jobs after all steps, so that no job is shown as
  // completed before its last completion is stored.
  std::size_t entries = 0;
  std::size_t bytes = 0;
  for (StepState* step : mDirtySteps) {
    if (entries + kEntriesPerRow > kMaxEntriesPerBatch ||
        bytes > kMaxBytesPerBatch) {
      break;
    }
    entries += kEntriesPerRow;
    steps.push_back(step);
    AddStepRow(*step, batch);
    bytes += batch.mRows.back().mValue->size();
  }
  const bool allSteps = steps.size() == mDirtySteps.size();
  for (Job* job : mDirtyJobs) {
    if (!allSteps || entries + kEntriesPerRow > kMaxEntriesPerBatch) {
      break;
    }
    entries += kEntriesPerRow;
    states.push_back(job);
    AddStateRow(*job, aStoreNowMs, batch);
  }
  for (StepState* step : steps) {
    mDirtySteps.erase(step);
  }
  for (Job* job : states) {
    mDirtyJobs.erase(job);
  }
  batch.mLastChangeNumber = mDirtySteps.empty() && mDirtyJobs.empty()
                              ? mChangeNumber
                              : mStoredChangeNumber;
  return batch;
}

void Scheduler::AddStepRow(StepState& aStep, Batch& aBatch)
{
  aStep.mDirty = false;
  aBatch.mRows.push_back(
    { jobs::kStepTable,
      jobs::StepKey(aStep.mJob->mSpec.mId, aStep.mOccurrence, aStep.mStep),
      jobs::EncodeStep(aStep.Record()),
      aStep.mRowVersion });
  for (std::size_t i = 0; i < aStep.mTasks.size(); ++i) {
    if (aStep.mTasks[i].mPhase == TaskPhase::eAssigned) {
      mAssignedInBatch.emplace_back(&aStep, static_cast<int>(i));
    }
  }
}

void Scheduler::AddStateRow(Job& aJob, std::int64_t aStoreNowMs, Batch& aBatch)
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
    } else if (row.mTable == jobs::kStepTable) {
      for (auto& [number, occurrence] : job->second->mOccurrences) {
        for (auto& step : occurrence.mSteps) {
          if (row.mKey ==
              jobs::StepKey(job->first, step->mOccurrence, step->mStep)) {
            step->mRowVersion = aVersion;
          }
        }
      }
    }
  }
  mStoredChangeNumber = std::max(mStoredChangeNumber, aBatch.mLastChangeNumber);
  for (auto& [id, server] : mFleet.Servers()) {
    while (!server.mUnstoredCompletions.empty() &&
           server.mUnstoredCompletions.front().second <= mStoredChangeNumber) {
      server.mAcknowledgedThrough = server.mUnstoredCompletions.front().first;
      server.mUnstoredCompletions.pop_front();
    }
  }
  const auto assigned = std::move(mAssignedInBatch);
  mAssignedInBatch.clear();
  for (const auto& [step, index] : assigned) {
    Task& task = step->mTasks[static_cast<std::size_t>(index)];
    if (task.mPhase != TaskPhase::eAssigned) {
      continue;
    }
    if (task.mStopRequested) {
      Requeue(*step, index, "not wanted any more");
      continue;
    }
    task.mPhase = TaskPhase::eDispatching;
    task.mPlacedAt = aNow;
    const bool gang = step->Spec().mGang;
    mStarts.push_back({ task.mServer,
                        { step->Name(index), task.mAttemptNumber },
                        step->mJob->mSpec.mPayload,
                        gang ? step->mGangCheckpoint : task.mCheckpoint,
                        {} });
  }
}

TaskCommands Scheduler::TakeCommands()
{
  TaskCommands commands;
  commands.mStarts = std::move(mStarts);
  mStarts.clear();
  commands.mStops.assign(mStops.begin(), mStops.end());
  mStops.clear();
  return commands;
}

std::vector<ExpiredJob> Scheduler::TakeExpiredJobs(std::int64_t aStoreMs)
{
  std::vector<ExpiredJob> expired;
  for (auto entry = mJobs.begin();
       entry != mJobs.end() && expired.size() < kMaxExpiredJobsPerCall;) {
    const Job& job = *entry->second;
    bool busy =
      job.mStateDirty || !job.IsFinal() || job.mEndedAtStoreMs >= aStoreMs;
    ExpiredJob candidate{ entry->first, job.mCancelled, {} };
    for (const auto& [number, occurrence] : job.mOccurrences) {
      for (const auto& step : occurrence.mSteps) {
        busy =
          busy || step->mDirty ||
          std::any_of(step->mTasks.begin(),
                      step->mTasks.end(),
                      [](const Task& aTask) { return IsPlaced(aTask.mPhase); });
        if (step->mRowVersion != 0) {
          candidate.mStepKeys.push_back(
            jobs::StepKey(entry->first, number, step->mStep));
        }
      }
    }
    if (busy) {
      ++entry;
      continue;
    }
    expired.push_back(std::move(candidate));
    entry = mJobs.erase(entry);
  }
  return expired;
}

} // namespace flamingoloom::scheduler
