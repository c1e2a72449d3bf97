// One backend server: slots, accelerators, epochs, and attempts by id.
//
// It implements section 9.3 of the design. The answers are delivered through
// callbacks at the server; the network between is FakePorts' business.
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

// How long a task really runs, whatever was declared.
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
  // All tasks are lost, and the server never answers again.
  void Kill();
  // A leaving server refuses new work; with aRefuses false it only says that
  // it is leaving, so that a test sees who still sends work to it.
  void Leave(bool aRefuses);
  // Every task fails shortly after its start.
  void SetBroken(bool aBroken) { mBroken = aBroken; }
  // Probability that an answer about a task is replaced by an earlier one for
  // another attempt, is an earlier one again, or is cut short.
  void SetMixedAnswers(double aProbability) { mMixed = aProbability; }

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
  void Run(Task& aTask);
  void End(Task& aTask, platform::TaskState aState);
  void WatchLease(const base::AttemptId& aAttempt);
  void Record(EventKind aKind, const Task& aTask);
  bool HasPlace(const platform::TaskStart& aStart) const;

  VirtualClock& mClock;
  History& mHistory;
  const RunTime& mRunTime;
  platform::Member mMember;
  bool mAlive = true;
  bool mRefuses = false;
  bool mBroken = false;
  double mMixed = 0;
  int mUsedSlots = 0;
  std::set<int> mUsedAccelerators;
  std::map<base::DataCentreId, base::Epoch> mEpochs;
  std::map<base::AttemptId, Task> mTasks;
  platform::TaskStatus mLastStatus;
};

} // namespace flamingoloom::testing::fakes
