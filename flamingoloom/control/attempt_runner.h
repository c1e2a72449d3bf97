// Drives one attempt of a recorded request at its backend servers, from the
// first message to an outcome that the record can be changed by.
//
// A gang is prepared on all servers, then committed; a refusal or a lost task
// releases or stops the others. After a take-over an attempt is adopted: its
// tasks are asked for first, then it goes on or is stopped as a whole. Not
// thread-safe.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/control/answer_check.h"
#include "flamingoloom/control/context.h"
#include "flamingoloom/ledger/record.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::control {

struct AttemptOutcome
{
  enum class Kind
  {
    eFinished,
    // A task ran and failed.
    eFailed,
    // No task ran, and none of this attempt will.
    eNotRun,
    // It is not known whether a task ran, or a part of a gang was lost.
    eLost,
    // Stopped or checkpointed on our request.
    eStopped,
  };

  Kind mKind = Kind::eLost;
  std::string mAnswer;
  // The server that the outcome speaks of, if it speaks of one.
  std::optional<base::ServerId> mServer;
  std::string mReason;

  friend bool operator==(const AttemptOutcome&,
                         const AttemptOutcome&) = default;
};

template <platform::Ports P>
class AttemptRunner : public std::enable_shared_from_this<AttemptRunner<P>>
{
public:
  using Done = std::function<void(AttemptOutcome)>;
  // Whether work may still be started under the attempt's epoch.
  using MayStart = std::function<bool(base::Epoch)>;

  // aRecord must be starting. aDone is called once, unless Abandon is called
  // first.
  AttemptRunner(Context<P>& aContext,
                const ledger::Record& aRecord,
                MayStart aMayStart,
                Done aDone)
    : mContext(aContext)
    , mRecord(aRecord)
    , mAttempt(*aRecord.mAttempt)
    , mMayStart(std::move(aMayStart))
    , mDone(std::move(aDone))
    , mTasks(aRecord.mAttempt->mPlacements.size())
  {
  }

  // Sends the attempt for the first time.
  void Launch()
  {
    mLaunchedAt = mContext.Now();
    for (std::size_t i = 0; i < mTasks.size(); ++i) {
      mTasks[i].mLastContact = mContext.Now();
      SendStart(i);
    }
  }

  // Takes over an attempt that another owner may have sent. Requires that all
  // its servers have acknowledged a higher epoch, so that no message of the
  // former owner can start a task any more.
  void Adopt()
  {
    mAdopted = true;
    for (std::size_t i = 0; i < mTasks.size(); ++i) {
      mTasks[i].mLastContact = mContext.Now();
      Await(i, {});
    }
  }

  // Stops or checkpoints all tasks; the outcome follows as eStopped, or as
  // eFinished when the tasks were faster.
  void Stop(platform::TaskAction aAction)
  {
    mStopping = true;
    for (std::size_t i = 0; i < mTasks.size(); ++i) {
      Act(i, aAction, {});
    }
  }

  base::Time LaunchedAt() const { return mLaunchedAt; }

  // Ends the runner without touching the tasks, for a new owner to adopt.
  void Abandon() { mDone = nullptr; }

private:
  using Kind = AttemptOutcome::Kind;
  using Status = base::Expected<platform::TaskStatus>;

  enum class Phase
  {
    // Nothing is known yet.
    ePending,
    eAbsent,
    ePrepared,
    eRunning,
    eFinished,
  };

  struct TaskRun
  {
    Phase mPhase = Phase::ePending;
    std::string mAnswer;
    base::Time mLastContact{};
    base::Time mLastRenewal{};
    int mBadAnswers = 0;
  };

  static constexpr int kMostBadAnswers = 3;

  bool IsOver() const { return !mDone; }

  void End(Kind aKind,
           std::string aReason,
           std::optional<base::ServerId> aServer = std::nullopt)
  {
    if (IsOver()) {
      return;
    }
    Done done = std::exchange(mDone, nullptr);
    done({ aKind, {}, std::move(aServer), std::move(aReason) });
  }

  const platform::ServerAddress& Server(std::size_t aTask) const
  {
    return mAttempt.mPlacements[aTask].mServer;
  }

