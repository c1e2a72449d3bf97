// Requests that are idempotent and may be lost, such as price quotes: they are
// sent to a backend server on a credit, with no record, no store access and no
// hop to another instance. Not thread-safe.
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
    base::Duration limit =
      aKind.mDeadline > base::Duration{} ? aKind.mDeadline : kDefaultDeadline;
    call->mDeadline = mContext.Now() + limit;
    call->mDone = std::move(aDone);
    ++mInProgress;
    Try(call);
  }

  // Takes credits that were asked for at aAskedAt.
  void Put(const platform::CreditGrant& aGrant, base::Time aAskedAt)
  {
    mPool.Put(aGrant, aAskedAt);
    Pump();
  }

  // Ends what waits past its deadline.
  void Step()
  {
    std::erase_if(mWaiting, [this](const CallPtr& aCall) {
      bool late = mContext.Now() >= aCall->mDeadline;
      if (late) {
        Give(aCall, "no free backend server within the deadline");
      }
      return late;
    });
    Pump();
  }

  // Small requests that the instance may want to run at once.
  int Wanted() const { return static_cast<int>(mInProgress) + kSpareCredits; }
  std::size_t InProgress() const { return mInProgress; }
  // Requests wait and no credit is free.
  bool IsStarved()
  {
    return !mWaiting.empty() && mPool.Free(mContext.Now()).empty();
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
    int mTries = 0;
    bool mMayHaveRun = false;
    std::vector<base::ServerId> mTried;
    std::string mReason;
  };
  using CallPtr = std::shared_ptr<Call>;

  static constexpr base::Duration kDefaultDeadline = std::chrono::seconds(10);
  // A try ends early enough to leave time for another one, but not earlier.
  static constexpr base::Duration kShortestTry = std::chrono::milliseconds(50);
  static constexpr int kSpareCredits = 8;
  static constexpr int kMostTries = 5;
  static constexpr std::size_t kLongestQueue = 10000;

  void Pump()
  {
    while (!mWaiting.empty() && TryNow(mWaiting.front())) {
      mWaiting.pop_front();
    }
  }

  void Try(const CallPtr& aCall)
  {
    if (TryNow(aCall)) {
      return;
    }
    if (mWaiting.size() >= kLongestQueue) {
      Give(aCall, "too many requests are waiting");
      return;
    }
    mWaiting.push_back(aCall);
  }

  // Whether the call was sent.
  bool TryNow(const CallPtr& aCall)
  {
    dispatch::RouteQuery query;
    query.mNow = mContext.Now();
    query.mMayProbe = aCall->mTries == 0;
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
    ++aCall->mTries;
    ++mContext.mCounters.mAttempts;
    mPool.Acquire(aSlot.mServer.mId);
    platform::TaskStart start;
    start.mAttempt = base::AttemptId(mContext.UniqueId());
    start.mRequest = aCall->mId;
    start.mKind = aCall->mRequest.mKind;
    start.mDataCentre = aSlot.mDataCentre;
    start.mEpoch = aSlot.mEpoch;
    start.mPayload = aCall->mRequest.mPayload;
    base::Duration left = aCall->mDeadline - mContext.Now();
    base::Duration wait =
      aCall->mTries == 1 ? std::max(left / 2, kShortestTry) : left;
    mContext.mPorts.StartTask(
      aSlot.mServer,
      start,
      wait,
      [this, aCall, aSlot, attempt = start.mAttempt](
        const base::Expected<platform::TaskStatus>& aStatus) {
        mPool.Release(aSlot.mServer.mId);
        OnAnswer(aCall, aSlot, attempt, aStatus);
        Pump();
      });
  }

  void OnAnswer(const CallPtr& aCall,
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
    bool whole = !mContext.mOptions.mMechanisms.mVerifyAnswers ||
                 IsWholeAnswer(*aStatus, aAttempt, aCall->mId);
    if (finished && whole) {
      mFailures.OnSuccess(aSlot.mServer.mId);
      Finish(aCall, aSlot, aAttempt, *aStatus);
      return;
    }
    ++(finished ? mContext.mCounters.mBadAnswers
                : mContext.mCounters.mAttemptsFailed);
    mFailures.OnFailure(aSlot.mServer.mId, mContext.Now());
    Retry(aCall,
          aSlot,
          finished ? "the server's answer is not whole" : "the task failed",
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

  // Tries another server. Only tries that may have run use up the budget.
  void Retry(const CallPtr& aCall,
             const dispatch::FreeSlot& aSlot,
             std::string aReason,
             bool aUsesBudget)
  {
    aCall->mReason = std::move(aReason);
    aCall->mTried.push_back(aSlot.mServer.mId);
    bool late = mContext.Now() >= aCall->mDeadline;
    if (late || aCall->mTries >= kMostTries ||
        (aUsesBudget && !mBudget.TakeRetry())) {
      Give(aCall, aCall->mReason);
      return;
    }
    ++mContext.mCounters.mUnrecordedRetries;
    Try(aCall);
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
    End(aCall, std::move(answer));
  }

  // Ends a call without an answer: "not run" only when no try may have run.
  void Give(const CallPtr& aCall, const std::string& aReason)
  {
    CallerAnswer answer;
    answer.mState =
      aCall->mMayHaveRun ? RequestState::eUnknown : RequestState::eRefused;
    answer.mRan = aCall->mMayHaveRun ? Ran::eUnknown : Ran::eNo;
    answer.mRequest = aCall->mId;
    answer.mReason = aReason;
    ++mContext.mCounters.mUnrecordedRefused;
    End(aCall, std::move(answer));
  }

  void End(const CallPtr& aCall, CallerAnswer aAnswer)
  {
    --mInProgress;
    aCall->mDone(std::move(aAnswer));
  }

  Context<P>& mContext;
  dispatch::CreditPool mPool;
  dispatch::FailureTracker mFailures;
  dispatch::RetryBudget mBudget;
  std::deque<CallPtr> mWaiting;
  std::size_t mInProgress = 0;
};

} // namespace flamingoloom::control
