// The rows that a job has in the store, in the product's own format.
//
//   table kJobTable, key ID            the job as it was accepted
//   table kJobTable, key ID + ".c"     the job was cancelled
//   table kStateTable, key ID          its state, for callers
//   table kStepTable, key ID/K/STEP    what became of the tasks of a step
//
// Instances that talk to callers create the rows of kJobTable, in the part of
// the store that PartitionOfJob names: the store works through the transactions
// of a part one after another, so acceptances wait neither for each other nor
// for the scheduling instance. That instance alone writes kStateTable and
// kStepTable, in kSchedulerPartition, and removes rows. A job without a row in
// kStateTable is queued.
//
// Decoding never throws: a row that cannot be read is an error value.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/jobs/job.h"

namespace flamingoloom::jobs {

inline constexpr const char* kJobTable = "job";
inline constexpr const char* kStateTable = "state";
inline constexpr const char* kStepTable = "run";

inline constexpr const char* kSchedulerPartition = "scheduler";
// All parts of kJobTable.
const std::vector<std::string>& JobPartitions();
const std::string& PartitionOfJob(const std::string& aJob);

std::string CancelKey(const std::string& aJob);
bool IsCancelKey(const std::string& aKey);
// The job that a key of kJobTable or kStepTable belongs to.
std::string JobOfKey(const std::string& aKey);
std::string StepKey(const std::string& aJob, int aOccurrence, int aStep);

struct StateRecord
{
  JobState mState = JobState::eQueued;
  base::AccountId mAccount;
  // When the state became final, on the store's steady clock.
  std::int64_t mEndedAtStoreMs = 0;

  friend bool operator==(const StateRecord&, const StateRecord&) = default;
};

enum class TaskOutcome
{
  eWaiting = 0,
  // A start was recorded: the run may be at mServer.
  eAssigned = 1,
  eDone = 2,
  eFailed = 3,
};

struct TaskRecord
{
  int mIndex = 0;
  TaskOutcome mOutcome = TaskOutcome::eWaiting;
  int mAttemptNumber = 0;
  base::ServerId mServer;
  int mFailures = 0;
  std::string mCheckpoint;

  friend bool operator==(const TaskRecord&, const TaskRecord&) = default;
};

struct StepRecord
{
  int mOccurrence = 0;
  int mStep = 0;
  // Tasks that were never placed have no record.
  std::vector<TaskRecord> mTasks;

  friend bool operator==(const StepRecord&, const StepRecord&) = default;
};

std::string EncodeJob(const JobSpec& aJob);
base::Expected<JobSpec> DecodeJob(const std::string& aId,
                                  const std::string& aValue);
std::string EncodeState(const StateRecord& aState);
base::Expected<StateRecord> DecodeState(const std::string& aValue);
std::string EncodeStep(const StepRecord& aStep);
base::Expected<StepRecord> DecodeStep(const std::string& aValue);

// Jobs of which no task has started, by queue; queues without any are left out.
using QueueLengths = std::map<std::string, std::int64_t>;
std::string EncodeQueueLengths(const QueueLengths& aLengths);
base::Expected<QueueLengths> DecodeQueueLengths(const std::string& aValue);

} // namespace flamingoloom::jobs
