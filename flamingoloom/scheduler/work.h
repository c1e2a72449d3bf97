// Jobs under way: occurrences, their steps and tasks.
//
// Internal to the scheduler: plain state without decisions.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/jobs/records.h"

namespace flamingoloom::scheduler {

enum class TaskPhase
{
  eWaiting,
  // Placed; the record of it is not yet in the store.
  eIntended,
  // The start is being sent.
  eOrdered,
  eRunning,
  // A predecessor recorded the start; the server has not been asked yet.
  eUnresolved,
  eDone,
  eFailed,
};

// A run of the task may be on its server, or come there.
bool IsPlaced(TaskPhase aPhase);

// "K.STEP.INDEX#RUN" for the log.
std::string AttemptText(const jobs::TaskName& aName, int aAttemptNumber);

struct Task
{
  TaskPhase mPhase = TaskPhase::eWaiting;
  int mAttemptNumber = 0;
  base::ServerId mServer;
  int mFailures = 0;
  std::string mCheckpoint;
  bool mStopWanted = false;
  // When the server last answered an order about this run.
  std::optional<base::Time> mAnsweredAt;
  base::Time mPlacedAt;
  base::Time mStartedAt;
  // Progress as last reported, and at the first report of this run.
  int mPercent = 0;
  int mFirstPercent = 0;
  base::Time mPercentChangedAt;
  base::Time mReportedAt;
  // Servers on which it has failed.
  std::set<base::ServerId> mFailedOn;

  // Percent per second in this run, by its last report.
  double Speed() const;
  // What was left of this run at its last report, at that speed; none without
  // progress.
  std::optional<base::Duration> TimeLeftAtReport() const;
};

struct Job;

struct StepRun
{
  Job* mJob = nullptr;
  int mOccurrence = 0;
  int mStep = 0;
  std::vector<Task> mTasks;
  int mUnfinished = 0;
  int mWaiting = 0;
  // All earlier steps are done and the occurrence is due.
  bool mReady = false;
  base::Time mReadyAt;
  // A member of the gang is gone; the others are being stopped.
  bool mGangBreaking = false;
  std::string mGangCheckpoint;
  int mGangFailures = 0;
  int mGangAttemptNumber = 0;
  // Servers chosen for the waiting tasks while what runs there is stopped, or,
  // as a reservation, comes to its end.
  std::vector<std::pair<int, base::ServerId>> mPlan;
  bool mPlanIsReservation = false;
  // The plan is given up then.
  base::Time mPlanUntil;
  base::Time mReservationSoughtAt;
  base::Time mVictimsSoughtAt;
  // Whether the fleet has a place near the data, as last looked up.
  bool mCouldStayLocal = true;
  base::Time mLocalCheckedAt;
  // Row in the store.
  std::int64_t mRowVersion = 0;
  bool mDirty = false;

  const jobs::StepSpec& Spec() const;
  jobs::TaskName Name(int aIndex) const;
  jobs::StepRecord Record() const;
};

struct Occurrence
{
  std::vector<std::unique_ptr<StepRun>> mSteps;
  int mUnfinishedSteps = 0;
};

struct Job
{
  jobs::JobSpec mSpec;
  jobs::JobState mState = jobs::JobState::eQueued;
  base::Time mAcceptedAt;
  std::int64_t mEndedAtStoreMs = 0;
  // It has a cancel's mark in the store.
  bool mCancelled = false;
  std::map<int, Occurrence> mOccurrences;
  int mUnfinishedOccurrences = 0;
  std::int64_t mStateVersion = 0;
  bool mStateDirty = false;
  // Latest time at which completing still earns the full credit.
  base::Time mObjective;

  bool IsFinal() const { return jobs::IsFinal(mState); }
};

Occurrence MakeOccurrence(Job& aJob, int aOccurrence);

// Takes over what a predecessor recorded of a step.
void RestoreStep(StepRun& aStep,
                 const jobs::StepRecord& aRecord,
                 std::int64_t aVersion);

} // namespace flamingoloom::scheduler
