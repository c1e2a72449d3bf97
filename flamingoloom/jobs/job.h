// The definition of a job: steps of tasks that a client account submits to a
// queue.
//
// A job is not modified once it is built, so it can be copied between threads.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::jobs {

// The resources that a task requires or that a backend server has.
struct Resources
{
  // CPU in thousandths of a core.
  std::int64_t mCpuMilli = 0;
  std::int64_t mMemoryMb = 0;
  std::int64_t mAccelerators = 0;

  friend bool operator==(const Resources&, const Resources&) = default;

  Resources& operator+=(const Resources& aOther);
  Resources& operator-=(const Resources& aOther);
  bool FitsIn(const Resources& aFree) const;
  // How many times this fits into aFree; at most kMaxCount, for a requirement
  // of nothing.
  std::int64_t CountIn(const Resources& aFree) const;
  static constexpr std::int64_t kMaxCount = 1'000'000;
  Resources Times(std::int64_t aCount) const;
  // Returns cores plus accelerators, each of which counts as
  // kCoresPerAccelerator cores.
  double WeightedCores() const;
};

// The platform uses this ratio when it rates lost work.
constexpr double kCoresPerAccelerator = 8.0;

struct StepSpec
{
  int mTaskCount = 1;
  Resources mPerTask;
  // The client account's estimate of the run time of one task. It may be
  // inaccurate.
  base::Duration mEstimate{ 0 };
  // Indices of earlier steps of which all tasks must be done before this step
  // starts.
  std::vector<int> mDependsOn;
  // The tasks have to run at the same time: they start together, and when one
  // ends or fails, all end.
  bool mGang = false;
  // The tasks take a multiple of their run time when they are spread over
  // several racks.
  bool mSameRack = false;
  bool mCheckpoints = false;
  // Several copies of a task may run at the same time (speculative execution).
  bool mSpeculative = false;
  // The tasks run until the job is cancelled.
  bool mLongRunning = false;
  // The tasks only use CPU time that other tasks leave idle, so their cores do
  // not count against a server's capacity.
  bool mUsesIdleCpu = false;
  // A label that the server must have; empty if any server will do.
  std::string mRequiredLabel;
  // The rack that holds the input data; empty if there is none.
  std::string mDataRack;
  // The image that the tasks run. Tasks of one image are expected to behave
  // alike.
  std::string mImage;
  // Maximum number of tasks of one occurrence of the step on one server; 0 for
  // no limit.
  int mMaxPerServer = 0;
  // Maximum number of tasks of a long-running step that the scheduler may make
  // unavailable at the same time.
  int mMaxUnavailable = 0;
  // Upper bound of the tail latency of a long-running task; 0 for none.
  base::Duration mTailLatencyTarget{ 0 };

  friend bool operator==(const StepSpec&, const StepSpec&) = default;

  // Returns what one task takes from a server's capacity.
  Resources Footprint() const;
};

// The configuration of the queue at the time at which the job was accepted.
struct QueueRules
{
  std::string mQueue;
  std::string mService;
  // 0 is the most urgent priority.
  int mPriority = 0;
  // Number of failed attempts after which a task, or a gang as a whole, fails
  // permanently.
  int mMaxAttempts = 1;
  // The objective (the time by which the job should be completed) is mStretch
  // times the longest chain, plus mTargetLatency.
  double mStretch = 1.0;
  base::Duration mTargetLatency{ 0 };
  // Which servers may run a step is known only to the advisor.
  bool mNeedsAdvice = false;

  friend bool operator==(const QueueRules&, const QueueRules&) = default;
};

struct JobSpec
{
  std::string mId;
  base::AccountId mAccount;
  QueueRules mRules;
  // Passed to each task unchanged.
  std::string mPayload;
  std::vector<StepSpec> mSteps;
  // Number of occurrences; 0 for a job that runs once, as soon as it is
  // accepted.
  int mOccurrences = 0;
  // The first occurrence is due at mFirstDueMs (Unix milliseconds), each
  // further one mIntervalMs after the one before.
  std::int64_t mFirstDueMs = 0;
  std::int64_t mIntervalMs = 0;
  // Unix milliseconds on the clock of the instance that accepted the job.
  std::int64_t mAcceptedMs = 0;

  friend bool operator==(const JobSpec&, const JobSpec&) = default;

  int OccurrenceCount() const { return mOccurrences > 0 ? mOccurrences : 1; }
  // Returns the run time of the longest chain of dependent steps in one
  // occurrence, by their estimates.
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

// One attempt to run a task. The attempts of a task are numbered upwards from
// 1.
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
