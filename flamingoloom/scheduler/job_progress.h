// The state of the jobs that the scheduler knows: their occurrences, steps and
// tasks.
//
// Internal to the scheduler: data without decisions.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/admission/memory_use.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/jobs/records.h"

namespace flamingoloom::scheduler {

enum class TaskPhase
{
  eWaiting,
  // A server is selected; the assignment is not stored yet.
  eAssigned,
  // The assignment is stored; the start command is being sent.
  eDispatching,
  eRunning,
  // A previous leader stored the assignment; the server has not reported since.
  eUnresolved,
  eDone,
  eFailed,
};

// Returns whether an attempt of the task may be running on its server, or may
// still start there.
bool IsPlaced(TaskPhase aPhase);

// Formats an attempt as "OCCURRENCE.STEP.INDEX#ATTEMPT" for the log.
std::string AttemptText(const jobs::TaskName& aName, int aAttemptNumber);

struct Task
{
  TaskPhase mPhase = TaskPhase::eWaiting;
  int mAttemptNumber = 0;
  base::ServerId mServer;
  int mFailures = 0;
  std::string mCheckpoint;
  bool mStopRequested = false;
  // When the server last responded to a command about this attempt.
  std::optional<base::Time> mRespondedAt;
  // Until when the attempt may run on an incarnation of the server that has not
  // reported; in the past if it can't.
  base::Time mMayStrayUntil;
  base::Time mPlacedAt;
  base::Time mStartedAt;
  // Progress in percent, by the last report and by the first report of this
  // attempt.
  int mPercent = 0;
  int mFirstPercent = 0;
  base::Time mPercentChangedAt;
  base::Time mReportedAt;
  // Servers on which the task, or any member of its gang, has failed, or on
  // which the task made too little progress.
  std::set<base::ServerId> mFailedOn;

  // Returns the progress of this attempt in percent per second, by the last
  // report.
  double Speed() const;
  // Returns the run time that was left at the last report, at the speed so far,
  // or nothing without progress.
  std::optional<base::Duration> TimeLeftAtReport() const;
};

struct Job;

struct StepState
{
  Job* mJob = nullptr;
  int mOccurrence = 0;
  int mStep = 0;
  std::vector<Task> mTasks;
  int mUnfinishedTasks = 0;
  int mWaitingTasks = 0;
  // All steps that this one depends on are done and the occurrence is due.
  bool mReady = false;
  base::Time mReadyAt;
  // A member of the gang has ended; the others are being stopped.
  bool mGangAborting = false;
  std::string mGangCheckpoint;
  // Number of failed attempts of the gang, and the last one that is counted.
  // Several members of one attempt may fail.
  int mGangFailures = 0;
  int mGangFailedAttempt = 0;
  int mGangAttemptNumber = 0;
  // Servers selected for the waiting tasks whose capacity is not free yet. It
  // becomes free when the preempted tasks on them have stopped or, for a
  // reservation, when running attempts complete.
  std::vector<std::pair<int, base::ServerId>> mPlan;
  bool mPlanIsReservation = false;
  // The plan is abandoned at this time.
  base::Time mPlanExpiresAt;
  base::Time mReservationSearchedAt;
  base::Time mVictimsSearchedAt;
  base::Time mOwnWorkSearchedAt;
  // The account's maximum held back some of the tasks in the last pass.
  bool mHeldByMaximum = false;
  // Whether the tasks could fit near their data, as of mLocalFitCheckedAt.
  bool mCouldFitLocally = true;
  base::Time mLocalFitCheckedAt;
  // Since when no task of the step runs although it is ready, by the waiting
  // reports.
  std::optional<base::Time> mWaitingSince;
  // Since when the tasks have waited for capacity near their data while other
  // racks had plenty; nothing if they do not.
  std::optional<base::Time> mIdleElsewhereSince;
  // Whether the step has a row in the store, or is about to.
  bool mHasRow = false;
  bool mDirty = false;

  const jobs::StepSpec& Spec() const;
  // Returns whether the tasks take longer outside the rack of their data or, in
  // a same-rack gang, on several racks.
  bool WantsOneRack() const;
  jobs::TaskName Name(int aIndex) const;
  jobs::StepRecord Record() const;
};

struct Occurrence
{
  std::vector<std::unique_ptr<StepState>> mSteps;
  int mUnfinishedSteps = 0;
};

struct Job
{
  // Without the payload.
  jobs::JobSpec mSpec;
  std::shared_ptr<const std::string> mPayload;
  jobs::JobState mState = jobs::JobState::eQueued;
  base::Time mAcceptedAt;
  std::int64_t mEndedAtStoreMs = 0;
  // The job has a cancellation marker in the store.
  bool mCancelled = false;
  std::map<int, Occurrence> mOccurrences;
  int mUnfinishedOccurrences = 0;
  bool mStateDirty = false;
  // The latest time at which completing the job earns full credit.
  base::Time mObjective;
  // Its account had submitted as many jobs as its rate allows when it was
  // accepted.
  bool mBeyondRate = false;
  // Bytes that are counted for the job.
  std::int64_t mMemory = 0;

  bool IsFinal() const { return jobs::IsFinal(mState); }
};

// What is kept of a job some time after its end, until its rows are removed.
struct EndedJob
{
  admission::MemoryClass mMemoryClass;
  std::int64_t mAcceptedMs = 0;
  std::int64_t mEndedAtStoreMs = 0;
  bool mCancelled = false;
  // Occurrence and step of each row of a step.
  std::vector<std::pair<int, int>> mStepRows;

  friend bool operator==(const EndedJob&, const EndedJob&) = default;
};

admission::MemoryClass MemoryClassOf(const Job& aJob);

Occurrence MakeOccurrence(Job& aJob, int aOccurrence);

// Restores the state of a step from the record that a previous leader stored.
void RestoreStep(StepState& aStep, const jobs::StepRecord& aRecord);

} // namespace flamingoloom::scheduler
