// Fake backend server with slots, accelerators, fencing epochs and attempts.
//
// It implements section 9.3 of the design. Responses are delivered to callbacks
// on the side of the server; FakePorts simulates the network in between.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/platform/ports.h"
#include "testing/fakes/history.h"
#include "testing/fakes/virtual_clock.h"

namespace flamingoloom::testing::fakes {

// Returns the actual run time of a task, which may differ from the declared
// one.
using RunTime = std::function<base::Duration(const platform::TaskStart&)>;

class FakeServer
{
public:
  // The references must outlive the server.
  FakeServer(VirtualClock& aClock,
             History& aHistory,
             const RunTime& aRunTime,
             platform::Member aMember);

  const platform::Member& Description() const { return mMember; }
  bool IsAlive() const { return mAlive; }

  base::Expected<base::Epoch> Fence(const base::DataCentreId& aDataCentre,
                                    base::Epoch aEpoch);
  void Start(const platform::TaskStart& aStart,
             platform::Done<platform::TaskStatus> aDone);
  void Act(const base::AttemptId& aAttempt,
           platform::TaskAction aAction,
           base::Duration aLease,
           platform::Done<platform::TaskStatus> aDone);
  void Await(const base::AttemptId& aAttempt,
             base::Duration aWait,
             platform::Done<platform::TaskStatus> aDone);

  // --- Faults ---
  // Crashes the server: all tasks are lost, and it never responds again.
  void Kill();
  // Starts draining. The server then rejects new tasks; with aRejectsWork false
  // it only announces that it is draining, so that a test sees which instances
  // still send tasks to it.
  void Drain(bool aRejectsWork);
  // While the server is faulty, every task fails shortly after its start.
  void SetFaulty(bool aFaulty) { mFaulty = aFaulty; }
  // Sets the probability that the response about a task is replaced by the
  // previous response, which may be for another attempt, or that its answer is
  // truncated.
  void SetMisrouteProbability(double aProbability)
  {
    mMisrouteProbability = aProbability;
  }

private:
  struct Task
  {
    platform::TaskStart mStart;
    platform::TaskState mState = platform::TaskState::eAbsent;
    base::Time mLeaseEnd;
    std::string mAnswer;
    std::string mAnswerSha256;
    std::vector<platform::Done<platform::TaskStatus>> mWaiters;
  };

  platform::TaskStatus StatusOf(const base::AttemptId& aAttempt) const;
  void Reply(const base::AttemptId& aAttempt,
             const platform::Done<platform::TaskStatus>& aDone);
  void RunTask(Task& aTask);
  void EndTask(Task& aTask, platform::TaskState aState);
  void WatchLease(const base::AttemptId& aAttempt);
  void Record(EventKind aKind, const Task& aTask);
  bool HasCapacity(const platform::TaskStart& aStart) const;

  VirtualClock& mClock;
  History& mHistory;
  const RunTime& mRunTime;
  platform::Member mMember;
  bool mAlive = true;
  bool mRejectsWork = false;
  bool mFaulty = false;
  double mMisrouteProbability = 0;
  int mUsedSlots = 0;
  std::set<int> mUsedAccelerators;
  std::map<base::DataCentreId, base::Epoch> mEpochs;
  std::map<base::AttemptId, Task> mTasks;
  platform::TaskStatus mLastStatus;
};

} // namespace flamingoloom::testing::fakes
