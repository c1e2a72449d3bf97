// The state that the scheduler stores: batches of rows, and the effects once
// they are stored.
#include "flamingoloom/scheduler/scheduler.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <utility>

namespace flamingoloom::scheduler {

using base::Time;
using jobs::JobState;

namespace {

// The store accepts 100 entries in a transaction. The rest is for the leader's
// conditions and the row that numbers its batches.
constexpr std::size_t kMaxRowsPerBatch = 95;
// Of these, rows that nobody waits for get at least this many, so that
// completions are acknowledged in time also under a lasting load.
constexpr std::size_t kMinProgressRowsPerBatch = 20;
// The store accepts transactions of up to 1 MB; this leaves room for base64
// encoding.
constexpr std::size_t kMaxBytesPerBatch = std::size_t{ 500 } * 1024;

} // namespace

// Storing
// ----------------------------------------------------------------------

namespace {

enum class StoreUrgency
{
  // Starts wait for the row, or the end of the job does.
  eStart,
  // Callers wait for the state. It comes after all rows of eStart, so that no
  // job is shown as completed before its last completion is stored.
  eFinalState,
  // Nobody waits for it.
  eProgress,
};

StoreUrgency UrgencyOf(const StepState& aStep)
{
  // A finished step goes with the starts of the steps that depend on it.
  const bool urgent = aStep.mUnfinishedTasks == 0 ||
                      std::any_of(aStep.mTasks.begin(),
                                  aStep.mTasks.end(),
                                  [](const Task& aTask) {
                                    return aTask.mPhase == TaskPhase::eAssigned;
                                  });
  return urgent ? StoreUrgency::eStart : StoreUrgency::eProgress;
}

// A row to store: that of mStep, or if it is null the state of mJob.
struct PendingRow
{
  StoreUrgency mUrgency;
  Job* mJob;
  StepState* mStep;

  auto SortKey() const
  {
    return std::make_tuple(mUrgency,
                           mJob->mSpec.mRules.mPriority,
                           mJob->mObjective,
                           std::string_view(mJob->mSpec.mId),
                           mStep == nullptr ? 0 : mStep->mOccurrence,
                           mStep == nullptr ? 0 : mStep->mStep);
  }
};

// Returns the rows of one batch, the most urgent ones first.
std::vector<PendingRow> SelectRows(const std::set<StepState*>& aSteps,
                                   const std::set<Job*>& aJobs)
{
  std::vector<PendingRow> rows;
  rows.reserve(aSteps.size() + aJobs.size());
  for (StepState* step : aSteps) {
    rows.push_back({ UrgencyOf(*step), step->mJob, step });
  }
  for (Job* job : aJobs) {
    rows.push_back(
      { job->IsFinal() ? StoreUrgency::eFinalState : StoreUrgency::eProgress,
        job,
        nullptr });
  }
  // The sets are in the order of addresses, which differs from run to run.
  std::sort(
    rows.begin(), rows.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.SortKey() < aRight.SortKey();
    });
  if (rows.size() <= kMaxRowsPerBatch) {
    return rows;
  }
  const auto progress =
    std::find_if(rows.begin(), rows.end(), [](const PendingRow& aRow) {
      return aRow.mUrgency == StoreUrgency::eProgress;
    });
  const auto progressRows = static_cast<std::size_t>(rows.end() - progress);
  const auto urgentRows = std::min(
    rows.size() - progressRows,
    kMaxRowsPerBatch - std::min(kMinProgressRowsPerBatch, progressRows));
  std::vector<PendingRow> selected(
    rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(urgentRows));
  const auto rest = std::min(kMaxRowsPerBatch - selected.size(), progressRows);
  selected.insert(
    selected.end(), progress, progress + static_cast<std::ptrdiff_t>(rest));
  return selected;
}

} // namespace

