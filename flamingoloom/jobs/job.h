// A job: steps of tasks that a client account hands in to a queue.
//
// Immutable values once built; safe to copy between threads.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::jobs {

// What a task needs, or what a backend server has.
struct Resources
{
  // Thousandths of a core.
  std::int64_t mCpuMilli = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  bool FitsIn(const Resources& aFree) const;
  Resources Times(std::int64_t aCount) const;
  // Cores, with an accelerator counted as kCoresPerAccelerator.
  double WeightedCores() const;
};

// The platform prices lost work with this equivalence.
constexpr double kCoresPerAccelerator = 8.0;

struct StepSpec
{
  int mTaskCount = 1;
  Resources mPerTask;
  // The caller's rough estimate for one task.
  base::Duration mEstimate{ 0 };
  // Earlier steps whose tasks must all be done first.
  std::vector<int> mDependsOn;
  // The tasks work only together and end together.
  bool mGang = false;
  // Spread over several racks, the tasks take a multiple of their time.
  bool mSameRack = false;
  bool mCheckpoints = false;
  // Copies of a task may run at the same time.
  bool mSpeculative = false;
  // The tasks run until the job is cancelled.
  bool mLongRunning = false;
  // The tasks take the processor time that other tasks leave; their cores do
  // not count against a server's capacity.
  bool mUsesIdleCpu = false;
  // A label that the server must have; empty for none.
  std::string mRequiredLabel;
  // The rack that holds the data; empty for none.
  std::string mDataRack;
  // What the tasks run; tasks of one image behave alike.
  std::string mImage;
  // Tasks of one occurrence of the step on one server; 0 for no limit.
  int mMaxPerServer = 0;
  // Tasks of a long-running step that may be away by our doing.
  int mMaxUnavailable = 0;
  // Bound of a long-running task's tail response time; 0 for none.
  base::Duration mTailLatencyTarget{ 0 };

  friend bool operator==(const StepSpec&, const StepSpec&) = default;

  // What one task takes from a server's capacity.
  Resources Footprint() const;
};

// What the queue's configuration said when the job was accepted.
struct QueueRules
{
  std::string mQueue;
  std::string mService;
  // 0 comes first.
  int mPriority = 0;
  // Failed runs after which a task, or a gang, is given up.
  int mMaxAttempts = 1;
  // The objective is mStretch times the longest chain, plus mTargetLatency.
  double mStretch = 1.0;
  base::Duration mTargetLatency{ 0 };
  // Only the advisor knows which servers may run a step.
  bool mNeedsAdvice = false;

  friend bool operator==(const QueueRules&, const QueueRules&) = default;
};

struct JobSpec
{
  std::string mId;
  base::AccountId mAccount;
  QueueRules mRules;
  // Handed to each task as it is.
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  // 0 for a job that runs once, at once.
  int mOccurrences = 0;
  // Due times of occurrences, Unix milliseconds.
  std::int64_t mFirstDueMs = 0;
  std::int64_t mIntervalMs = 0;
  // Unix milliseconds on the clock of the instance that accepted the job.
  std::int64_t mAcceptedMs = 0;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;

  int OccurrenceCount() const { return mOccurrences > 0 ? mOccurrences : 1; }
  // The longest chain of estimates through the steps of one occurrence.
  base::Duration LongestChain() const;
};

struct TaskName
{
  std::string mJob;
  int mOccurrence = 0;
  int mStep = 0;
  int mIndex = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
  friend bool operator==(const TaskName&, const TaskName&) = default;
};

// One start of a task. Runs of a task are numbered from 1 and rise.
struct TaskAttempt
{
  TaskName mTask;
  int mAttemptNumber = 0;

  friend auto operator<=>(const TaskAttempt&, const TaskAttempt&) = default;
  friend bool operator==(const TaskAttempt&, const TaskAttempt&) = default;
};

enum class JobState
{
  eQueued,
  eRunning,
  eCompleted,
  eFailed,
  eCancelled,
};

bool IsFinal(JobState aState);
const char* JobStateName(JobState aState);

} // namespace flamingoloom::jobs
