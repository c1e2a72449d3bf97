// The rows that a job has in the store, and their encoding, which is the
// project's own and not the platform's.
//
//   table kJobTable, key ID            the job as it was accepted
//   table kJobTable, key ID + ".c"     cancellation marker
//   table kStateTable, key ID          the job's state, for API callers
//   table kStepTable, key ID/K/STEP    the tasks of a step in occurrence K
//   table kBatchTable, key kBatchKey   the number of the leader's last batch
//
// The instances that serve the job API create the rows of kJobTable, in the
// partition of the store that PartitionOfJob returns. The store processes the
// transactions of one partition one after another, so acceptances of jobs in
// different partitions wait neither for each other nor for the leader. Only the
// leader writes the other tables, in kSchedulerPartition, and removes rows.
// Each of its batches requires the version that kBatchKey had after the one
// before, so a batch whose response was lost takes effect once, in its place. A
// job without a row in kStateTable is queued.
//
// The Decode functions do not throw: they return an error for a row that cannot
// be decoded.
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
inline constexpr const char* kBatchTable = "batch";
inline constexpr const char* kBatchKey = "last";

inline constexpr const char* kSchedulerPartition = "scheduler";
// All partitions of kJobTable.
const std::vector<std::string>& JobPartitions();
const std::string& PartitionOfJob(const std::string& aJob);

std::string CancelKey(const std::string& aJob);
bool IsCancelKey(const std::string& aKey);
// Returns the ID of the job that a key of kJobTable or kStepTable belongs to.
std::string JobOfKey(const std::string& aKey);
std::string StepKey(const std::string& aJob, int aOccurrence, int aStep);

struct StateRecord
{
  JobState mState = JobState::eQueued;
  base::AccountId mAccount;
  // When the state became final, in milliseconds of the store's steady clock.
  std::int64_t mEndedAtStoreMs = 0;

  friend bool operator==(const StateRecord&, const StateRecord&) = default;
};

enum class TaskOutcome
{
  eWaiting = 0,
  // The assignment to mServer is stored: the attempt may be running there.
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
  // Tasks that were never assigned to a server have no record.
  std::vector<TaskRecord> mTasks;
  // The last attempt of a gang that is counted in TaskRecord::mFailures, 0
  // before the first. Rows of earlier versions do not have it.
  int mGangFailedAttempt = 0;

  friend bool operator==(const StepRecord&, const StepRecord&) = default;
};

// The longest value that fits into a row of the store. Rows hold 64 KiB of
// base64, which is a third longer than the value.
inline constexpr std::size_t kMaxValueBytes = std::size_t{ 48 } * 1024;

// The encoding is compressed if it is longer than kMaxValueBytes otherwise, and
// may still be longer then. Earlier versions cannot decode compressed jobs.
std::string EncodeJob(const JobSpec& aJob);
base::Expected<JobSpec> DecodeJob(const std::string& aId,
                                  const std::string& aValue);
std::string EncodeState(const StateRecord& aState);
base::Expected<StateRecord> DecodeState(const std::string& aValue);
std::string EncodeStep(const StepRecord& aStep);
base::Expected<StepRecord> DecodeStep(const std::string& aValue);

// Number of jobs of which no task has started, by queue. Queues without such
// jobs have no entry.
using QueueLengths = std::map<std::string, std::int64_t>;
// Compressed as jobs are.
std::string EncodeQueueLengths(const QueueLengths& aLengths);
base::Expected<QueueLengths> DecodeQueueLengths(const std::string& aValue);

} // namespace flamingoloom::jobs