  platform::TaskStart MakeStart(std::size_t aTask) const
  {
    platform::TaskStart start;
    start.mAttempt = mAttempt.TaskId(aTask);
    start.mRequest = mRecord.mRequest;
    start.mKind = mRecord.mKind;
    start.mDataCentre = mRecord.mDataCentre;
    start.mEpoch = mAttempt.mEpoch;
    start.mPayload = mRecord.mPayload;
    start.mAccelerators = mAttempt.mPlacements[aTask].mAccelerators;
    start.mSlots = start.mAccelerators.empty() ? 1 : 0;
    if (mAttempt.IsGang()) {
      start.mGang = mAttempt.mId.Value();
      start.mGangSize = static_cast<int>(mTasks.size());
      start.mLease = mContext.mOptions.mPrepareLease;
    }
    return start;
  }

  void SendStart(std::size_t aTask)
  {
    if (IsOver()) {
      return;
    }
    // The lease may have ended while the record was written.
    if (!mMayStart(mAttempt.mEpoch)) {
      OnNotRun(aTask, "the right to start work has ended", false);
      return;
    }
    ++mContext.mCounters.mAttempts;
    mContext.mPorts.StartTask(
      Server(aTask),
      MakeStart(aTask),
      kAwait,
      [self = this->shared_from_this(), aTask](Status aStatus) {
        self->OnStarted(aTask, std::move(aStatus));
      });
  }

  void OnStarted(std::size_t aTask, Status aStatus)
  {
    if (IsOver()) {
      return;
    }
    if (aStatus) {
      OnStatus(aTask, *aStatus);
      return;
    }
    switch (aStatus.error().mCode) {
      case base::ErrorCode::eStaleEpoch:
        ++mContext.mCounters.mStaleEpochs;
        OnNotRun(aTask, aStatus.error().ToString(), false);
        return;
      case base::ErrorCode::eShuttingDown:
        mContext.mMembers.MarkDraining(Server(aTask).mId.Value());
        OnNotRun(aTask, aStatus.error().ToString(), false);
        return;
      case base::ErrorCode::eBusy:
      case base::ErrorCode::eInvalid:
      case base::ErrorCode::eDenied:
        OnNotRun(aTask, aStatus.error().ToString(), false);
        return;
      case base::ErrorCode::eUnavailable:
        OnNotRun(aTask, aStatus.error().ToString(), true);
        return;
      default:
        if (mAttempt.IsGang() && mContext.mOptions.mMechanisms.mPrepareGangs) {
          // A prepared place frees itself when it is not committed.
          OnNotRun(aTask, aStatus.error().ToString(), true);
          return;
        }
        // It may have started, or a copy of the message has: ask.
        Await(aTask, {});
    }
  }

  // One task certainly has not run and will not.
  void OnNotRun(std::size_t aTask, std::string aReason, bool aServerFault)
  {
    std::optional<base::ServerId> server;
    if (aServerFault) {
      server = Server(aTask).mId;
    }
    if (!mAttempt.IsGang()) {
      End(Kind::eNotRun, std::move(aReason), server);
      return;
    }
    if (mCommitted) {
      AbortGang(aTask, Kind::eLost, std::move(aReason));
      return;
    }
    // A place that was not prepared in time frees itself.
    for (std::size_t i = 0; i < mTasks.size(); ++i) {
      Act(i, platform::TaskAction::eRelease, {});
    }
    End(Kind::eNotRun, std::move(aReason), server);
  }

  // Stops what is left of a gang that has lost a task.
  void AbortGang(std::size_t aTask, Kind aKind, std::string aReason)
  {
    if (mContext.mOptions.mMechanisms.mStopPartialGangs) {
      for (std::size_t i = 0; i < mTasks.size(); ++i) {
        if (mTasks[i].mPhase != Phase::eFinished) {
          Act(i, platform::TaskAction::eStop, {});
        }
      }
    }
    End(aKind, std::move(aReason), Server(aTask).mId);
  }

