// Runs requests that are idempotent and may be lost, such as price quotes. They
// are sent to a backend server against a credit, without a record, without
// store access and without a hop to another instance. Not thread-safe.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/control/answer_check.h"
#include "flamingoloom/control/context.h"
#include "flamingoloom/dispatch/credit_pool.h"
#include "flamingoloom/dispatch/failure_tracker.h"
#include "flamingoloom/dispatch/retry_budget.h"
#include "flamingoloom/dispatch/route.h"

namespace flamingoloom::control {

template <platform::Ports P, class Routing = dispatch::WeightedRouting>
class UnrecordedRequests
{
public:
  explicit UnrecordedRequests(Context<P>& aContext)
    : mContext(aContext)
  {
  }

  void Submit(const CallerRequest& aRequest,
              const config::JobKind& aKind,
              AnswerDone aDone)
  {
    ++mContext.mCounters.mUnrecordedRequests;
    mBudget.OnFirstAttempt();
    auto call = std::make_shared<Call>();
    call->mRequest = aRequest;
    call->mId = { aRequest.mAccount,
                  aRequest.mKey.empty() ? mContext.UniqueId() : aRequest.mKey };
    base::Duration timeLimit =
      aKind.mDeadline > base::Duration{} ? aKind.mDeadline : kDefaultDeadline;
    call->mDeadline = mContext.Now() + timeLimit;
    call->mDone = std::move(aDone);
    ++mInProgress;
    SendOrEnqueue(call);
  }

  // Adds credits that were requested at aRequestedAt.
  void Put(const platform::CreditGrant& aGrant, base::Time aRequestedAt)
  {
    mPool.Put(aGrant, aRequestedAt);
    DispatchPending();
  }

  // Rejects queued requests whose deadline has passed, then dispatches pending
  // ones. Must be called at each tick.
  void OnTick()
  {
    std::erase_if(mQueue, [this](const CallPtr& aCall) {
      bool expired = mContext.Now() >= aCall->mDeadline;
      if (expired) {
        CompleteWithoutAnswer(aCall,
                              "no free backend server within the deadline");
      }
      return expired;
    });
    DispatchPending();
  }

  // The number of credits that the instance wants to hold: one for each request
  // in progress, and some spare ones.
  int WantedCredits() const
  {
    return static_cast<int>(mInProgress) + kSpareCredits;
  }
  std::size_t InProgress() const { return mInProgress; }
  // Returns true if requests are queued and no credit is free.
  bool IsStarved()
  {
    return !mQueue.empty() && mPool.Free(mContext.Now()).empty();
  }
  bool HasNearCredits()
  {
    for (const dispatch::FreeSlot& slot : mPool.Free(mContext.Now())) {
      if (mContext.Distance(slot.mDataCentre) < 2) {
        return true;
      }
    }
    return false;
  }

private:
  struct Call
  {
    CallerRequest mRequest;
    base::RequestId mId;
    base::Time mDeadline{};
    AnswerDone mDone;
    int mCallAttempts = 0;
    bool mMayHaveRun = false;
    std::vector<base::ServerId> mTried;
    std::string mReason;
  };
  using CallPtr = std::shared_ptr<Call>;

  static constexpr base::Duration kDefaultDeadline = std::chrono::seconds(10);
  // The first call attempt ends early enough to leave time for another one, but
  // not before this time.
  static constexpr base::Duration kMinCallTimeout =
    std::chrono::milliseconds(50);
  static constexpr int kSpareCredits = 8;
  static constexpr int kMaxCallAttempts = 5;
  static constexpr std::size_t kMaxQueueLength = 10000;

  void DispatchPending()
  {
    while (!mQueue.empty() && TrySend(mQueue.front())) {
      mQueue.pop_front();
    }
  }

  void SendOrEnqueue(const CallPtr& aCall)
  {
    if (TrySend(aCall)) {
      return;
    }
    if (mQueue.size() >= kMaxQueueLength) {
      CompleteWithoutAnswer(aCall, "the queue of unrecorded requests is full");
      return;
    }
    mQueue.push_back(aCall);
  }

  // Sends the call if a server with a free credit is available. Returns whether
  // it was sent.
  bool TrySend(const CallPtr& aCall)
  {
    dispatch::RouteQuery query;
    query.mNow = mContext.Now();
    query.mMayProbe = aCall->mCallAttempts == 0;
    query.mTried = aCall->mTried;
    query.mRandom = mContext.mPorts.Random();
    query.mDistance = [this](const base::DataCentreId& aDataCentre) {
      return mContext.Distance(aDataCentre);
    };
    auto free = mPool.Free(query.mNow);
    if (mContext.mOptions.mMechanisms.mExcludeDrainingServers) {
      std::erase_if(free, [this](const dispatch::FreeSlot& aSlot) {
        const platform::Member* member =
          mContext.mMembers.Find(aSlot.mServer.mId.Value());
        return member && member->mState == platform::MemberState::eDraining;
      });
    }
    auto route = Routing::Choose(free, mFailures, query);
    if (!route) {
      return false;
    }
    if (route->mIsProbe) {
      mFailures.OnProbe(route->mSlot.mServer.mId, query.mNow);
    }
    Send(aCall, route->mSlot);
    return true;
  }