Batch Scheduler::TakeBatch(std::int64_t aStoreNowMs)
{
  Batch batch;
  mAssignedInBatch.clear();
  std::size_t bytes = 0;
  for (const auto& row : SelectRows(mDirtySteps, mDirtyJobs)) {
    if (bytes > kMaxBytesPerBatch) {
      break;
    }
    if (row.mStep != nullptr) {
      AddStepRow(*row.mStep, batch);
      mDirtySteps.erase(row.mStep);
    } else {
      AddStateRow(*row.mJob, aStoreNowMs, batch);
      mDirtyJobs.erase(row.mJob);
    }
    bytes += batch.mRows.back().mValue->size();
  }
  batch.mLastChangeNumber = mDirtySteps.empty() && mDirtyJobs.empty()
                              ? mChangeNumber
                              : mStoredChangeNumber;
  return batch;
}

void Scheduler::AddStepRow(StepState& aStep, Batch& aBatch)
{
  aStep.mDirty = false;
  aStep.mHasRow = true;
  aBatch.mRows.push_back(
    { jobs::kStepTable,
      jobs::StepKey(aStep.mJob->mSpec.mId, aStep.mOccurrence, aStep.mStep),
      jobs::EncodeStep(aStep.Record()),
      std::nullopt });
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
      std::nullopt });
}

std::vector<base::ServerId> Scheduler::OnStored(Time aNow, const Batch& aBatch)
{
  mStoredChangeNumber = std::max(mStoredChangeNumber, aBatch.mLastChangeNumber);
  std::vector<base::ServerId> acknowledged;
  for (auto id = mServersToAcknowledge.begin();
       id != mServersToAcknowledge.end();) {
    ServerState* server = mFleet.Find(*id);
    auto* completions =
      server == nullptr ? nullptr : &server->mUnstoredCompletions;
    while (completions != nullptr && !completions->empty() &&
           completions->front().second <= mStoredChangeNumber) {
      server->mAcknowledgedThrough = completions->front().first;
      completions->pop_front();
    }
    if (completions == nullptr || completions->empty()) {
      acknowledged.push_back(*id);
      id = mServersToAcknowledge.erase(id);
    } else {
      ++id;
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
                        step->mJob->mPayload,
                        gang ? step->mGangCheckpoint : task.mCheckpoint,
                        {},
                        step->mJob->mSpec.mRules.mPriority });
  }
  return acknowledged;
}

std::int64_t CommandMemory(const StartCommand& aStart)
{
  // The call's state; the payload is copied into the body, where each byte may
  // be escaped by several.
  constexpr std::int64_t kCallBytes = 4096;
  constexpr std::int64_t kBytesPerPayloadByte = 3;
  return kCallBytes + kBytesPerPayloadByte *
                        static_cast<std::int64_t>(aStart.mPayload->size());
}

TaskCommands Scheduler::TakeCommands(CommandBudget aBudget)
{
  TaskCommands commands;
  // Stops that get no answer are sent again and again, so they must leave room
  // for urgent starts too.
  const auto reservedFromStops = aBudget.mReservedBytes / 2;
  while (!mStops.empty() &&
         aBudget.mBytes - reservedFromStops >= kStopCommandMemory) {
    aBudget.mBytes -= kStopCommandMemory;
    commands.mStops.push_back(
      std::move(mStops.extract(mStops.begin()).value()));
  }
  // A start that has waited may have been given up, and its task may have been
  // assigned again.
  std::erase_if(mStarts, [this](const StartCommand& aStart) {
    return !IsStartWanted(aStart);
  });
  std::stable_sort(mStarts.begin(),
                   mStarts.end(),
                   [](const StartCommand& aLeft, const StartCommand& aRight) {
                     return aLeft.mPriority < aRight.mPriority;
                   });
  auto start = mStarts.begin();
  for (; start != mStarts.end(); ++start) {
    const auto reserved =
      start->mPriority == 0 ? std::int64_t{ 0 } : aBudget.mReservedBytes;
    const auto bytes = CommandMemory(*start);
    if (aBudget.mBytes - reserved < bytes) {
      break;
    }
    aBudget.mBytes -= bytes;
    commands.mStarts.push_back(std::move(*start));
  }
  mStarts.erase(mStarts.begin(), start);
  return commands;
}

} // namespace flamingoloom::scheduler
