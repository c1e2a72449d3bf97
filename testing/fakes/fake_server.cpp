#include "testing/fakes/fake_server.h"

#include <algorithm>
#include <utility>

#include "flamingoloom/base/digest.h"

namespace flamingoloom::testing::fakes {

using base::ErrorCode;
using base::MakeError;
using platform::TaskAction;
using platform::TaskState;
using platform::TaskStatus;
using namespace std::chrono_literals;

namespace {

bool IsActive(TaskState aState)
{
  return aState == TaskState::ePrepared || aState == TaskState::eRunning;
}

} // namespace

FakeServer::FakeServer(VirtualClock& aClock,
                       History& aHistory,
                       const RunTime& aRunTime,
                       platform::Member aMember)
  : mClock(aClock)
  , mHistory(aHistory)
  , mRunTime(aRunTime)
  , mMember(std::move(aMember))
{
}

base::Expected<base::Epoch> FakeServer::Fence(
  const base::DataCentreId& aDataCentre,
  base::Epoch aEpoch)
{
  base::Epoch& highest = mEpochs[aDataCentre];
  if (aEpoch < highest) {
    return MakeError(
      ErrorCode::eStaleEpoch, "fence", mMember.mId, "a higher epoch was seen");
  }
  highest = aEpoch;
  return highest;
}

void FakeServer::Start(const platform::TaskStart& aStart,
                       platform::Done<TaskStatus> aDone)
{
  auto reject = [&](ErrorCode aCode, const char* aMessage) {
    aDone(MakeError(aCode, "start task", mMember.mId, aMessage));
  };
  if (mTasks.contains(aStart.mAttempt)) {
    return reject(ErrorCode::eDuplicate, "the attempt id was used before");
  }
  if (!Fence(aStart.mDataCentre, aStart.mEpoch)) {
    return reject(ErrorCode::eStaleEpoch, "a higher epoch was seen");
  }
  if (mRejectsWork) {
    return reject(ErrorCode::eShuttingDown, "the server is leaving");
  }
  if (!HasCapacity(aStart)) {
    return reject(ErrorCode::eBusy, "no free place");
  }
  mUsedSlots += aStart.mSlots;
  mUsedAccelerators.insert(aStart.mAccelerators.begin(),
                           aStart.mAccelerators.end());
  Task& task = mTasks[aStart.mAttempt];
  task.mStart = aStart;
  if (aStart.mGang.empty()) {
    task.mWaiters.push_back(std::move(aDone));
    RunTask(task);
    return;
  }
  task.mState = TaskState::ePrepared;
  task.mLeaseEnd = mClock.Now() + aStart.mLease;
  WatchLease(aStart.mAttempt);
  Reply(aStart.mAttempt, aDone);
}

bool FakeServer::HasCapacity(const platform::TaskStart& aStart) const
{
  return mUsedSlots + aStart.mSlots <= mMember.mSlots &&
         std::ranges::all_of(aStart.mAccelerators, [&](int aIndex) {
           return aIndex >= 0 && aIndex < mMember.mAccelerators &&
                  !mUsedAccelerators.contains(aIndex);
         });
}

void FakeServer::WatchLease(const base::AttemptId& aAttempt)
{
  mClock.At(mTasks[aAttempt].mLeaseEnd, [this, aAttempt] {
    Task& task = mTasks[aAttempt];
    if (!mAlive || task.mState != TaskState::ePrepared) {
      return;
    }
    if (mClock.Now() < task.mLeaseEnd) {
      WatchLease(aAttempt);
    } else {
      EndTask(task, TaskState::eStopped);
    }
  });
}

void FakeServer::RunTask(Task& aTask)
{
  aTask.mState = TaskState::eRunning;
  Record(EventKind::eTaskStarted, aTask);
  // A task with the payload "impossible" fails on every server.
  constexpr base::Duration kTimeToFail = 20ms;
  bool fails = mFaulty || aTask.mStart.mPayload.starts_with("impossible");
  base::Duration runTime = fails ? kTimeToFail : mRunTime(aTask.mStart);
  mClock.After(runTime, [this, attempt = aTask.mStart.mAttempt, fails] {
    Task& task = mTasks[attempt];
    if (mAlive && task.mState == TaskState::eRunning) {
      EndTask(task, fails ? TaskState::eFailed : TaskState::eFinished);
    }
  });
}

void FakeServer::EndTask(Task& aTask, TaskState aState)
{
  bool ran = aTask.mState == TaskState::eRunning;
  aTask.mState = aState;
  mUsedSlots -= aTask.mStart.mSlots;
  for (int index : aTask.mStart.mAccelerators) {
    mUsedAccelerators.erase(index);
  }
  if (aState == TaskState::eFinished) {
    aTask.mAnswer = AnswerOf(aTask.mStart.mRequest, aTask.mStart.mPayload);
    aTask.mAnswerSha256 = base::Sha256Hex(aTask.mAnswer);
  }
  if (ran) {
    Record(EventKind::eTaskEnded, aTask);
  }
  for (auto& waiter : std::exchange(aTask.mWaiters, {})) {
    Reply(aTask.mStart.mAttempt, waiter);
  }
}

void FakeServer::Act(const base::AttemptId& aAttempt,
                     TaskAction aAction,
                     base::Duration aLease,
                     platform::Done<TaskStatus> aDone)
{
  auto found = mTasks.find(aAttempt);
  if (found != mTasks.end() && IsActive(found->second.mState)) {
    Task& task = found->second;
    bool prepared = task.mState == TaskState::ePrepared;
    switch (aAction) {
      case TaskAction::eCommit:
        if (prepared && task.mStart.mEpoch < mEpochs[task.mStart.mDataCentre]) {
          aDone(MakeError(ErrorCode::eStaleEpoch,
                          "commit task",
                          mMember.mId,
                          "fenced since"));
          return;
        }
        if (prepared) {
          RunTask(task);
        }
        break;
      case TaskAction::eRenew:
        task.mLeaseEnd = mClock.Now() + aLease;
        break;
      case TaskAction::eRelease:
        if (prepared) {
          EndTask(task, TaskState::eStopped);
        }
        break;
      case TaskAction::eStop:
        EndTask(task, TaskState::eStopped);
        break;
      case TaskAction::eCheckpoint:
        EndTask(task,
                prepared ? TaskState::eStopped : TaskState::eCheckpointed);
        break;
      case TaskAction::eThrottle:
        break;
    }
  }
  Reply(aAttempt, aDone);
}

void FakeServer::Await(const base::AttemptId& aAttempt,
                       base::Duration aWait,
                       platform::Done<TaskStatus> aDone)
{
  auto found = mTasks.find(aAttempt);
  if (found == mTasks.end() || !IsActive(found->second.mState) ||
      aWait <= base::Duration::zero()) {
    Reply(aAttempt, aDone);
    return;
  }
  // Respond once: at the end of the task or at the timeout, whichever is first.
  auto once = std::make_shared<platform::Done<TaskStatus>>(std::move(aDone));
  found->second.mWaiters.emplace_back([once](auto aStatus) {
    if (auto done = std::exchange(*once, nullptr)) {
      done(std::move(aStatus));
    }
  });
  mClock.After(aWait, [this, aAttempt, once] {
    if (auto done = std::exchange(*once, nullptr); done && mAlive) {
      Reply(aAttempt, done);
    }
  });
}

TaskStatus FakeServer::StatusOf(const base::AttemptId& aAttempt) const
{
  TaskStatus status;
  status.mAttempt = aAttempt;
  if (auto found = mTasks.find(aAttempt); found != mTasks.end()) {
    const Task& task = found->second;
    status.mRequest = task.mStart.mRequest;
    status.mState = task.mState;
    status.mAnswer = task.mAnswer;
    status.mAnswerBytes = task.mAnswer.size();
    status.mAnswerSha256 = task.mAnswerSha256;
  }
  return status;
}

void FakeServer::Reply(const base::AttemptId& aAttempt,
                       const platform::Done<TaskStatus>& aDone)
{
  TaskStatus status = StatusOf(aAttempt);
  TaskStatus sent = status;
  if (mMisrouteProbability > 0 && mClock.Chance(mMisrouteProbability)) {
    if (mClock.Chance(0.5) && !mLastStatus.mAttempt.IsEmpty()) {
      sent = mLastStatus;
    } else {
      sent.mAnswer.resize(sent.mAnswer.size() / 2);
    }
  }
  mLastStatus = std::move(status);
  aDone(std::move(sent));
}

void FakeServer::Kill()
{
  mAlive = false;
  for (auto& [attempt, task] : mTasks) {
    if (task.mState == TaskState::eRunning) {
      task.mState = TaskState::eAbsent;
      Record(EventKind::eTaskEnded, task);
    }
    task.mWaiters.clear();
  }
}

void FakeServer::Drain(bool aRejectsWork)
{
  mMember.mState = platform::MemberState::eDraining;
  mRejectsWork = aRejectsWork;
  Event event;
  event.mKind = EventKind::eServerDraining;
  event.mTime = mClock.Now();
  event.mServer = base::ServerId(mMember.mId);
  mHistory.mEvents.push_back(std::move(event));
}

void FakeServer::Record(EventKind aKind, const Task& aTask)
{
  Event event;
  event.mKind = aKind;
  event.mTime = mClock.Now();
  event.mRequest = aTask.mStart.mRequest;
  event.mJobKind = aTask.mStart.mKind;
  event.mPayload = aTask.mStart.mPayload;
  event.mServer = base::ServerId(mMember.mId);
  event.mDataCentre = mMember.mDataCentre;
  event.mAttempt = aTask.mStart.mAttempt;
  event.mEpoch = aTask.mStart.mEpoch;
  event.mGang = aTask.mStart.mGang;
  event.mGangSize = aTask.mStart.mGangSize;
  event.mTaskState = aTask.mState;
  event.mAnswer = aTask.mAnswer;
  mHistory.mEvents.push_back(std::move(event));
}

} // namespace flamingoloom::testing::fakes
