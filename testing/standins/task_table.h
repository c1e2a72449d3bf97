// A backend server without HTTP: its places, epochs, attempts and the record
// of what ran. Not thread-safe. Each call takes the time; Advance ends the
// tasks and leases whose time has come.
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

// The start or end of one run, for checkers.
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

struct Usage
{
  int mSlots = 0;
  // Indexes of accelerators in use.
  std::set<int> mAccelerators;

  friend bool operator==(const Usage&, const Usage&) = default;
};

class TaskTable
{
public:
  explicit TaskTable(TaskTableOptions aOptions);

  // Raises the epoch of a data centre; eStaleEpoch for a lower one.
  base::Expected<base::Epoch> Fence(const base::DataCentreId& aDataCentre,
                                    base::Epoch aEpoch);

  // Runs a task, or prepares a gang's task. Refused with eDuplicate,
  // eStaleEpoch, eShuttingDown, eBusy or eInvalid; a refused attempt has no
  // effect.
  //
  // A payload that is a JSON object may hold "runMs", "fail": true and
  // "answerBytes", the least length of the answer.
  base::Expected<platform::TaskStatus> Start(base::Time aNow,
                                             const platform::TaskStart& aStart);

  // aLease is used by eRenew only. A commit of a place that was prepared
  // under an epoch that has been fenced since is refused with eStaleEpoch,
  // otherwise a fenced owner could still start work.
  base::Expected<platform::TaskStatus> Act(base::Time aNow,
                                           const base::AttemptId& aAttempt,
                                           platform::TaskAction aAction,
                                           base::Duration aLease = {});

  platform::TaskStatus Status(const base::AttemptId& aAttempt) const;

  void Advance(base::Time aNow);
  // When Advance has something to do next.
  std::optional<base::Time> NextEvent() const;

  // Every task that starts from now on fails at once.
  void FailTasks(bool aFail) { mFailTasks = aFail; }

  // Refuses new work from now on. Prepared places may still be committed, as
  // their gang may already run on other servers.
  void Drain() { mLeaving = true; }
  bool IsLeaving() const { return mLeaving; }
  // Nothing runs and no place is prepared.
  bool IsIdle() const { return mActive.empty(); }

  Usage CurrentUsage() const;
  const std::vector<HistoryEvent>& History() const { return mHistory; }

private:
  struct Task
  {
    platform::TaskStart mStart;
    platform::TaskState mState = platform::TaskState::eAbsent;
    // End of the run, or of the lease of a prepared place.
    base::Time mUntil;
    std::string mAnswer;
  };

  void Run(base::Time aNow, Task& aTask);
  void End(base::Time aNow, Task& aTask, platform::TaskState aState);
  void Record(base::Time aNow, const Task& aTask, bool aIsStart);

  const TaskTableOptions mOptions;
  std::map<base::DataCentreId, base::Epoch> mEpochs;
  std::map<base::AttemptId, Task> mTasks;
  // Attempts that are prepared or running.
  std::set<base::AttemptId> mActive;
  std::vector<HistoryEvent> mHistory;
  bool mFailTasks = false;
  bool mLeaving = false;
};

} // namespace flamingoloom::standins