  void OnStatus(std::size_t aTask, const platform::TaskStatus& aStatus)
  {
    if (aStatus.mAttempt != mAttempt.TaskId(aTask)) {
      // The status of another attempt says nothing about this one.
      ++mContext.mCounters.mBadAnswers;
      Await(aTask, kRetryAfter);
      return;
    }
    mTasks[aTask].mLastContact = mContext.Now();
    switch (aStatus.mState) {
      case platform::TaskState::eAbsent:
        OnAbsent(aTask);
        return;
      case platform::TaskState::ePrepared:
        OnPrepared(aTask);
        return;
      case platform::TaskState::eRunning:
        OnRunning(aTask);
        return;
      case platform::TaskState::eFinished:
        OnFinished(aTask, aStatus);
        return;
      case platform::TaskState::eFailed:
        ++mContext.mCounters.mAttemptsFailed;
        OnTaskEnded(aTask, Kind::eFailed, "the task failed");
        return;
      case platform::TaskState::eStopped:
      case platform::TaskState::eCheckpointed:
        OnTaskEnded(aTask,
                    mStopping ? Kind::eStopped : Kind::eLost,
                    "the server stopped the task");
        return;
    }
  }

  void OnTaskEnded(std::size_t aTask, Kind aKind, std::string aReason)
  {
    if (mAttempt.IsGang()) {
      AbortGang(aTask, aKind, std::move(aReason));
      return;
    }
    End(aKind, std::move(aReason), Server(aTask).mId);
  }

  void OnAbsent(std::size_t aTask)
  {
    if (mAttempt.IsGang()) {
      mTasks[aTask].mPhase = Phase::eAbsent;
      if (mCommitted) {
        AbortGang(aTask, Kind::eLost, "a task of the gang has gone");
      } else if (mAdopted) {
        ContinueAdoption();
      } else {
        OnNotRun(aTask, "a task of the gang was not prepared", true);
      }
      return;
    }
    // After a take-over the server is fenced and cannot start it any more;
    // otherwise our own message may still be on its way.
    base::Duration waited = mContext.Now() - mLaunchedAt;
    if (mAdopted || waited >= mContext.mOptions.mServerLostAfter) {
      End(Kind::eLost, "the server does not know the task", Server(aTask).mId);
      return;
    }
    Await(aTask, kRetryAfter);
  }

  // Once all tasks of an adopted gang are known, the gang goes on as a whole
  // or ends as a whole. A task that is only prepared cannot be committed any
  // more: its server has been fenced since.
  void ContinueAdoption()
  {
    if (!mAdopted || mCommitted || Count(Phase::ePending) > 0) {
      return;
    }
    std::size_t started = Count(Phase::eRunning) + Count(Phase::eFinished);
    if (started == 0) {
      OnNotRun(0, "the gang was never committed", false);
      return;
    }
    mCommitted = true;
    if (started < mTasks.size()) {
      AbortGang(0, Kind::eLost, "a task of the gang was never started");
    }
  }

  void OnPrepared(std::size_t aTask)
  {
    mTasks[aTask].mPhase = Phase::ePrepared;
    if (mAdopted) {
      ContinueAdoption();
    } else if (!mContext.mOptions.mMechanisms.mPrepareGangs) {
      CommitTask(aTask);
    } else if (Count(Phase::ePending) == 0) {
      CommitAll();
    }
  }

  std::size_t Count(Phase aPhase) const
  {
    return static_cast<std::size_t>(
      std::count_if(mTasks.begin(), mTasks.end(), [&](const TaskRun& aTask) {
        return aTask.mPhase == aPhase;
      }));
  }

  void CommitAll()
  {
    if (!mAdopted && !mMayStart(mAttempt.mEpoch)) {
      OnNotRun(0, "the right to start work has ended", false);
      return;
    }
    mCommitted = true;
    for (std::size_t i = 0; i < mTasks.size(); ++i) {
      if (mTasks[i].mPhase == Phase::ePrepared) {
        CommitTask(i);
      }
    }
  }

  void CommitTask(std::size_t aTask)
  {
    Act(aTask,
        platform::TaskAction::eCommit,
        [self = this->shared_from_this(), aTask](const Status& aStatus) {
          self->OnCommitted(aTask, aStatus);
        });
  }

  void OnCommitted(std::size_t aTask, const Status& aStatus)
  {
    if (!aStatus && aStatus.error().mCode == base::ErrorCode::eStaleEpoch) {
      ++mContext.mCounters.mStaleEpochs;
      AbortGang(aTask, Kind::eLost, aStatus.error().ToString());
      return;
    }
    // Without an answer the state of the task tells what happened.
    Renew(aTask);
    Await(aTask, {});
  }

  void OnRunning(std::size_t aTask)
  {
    mTasks[aTask].mPhase = Phase::eRunning;
    if (mAttempt.IsGang()) {
      ContinueAdoption();
      RenewIfDue(aTask);
    }
    Await(aTask, {});
  }

