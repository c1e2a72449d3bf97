// The state of a stub backend server without HTTP: its slots and accelerators,
// its epochs, its attempts and the history of task starts and ends. The caller
// passes the current time in. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::standins {

struct TaskTableOptions
{
  base::DataCentreId mDataCentre;
  int mSlots = 8;
  int mAccelerators = 8;
  // Run time of tasks whose payload has no "runMs".
  base::Duration mRunTime{};
};

// The start or end of one attempt, for invariant checkers.
struct HistoryEvent
{
  bool mIsStart = false;
  base::AttemptId mAttempt;
  base::RequestId mRequest;
  base::KindId mKind;
  base::Epoch mEpoch;
  base::Time mAt;

  friend bool operator==(const HistoryEvent&, const HistoryEvent&) = default;
};

// Resources that prepared and running tasks occupy.
struct Usage
{
  int mSlots = 0;
  // Indices of the accelerators in use.
  std::set<int> mAccelerators;

  friend bool operator==(const Usage&, const Usage&) = default;
};

class TaskTable
{
public:
  explicit TaskTable(TaskTableOptions aOptions);

  // Sets the epoch of a data centre, below which tasks are rejected. Returns
  // eStaleEpoch if aEpoch is lower than the highest epoch seen.
  base::Expected<base::Epoch> Fence(const base::DataCentreId& aDataCentre,
                                    base::Epoch aEpoch);

  // Starts a task, or prepares a task of a gang: reserves its resources until
  // it is committed or its lease expires. Returns eDuplicate, eStaleEpoch,
  // eShuttingDown, eBusy or eInvalid for a rejected attempt, which has no
  // effect.
  //
  // A payload that is a JSON object may have the members "runMs" (run time),
  // "fail": true, and "answerBytes" (minimum length of the answer).
  base::Expected<platform::TaskStatus> Start(base::Time aNow,
                                             const platform::TaskStart& aStart);

  // Applies aAction to an attempt and returns its status; eNotFound for an
  // unknown attempt. aLease is used by eRenew only.
  //
  // A commit returns eConflict after the reservation was released or expired,
  // and eStaleEpoch if a higher epoch has fenced the data centre since the task
  // was prepared. Otherwise a fenced owner could still start work.
  base::Expected<platform::TaskStatus> ApplyAction(
    base::Time aNow,
    const base::AttemptId& aAttempt,
    platform::TaskAction aAction,
    base::Duration aLease = {});

  // Returns the status of an attempt; eAbsent for an unknown one.
  platform::TaskStatus Status(const base::AttemptId& aAttempt) const;

  // Ends the tasks whose run time is over and releases the reservations whose
  // lease has expired at aNow.
  void Advance(base::Time aNow);
  // Returns the next time at which Advance changes a task, or nullopt if no
  // task is prepared or running.
  std::optional<base::Time> NextDeadline() const;

  // Sets whether tasks fail as soon as they start.
  void SetFailTasks(bool aFail) { mFailTasks = aFail; }

  // Rejects new tasks from now on. Prepared tasks may still be committed,
  // because their gang may already run on other servers.
  void Drain() { mIsDraining = true; }
  bool IsDraining() const { return mIsDraining; }
  // Returns whether no task is prepared or running.
  bool IsIdle() const { return mActiveAttempts.empty(); }

  Usage CurrentUsage() const;
  const std::vector<HistoryEvent>& History() const { return mHistory; }

private:
  struct Task
  {
    platform::TaskStart mStart;
    platform::TaskState mState = platform::TaskState::eAbsent;
    // End of the run time of a running task, or of the lease of a prepared one.
    base::Time mDeadline;
    std::string mAnswer;
  };

  void RunTask(base::Time aNow, Task& aTask);
  // Ends the task in the state aState and frees its resources.
  void EndTask(base::Time aNow, Task& aTask, platform::TaskState aState);
  // Appends the start or end of the task to the history.
  void RecordEvent(base::Time aNow, const Task& aTask, bool aIsStart);

  const TaskTableOptions mOptions;
  std::map<base::DataCentreId, base::Epoch> mEpochs;
  std::map<base::AttemptId, Task> mTasks;
  // Attempts that are prepared or running.
  std::set<base::AttemptId> mActiveAttempts;
  std::vector<HistoryEvent> mHistory;
  bool mFailTasks = false;
  bool mIsDraining = false;
};

} // namespace flamingoloom::standins
