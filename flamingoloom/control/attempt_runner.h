// Runs one attempt of a recorded request on its backend servers, from the first
// message to an outcome that determines the next state of the record.
//
// A gang is prepared on all servers and then committed. If one server rejects
// or loses its task, the other tasks are released or stopped. After a takeover
// an attempt is adopted: its tasks are polled first, then the attempt continues
// or is stopped as a whole. Not thread-safe.
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
    // No task of this attempt ran or can run any more.
    eNotRun,
    // It is not known whether a task ran, or a gang lost some of its tasks.
    eLost,
    // The tasks were stopped or checkpointed by Stop().
    eStopped,
  };

  Kind mKind = Kind::eLost;
  std::string mAnswer;
  // The server to which the outcome is attributed, if any.
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
  // Returns whether work may still be started under the attempt's epoch.
  using MayStart = std::function<bool(base::Epoch)>;

  // Requires a record in the state eStarting. aDone is called exactly once,
  // unless Abandon is called first.
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

  // Sends the start commands of a new attempt.
  void Launch()
  {
    mLaunchedAt = mContext.Now();
    for (std::size_t i = 0; i < mTasks.size(); ++i) {
      mTasks[i].mLastContact = mContext.Now();
      SendStart(i);
    }
  }

  // Adopts an attempt that a previous owner may have sent. Requires that all
  // listed servers of the attempt have acknowledged a higher epoch, so that no
  // message of the previous owner can start a task any more.
  void Adopt()
  {
    mAdopted = true;
    for (std::size_t i = 0; i < mTasks.size(); ++i) {
      mTasks[i].mLastContact = mContext.Now();
      PollTask(i, {});
    }
  }

  // Stops or checkpoints all tasks. The outcome is eStopped, or eFinished if
  // the tasks completed first.
  void Stop(platform::TaskAction aAction)
  {
    mStopping = true;
    for (std::size_t i = 0; i < mTasks.size(); ++i) {
      SendAction(i, aAction, {});
    }
  }

  base::Time LaunchedAt() const { return mLaunchedAt; }

  // Ends the runner without a result and without stopping the tasks, so that a
  // new owner can adopt them.
  void Abandon() { mDone = nullptr; }