  void Send(const CallPtr& aCall, const dispatch::FreeSlot& aSlot)
  {
    ++aCall->mCallAttempts;
    ++mContext.mCounters.mAttempts;
    mPool.Acquire(aSlot.mServer.mId);
    platform::TaskStart start;
    start.mAttempt = base::AttemptId(mContext.UniqueId());
    start.mRequest = aCall->mId;
    start.mKind = aCall->mRequest.mKind;
    start.mDataCentre = aSlot.mDataCentre;
    start.mEpoch = aSlot.mEpoch;
    start.mPayload = aCall->mRequest.mPayload;
    base::Duration remaining = aCall->mDeadline - mContext.Now();
    base::Duration timeout = aCall->mCallAttempts == 1
                               ? std::max(remaining / 2, kMinCallTimeout)
                               : remaining;
    mContext.mPorts.StartTask(
      aSlot.mServer,
      start,
      timeout,
      [this, aCall, aSlot, attempt = start.mAttempt](
        const base::Expected<platform::TaskStatus>& aStatus) {
        mPool.Release(aSlot.mServer.mId);
        OnResponse(aCall, aSlot, attempt, aStatus);
        DispatchPending();
      });
  }

  void OnResponse(const CallPtr& aCall,
                  const dispatch::FreeSlot& aSlot,
                  const base::AttemptId& aAttempt,
                  const base::Expected<platform::TaskStatus>& aStatus)
  {
    if (!aStatus) {
      OnError(aCall, aSlot, aStatus.error());
      return;
    }
    aCall->mMayHaveRun = true;
    bool finished = aStatus->mState == platform::TaskState::eFinished;
    bool valid = !mContext.mOptions.mMechanisms.mVerifyAnswers ||
                 IsValidAnswer(*aStatus, aAttempt, aCall->mId);
    if (finished && valid) {
      mFailures.OnSuccess(aSlot.mServer.mId);
      Finish(aCall, aSlot, aAttempt, *aStatus);
      return;
    }
    ++(finished ? mContext.mCounters.mBadAnswers
                : mContext.mCounters.mAttemptsFailed);
    mFailures.OnFailure(aSlot.mServer.mId, mContext.Now());
    Retry(aCall,
          aSlot,
          finished
            ? "the server's answer does not match its request, length or digest"
            : "the task failed",
          true);
  }

  void OnError(const CallPtr& aCall,
               const dispatch::FreeSlot& aSlot,
               const base::Error& aError)
  {
    bool certainlyNotRun = true;
    switch (aError.mCode) {
      case base::ErrorCode::eStaleEpoch:
        ++mContext.mCounters.mStaleEpochs;
        mPool.Drop(aSlot.mDataCentre);
        break;
      case base::ErrorCode::eShuttingDown:
        if (mContext.mMembers.MarkDraining(aSlot.mServer.mId.Value())) {
          mContext.AnnounceLeaving(aSlot.mServer.mId.Value());
        }
        break;
      case base::ErrorCode::eBusy:
        break;
      case base::ErrorCode::eUnavailable:
        mFailures.OnFailure(aSlot.mServer.mId, mContext.Now());
        break;
      default:
        mFailures.OnFailure(aSlot.mServer.mId, mContext.Now());
        aCall->mMayHaveRun = true;
        certainlyNotRun = false;
    }
    Retry(aCall, aSlot, aError.ToString(), !certainlyNotRun);
  }

  // Retries on another server. Only call attempts that may have run use the
  // retry budget.
  void Retry(const CallPtr& aCall,
             const dispatch::FreeSlot& aSlot,
             std::string aReason,
             bool aUsesBudget)
  {
    aCall->mReason = std::move(aReason);
    aCall->mTried.push_back(aSlot.mServer.mId);
    bool expired = mContext.Now() >= aCall->mDeadline;
    if (expired || aCall->mCallAttempts >= kMaxCallAttempts ||
        (aUsesBudget && !mBudget.TakeRetry())) {
      CompleteWithoutAnswer(aCall, aCall->mReason);
      return;
    }
    ++mContext.mCounters.mUnrecordedRetries;
    SendOrEnqueue(aCall);
  }

  void Finish(const CallPtr& aCall,
              const dispatch::FreeSlot& aSlot,
              const base::AttemptId& aAttempt,
              const platform::TaskStatus& aStatus)
  {
    CallerAnswer answer;
    answer.mState = RequestState::eFinished;
    answer.mRan = Ran::eYes;
    answer.mRequest = aCall->mId;
    answer.mAttempt = aAttempt;
    answer.mAnswer = aStatus.mAnswer;
    answer.mAnswerSha256 = aStatus.mAnswerSha256;
    answer.mServer = aSlot.mServer.mId;
    answer.mDataCentre = aSlot.mDataCentre;
    Complete(aCall, std::move(answer));
  }

  // Completes a call without an answer. The state is eRefused only if no call
  // attempt may have run.
  void CompleteWithoutAnswer(const CallPtr& aCall, const std::string& aReason)
  {
    CallerAnswer answer;
    answer.mState =
      aCall->mMayHaveRun ? RequestState::eUnknown : RequestState::eRefused;
    answer.mRan = aCall->mMayHaveRun ? Ran::eUnknown : Ran::eNo;
    answer.mRequest = aCall->mId;
    answer.mReason = aReason;
    ++mContext.mCounters.mUnrecordedRefused;
    Complete(aCall, std::move(answer));
  }

  void Complete(const CallPtr& aCall, CallerAnswer aAnswer)
  {
    --mInProgress;
    aCall->mDone(std::move(aAnswer));
  }

  Context<P>& mContext;
  dispatch::CreditPool mPool;
  dispatch::FailureTracker mFailures;
  dispatch::RetryBudget mBudget;
  std::deque<CallPtr> mQueue;
  std::size_t mInProgress = 0;
};

} // namespace flamingoloom::control
