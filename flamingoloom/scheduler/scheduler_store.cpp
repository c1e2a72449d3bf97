// What the scheduler has stored: batches, and what follows once they are.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>

namespace flamingoloom::scheduler {

using base::Time;
using jobs::JobState;

namespace {

// The store takes 100 entries in a transaction, and a condition counts as one;
// some are left for the epoch's condition.
constexpr std::size_t kEntriesPerBatch = 95;
// A row with a condition, and a job's state with its row in kPendingTable.
constexpr std::size_t kEntriesPerStep = 2;
constexpr std::size_t kEntriesPerState = 3;
// Below the store's 1 MB for a transaction, also in base64.
constexpr std::size_t kBytesPerBatch = std::size_t{ 500 } * 1024;

} // namespace

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

} // namespace flamingoloom::scheduler