private:
  using Kind = AttemptOutcome::Kind;
  using Status = base::Expected<platform::TaskStatus>;

  enum class Phase
  {
    // The state of the task is not known yet.
    ePending,
    eAbsent,
    ePrepared,
    eRunning,
    eFinished,
  };

  struct TaskProgress
  {
    Phase mPhase = Phase::ePending;
    std::string mAnswer;
    base::Time mLastContact{};
    base::Time mLastRenewal{};
    int mBadAnswers = 0;
  };

  static constexpr int kMaxBadAnswers = 3;

  bool IsOver() const { return !mDone; }

  void ReportOutcome(Kind aKind,
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
    // The lease may have expired while the record was being written.
    if (!mMayStart(mAttempt.mEpoch)) {
      OnTaskNotRun(aTask,
                   "this instance may no longer start work in the data centre",
                   false);
      return;
    }
    ++mContext.mCounters.mAttempts;
    mContext.mPorts.StartTask(
      Server(aTask),
      MakeStart(aTask),
      kPollTimeout,
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
        OnTaskNotRun(aTask, aStatus.error().ToString(), false);
        return;
      case base::ErrorCode::eShuttingDown:
        mContext.mMembers.MarkDraining(Server(aTask).mId.Value());
        OnTaskNotRun(aTask, aStatus.error().ToString(), false);
        return;
      case base::ErrorCode::eBusy:
      case base::ErrorCode::eInvalid:
      case base::ErrorCode::eDenied:
        OnTaskNotRun(aTask, aStatus.error().ToString(), false);
        return;
      case base::ErrorCode::eUnavailable:
        OnTaskNotRun(aTask, aStatus.error().ToString(), true);
        return;
      default:
        if (mAttempt.IsGang() && mContext.mOptions.mMechanisms.mPrepareGangs) {
          // A prepared task that is not committed is released by its server.
          OnTaskNotRun(aTask, aStatus.error().ToString(), true);
          return;
        }
        // The task may have started, or a duplicate of the message may still
        // start it, so its state is polled.
        PollTask(aTask, {});
    }
  }

  // Handles a task that has not run and cannot run any more.
  void OnTaskNotRun(std::size_t aTask, std::string aReason, bool aIsServerFault)
  {
    std::optional<base::ServerId> server;
    if (aIsServerFault) {
      server = Server(aTask).mId;
    }
    if (!mAttempt.IsGang()) {
      ReportOutcome(Kind::eNotRun, std::move(aReason), server);
      return;
    }
    if (mCommitted) {
      AbortGang(aTask, Kind::eLost, std::move(aReason));
      return;
    }
    // A server that does not receive the release frees its prepared task when
    // the prepare lease expires.
    for (std::size_t i = 0; i < mTasks.size(); ++i) {
      SendAction(i, platform::TaskAction::eRelease, {});
    }
    ReportOutcome(Kind::eNotRun, std::move(aReason), server);
  }

  // Stops the remaining tasks of a gang that has lost a task.
  void AbortGang(std::size_t aTask, Kind aKind, std::string aReason)
  {
    if (mContext.mOptions.mMechanisms.mStopPartialGangs) {
      for (std::size_t i = 0; i < mTasks.size(); ++i) {
        if (mTasks[i].mPhase != Phase::eFinished) {
          SendAction(i, platform::TaskAction::eStop, {});
        }
      }
    }
    ReportOutcome(aKind, std::move(aReason), Server(aTask).mId);
  }

  void OnStatus(std::size_t aTask, const platform::TaskStatus& aStatus)
  {
    if (aStatus.mAttempt != mAttempt.TaskId(aTask)) {
      // The server sent the status of another attempt.
      ++mContext.mCounters.mBadAnswers;
      PollTask(aTask, kRetryDelay);
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
    ReportOutcome(aKind, std::move(aReason), Server(aTask).mId);
  }

  void OnAbsent(std::size_t aTask)
  {
    if (mAttempt.IsGang()) {
      mTasks[aTask].mPhase = Phase::eAbsent;
      if (mCommitted) {
        AbortGang(
          aTask, Kind::eLost, "a server no longer knows its task of the gang");
      } else if (mAdopted) {
        ContinueAdoption();
      } else {
        OnTaskNotRun(aTask, "a task of the gang was not prepared", true);
      }
      return;
    }
    // After a takeover the server is fenced and cannot start the task any more.
    // Otherwise the start command of this instance may still be in flight.
    base::Duration waited = mContext.Now() - mLaunchedAt;
    if (mAdopted || waited >= mContext.mOptions.mServerLostTimeout) {
      ReportOutcome(
        Kind::eLost, "the server does not know the task", Server(aTask).mId);
      return;
    }
    PollTask(aTask, kRetryDelay);
  }

  // Continues or ends an adopted gang as a whole once the state of all its
  // tasks is known. A task that is only prepared cannot be committed any more,
  // because its server has acknowledged a higher epoch since.
  void ContinueAdoption()
  {
    if (!mAdopted || mCommitted || Count(Phase::ePending) > 0) {
      return;
    }
    std::size_t started = Count(Phase::eRunning) + Count(Phase::eFinished);
    if (started == 0) {
      OnTaskNotRun(0, "the gang was never committed", false);
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
    return static_cast<std::size_t>(std::count_if(
      mTasks.begin(), mTasks.end(), [&](const TaskProgress& aTask) {
        return aTask.mPhase == aPhase;
      }));
  }

  void CommitAll()
  {
    if (!mAdopted && !mMayStart(mAttempt.mEpoch)) {
      OnTaskNotRun(
        0, "this instance may no longer start work in the data centre", false);
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
    SendAction(aTask,
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
    // If the response was lost, polling shows whether the commit took effect.
    Renew(aTask);
    PollTask(aTask, {});
  }

  void OnRunning(std::size_t aTask)
  {
    mTasks[aTask].mPhase = Phase::eRunning;
    if (mAttempt.IsGang()) {
      ContinueAdoption();
      RenewIfDue(aTask);
    }
    PollTask(aTask, {});
  }

  void RenewIfDue(std::size_t aTask)
  {
    base::Duration sinceRenewal = mContext.Now() - mTasks[aTask].mLastRenewal;
    if (sinceRenewal >= mContext.mOptions.mGangRenewalInterval) {
      Renew(aTask);
    }
  }

  void Renew(std::size_t aTask)
  {
    mTasks[aTask].mLastRenewal = mContext.Now();
    SendAction(aTask, platform::TaskAction::eRenew, {});
  }

  void OnFinished(std::size_t aTask, const platform::TaskStatus& aStatus)
  {
    if (mContext.mOptions.mMechanisms.mVerifyAnswers &&
        !IsValidAnswer(aStatus, mAttempt.TaskId(aTask), mRecord.mRequest)) {
      ++mContext.mCounters.mBadAnswers;
      if (++mTasks[aTask].mBadAnswers < kMaxBadAnswers) {
        PollTask(aTask, kRetryDelay);
      } else {
        OnTaskEnded(
          aTask,
          Kind::eLost,
          "the server's answer does not match its request, length or digest");
      }
      return;
    }
    mTasks[aTask].mPhase = Phase::eFinished;
    mTasks[aTask].mAnswer = aStatus.mAnswer;
    bool allFinished = std::all_of(
      mTasks.begin(), mTasks.end(), [](const TaskProgress& aProgress) {
        return aProgress.mPhase == Phase::eFinished;
      });
    if (allFinished) {
      ReportFinished();
    } else {
      ContinueAdoption();
    }
  }

  // Reports the answer of the first task, which stands for the whole gang like
  // the first rank of a parallel job.
  void ReportFinished()
  {
    if (!IsOver()) {
      Done done = std::exchange(mDone, nullptr);
      done({ Kind::eFinished, mTasks[0].mAnswer, Server(0).mId, {} });
    }
  }

  void PollTask(std::size_t aTask, base::Duration aDelay)
  {
    if (IsOver()) {
      return;
    }
    if (aDelay > base::Duration{}) {
      mContext.mPorts.After(aDelay, [self = this->shared_from_this(), aTask] {
        self->PollTask(aTask, {});
      });
      return;
    }
    base::Duration wait = mAttempt.IsGang()
                            ? mContext.mOptions.mGangRenewalInterval
                            : base::Duration(kPollTimeout);
    mContext.mPorts.AwaitTask(
      Server(aTask),
      mAttempt.TaskId(aTask),
      wait,
      [self = this->shared_from_this(), aTask](Status aStatus) {
        self->OnPolled(aTask, std::move(aStatus));
      });
  }

  void OnPolled(std::size_t aTask, Status aStatus)
  {
    if (IsOver()) {
      return;
    }
    if (aStatus) {
      OnStatus(aTask, *aStatus);
      return;
    }
    base::Duration sinceLastContact =
      mContext.Now() - mTasks[aTask].mLastContact;
    base::Duration limit = mAttempt.IsGang()
                             ? mContext.mOptions.mGangTaskLostTimeout
                             : mContext.mOptions.mServerLostTimeout;
    if (sinceLastContact >= limit) {
      OnTaskEnded(aTask, Kind::eLost, aStatus.error().ToString());
      return;
    }
    PollTask(aTask, kRetryDelay);
  }

  void SendAction(std::size_t aTask,
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

  static constexpr base::Duration kPollTimeout = std::chrono::seconds(5);
  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(500);

  Context<P>& mContext;
  const ledger::Record mRecord;
  const ledger::Attempt mAttempt;
  MayStart mMayStart;
  Done mDone;
  std::vector<TaskProgress> mTasks;
  base::Time mLaunchedAt{};
  bool mAdopted = false;
  bool mCommitted = false;
  bool mStopping = false;
};

} // namespace flamingoloom::control