  void RenewIfDue(std::size_t aTask)
  {
    base::Duration since = mContext.Now() - mTasks[aTask].mLastRenewal;
    if (since >= mContext.mOptions.mRenewGangEvery) {
      Renew(aTask);
    }
  }

  void Renew(std::size_t aTask)
  {
    mTasks[aTask].mLastRenewal = mContext.Now();
    Act(aTask, platform::TaskAction::eRenew, {});
  }

  void OnFinished(std::size_t aTask, const platform::TaskStatus& aStatus)
  {
    if (mContext.mOptions.mMechanisms.mVerifyAnswers &&
        !IsWholeAnswer(aStatus, mAttempt.TaskId(aTask), mRecord.mRequest)) {
      ++mContext.mCounters.mBadAnswers;
      if (++mTasks[aTask].mBadAnswers < kMostBadAnswers) {
        Await(aTask, kRetryAfter);
      } else {
        OnTaskEnded(aTask, Kind::eLost, "the server's answer is not whole");
      }
      return;
    }
    mTasks[aTask].mPhase = Phase::eFinished;
    mTasks[aTask].mAnswer = aStatus.mAnswer;
    bool all =
      std::all_of(mTasks.begin(), mTasks.end(), [](const TaskRun& aRun) {
        return aRun.mPhase == Phase::eFinished;
      });
    if (all) {
      EndFinished();
    } else {
      ContinueAdoption();
    }
  }

  // The first task answers for its gang, as the first rank of a parallel job
  // does.
  void EndFinished()
  {
    if (!IsOver()) {
      Done done = std::exchange(mDone, nullptr);
      done({ Kind::eFinished, mTasks[0].mAnswer, Server(0).mId, {} });
    }
  }

  void Await(std::size_t aTask, base::Duration aDelay)
  {
    if (IsOver()) {
      return;
    }
    if (aDelay > base::Duration{}) {
      mContext.mPorts.After(aDelay, [self = this->shared_from_this(), aTask] {
        self->Await(aTask, {});
      });
      return;
    }
    base::Duration wait = mAttempt.IsGang() ? mContext.mOptions.mRenewGangEvery
                                            : base::Duration(kAwait);
    mContext.mPorts.AwaitTask(
      Server(aTask),
      mAttempt.TaskId(aTask),
      wait,
      [self = this->shared_from_this(), aTask](Status aStatus) {
        self->OnAwaited(aTask, std::move(aStatus));
      });
  }

  void OnAwaited(std::size_t aTask, Status aStatus)
  {
    if (IsOver()) {
      return;
    }
    if (aStatus) {
      OnStatus(aTask, *aStatus);
      return;
    }
    base::Duration silent = mContext.Now() - mTasks[aTask].mLastContact;
    base::Duration limit = mAttempt.IsGang()
                             ? mContext.mOptions.mGangTaskLostAfter
                             : mContext.mOptions.mServerLostAfter;
    if (silent >= limit) {
      OnTaskEnded(aTask, Kind::eLost, aStatus.error().ToString());
      return;
    }
    Await(aTask, kRetryAfter);
  }

  void Act(std::size_t aTask,
           platform::TaskAction aAction,
           std::function<void(Status)> aThen)
  {
    base::Duration lease = aAction == platform::TaskAction::eRenew
                             ? mContext.mOptions.mGangLease
                             : base::Duration{};
    mContext.mPorts.ActOnTask(Server(aTask),
                              mAttempt.TaskId(aTask),
                              aAction,
                              lease,
                              [self = this->shared_from_this(),
                               then = std::move(aThen)](Status aStatus) {
                                if (then && !self->IsOver()) {
                                  then(std::move(aStatus));
                                }
                              });
  }

  static constexpr base::Duration kAwait = std::chrono::seconds(5);
  static constexpr base::Duration kRetryAfter = std::chrono::milliseconds(500);

  Context<P>& mContext;
  const ledger::Record mRecord;
  const ledger::Attempt mAttempt;
  MayStart mMayStart;
  Done mDone;
  std::vector<TaskRun> mTasks;
  base::Time mLaunchedAt{};
  bool mAdopted = false;
  bool mCommitted = false;
  bool mStopping = false;
};

} // namespace flamingoloom::control
