// Handles recorded requests on the receiving instance: creates the record,
// notifies the owner of the data centre and waits for the result on behalf of
// the caller. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/control/context.h"
#include "flamingoloom/control/record_answer.h"
#include "flamingoloom/control/record_store.h"

namespace flamingoloom::control {

template <platform::Ports P>
class RecordedRequests
{
public:
  // Callbacks to other parts of the instance.
  struct Callbacks
  {
    // Returns a data centre that may run the request, or nothing if there is
    // none.
    std::function<std::optional<base::DataCentreId>(const CallerRequest&)>
      mChooseDataCentre;
    // Notifies the owner of a request.
    std::function<void(const platform::RequestNotice&)> mNotify;
    // Waits for a terminal record at the owner, for at most the given time.
    std::function<void(const platform::RequestNotice&,
                       base::Duration,
                       platform::Done<platform::RequestProgress>)>
      mAwait;
  };

  RecordedRequests(Context<P>& aContext,
                   RecordStore<P>& aStore,
                   Callbacks aCallbacks)
    : mContext(aContext)
    , mStore(aStore)
    , mCallbacks(std::move(aCallbacks))
  {
  }

  void Submit(const CallerRequest& aRequest, AnswerDone aDone)
  {
    ++mContext.mCounters.mRecordedRequests;
    auto call = MakeCall(
      { aRequest.mAccount, aRequest.mKey }, aRequest.mWait, std::move(aDone));
    call->mRequest = aRequest;
    call->mBodySha256 = ledger::BodySha256(aRequest.mKind, aRequest.mPayload);
    call->mNonce = mContext.UniqueId();
    Create(call);
  }

  void Await(const base::RequestId& aRequest,
             base::Duration aWait,
             AnswerDone aDone)
  {
    Find(MakeCall(aRequest, aWait, std::move(aDone)));
  }

  void CancelRequest(const base::RequestId& aRequest, AnswerDone aDone)
  {
    auto call = MakeCall(aRequest, kCancelTimeout, std::move(aDone));
    call->mCancel = true;
    Find(call);
  }

  std::size_t InProgress() const { return mInProgress; }

private:
  struct Call
  {
    base::RequestId mId;
    // Set only for calls that create the record.
    std::optional<CallerRequest> mRequest;
    std::string mBodySha256;
    std::string mNonce;
    base::Time mDeadline{};
    AnswerDone mDone;
    bool mCancel = false;
    // The record is known to exist.
    bool mExists = false;
    // A creation was sent, so the record may exist.
    bool mMayExist = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(200);
  static constexpr base::Duration kMaxOwnerWait = std::chrono::seconds(5);
  static constexpr base::Duration kCancelTimeout = std::chrono::seconds(5);

  CallPtr MakeCall(const base::RequestId& aId,
                   base::Duration aWait,
                   AnswerDone aDone)
  {
    auto call = std::make_shared<Call>();
    call->mId = aId;
    call->mDeadline = mContext.Now() + aWait;
    call->mDone = std::move(aDone);
    ++mInProgress;
    return call;
  }

  void Complete(const CallPtr& aCall, base::Expected<CallerAnswer> aAnswer)
  {
    --mInProgress;
    aCall->mDone(std::move(aAnswer));
  }

  void CompleteWithState(const CallPtr& aCall,
                         RequestState aState,
                         std::string aReason)
  {
    CallerAnswer answer;
    answer.mState = aState;
    answer.mRan = Ran::eUnknown;
    answer.mRequest = aCall->mId;
    answer.mReason = std::move(aReason);
    Complete(aCall, std::move(answer));
  }

  bool IsExpired(const CallPtr& aCall)
  {
    return mContext.Now() >= aCall->mDeadline;
  }

  // --- Creating ----------------------------------------------------------

  void Create(const CallPtr& aCall)
  {
    auto dataCentre = mCallbacks.mChooseDataCentre(*aCall->mRequest);
    if (!dataCentre) {
      RetryOrFail(aCall, "no data centre accepts work now");
      return;
    }
    ledger::Record record;
    record.mRequest = aCall->mId;
    record.mKind = aCall->mRequest->mKind;
    record.mDataCentre = *dataCentre;
    record.mPayload = aCall->mRequest->mPayload;
    record.mBodySha256 = aCall->mBodySha256;
    record.mNonce = aCall->mNonce;
    aCall->mMayExist = true;
    mStore.Create(std::move(record),
                  [this, aCall](const base::Expected<StoredRecord>& aStored) {
                    if (aStored) {
                      aCall->mExists = true;
                      Wait(aCall, aStored->mRecord.mDataCentre);
                    } else if (aStored.error().mCode ==
                               base::ErrorCode::eConflict) {
                      Find(aCall);
                    } else {
                      RetryOrFail(aCall, aStored.error().ToString());
                    }
                  });
  }

  // Reads the record again after kRetryDelay. Completes the call once the
  // caller's timeout has passed.
  void RetryOrFail(const CallPtr& aCall, const std::string& aReason)
  {
    if (!IsExpired(aCall)) {
      mContext.mPorts.After(kRetryDelay, [this, aCall] { Find(aCall); });
      return;
    }
    if (aCall->mExists) {
      CompleteWithState(
        aCall, RequestState::ePending, "not completed yet: " + aReason);
      return;
    }
    // Another instance may have accepted the same key, so it is not known that
    // the request did not run.
    CompleteWithState(aCall,
                      RequestState::eUnknown,
                      "submit again with the same key: " + aReason);
  }

  // --- Finding -----------------------------------------------------------

  void Find(const CallPtr& aCall)
  {
    mStore.Find(
      aCall->mId,
      [this, aCall](const base::Expected<std::optional<StoredRecord>>& aFound) {
        OnFound(aCall, aFound);
      });
  }

  void OnFound(const CallPtr& aCall,
               const base::Expected<std::optional<StoredRecord>>& aFound)
  {
    if (!aFound) {
      RetryOrFail(aCall, aFound.error().ToString());
    } else if (!*aFound) {
      OnAbsent(aCall);
    } else if (aCall->mRequest &&
               (*aFound)->mRecord.mBodySha256 != aCall->mBodySha256) {
      Complete(aCall,
               base::MakeError(base::ErrorCode::eConflict,
                               "accept request",
                               "caller",
                               "the key was used before with another body",
                               "Idempotency-Key"));
    } else {
      OnRecord(aCall, **aFound);
    }
  }

  void OnAbsent(const CallPtr& aCall)
  {
    if (aCall->mRequest && !IsExpired(aCall)) {
      Create(aCall);
    } else if (aCall->mRequest) {
      RetryOrFail(aCall, "the record could not be written in time");
    } else {
      Complete(aCall,
               base::MakeError(base::ErrorCode::eNotFound,
                               "find request",
                               "table",
                               "there is no request with this key",
                               "key"));
    }
  }

  void OnRecord(const CallPtr& aCall, const StoredRecord& aStored)
  {
    if (!aCall->mExists && aStored.mRecord.mNonce != aCall->mNonce) {
      ++mContext.mCounters.mDeduplicatedRequests;
    }
    aCall->mExists = true;
    if (aStored.mRecord.IsTerminal()) {
      CompleteWithRecord(aCall, aStored.mRecord);
      return;
    }
    Wait(aCall, aStored.mRecord.mDataCentre);
  }

  // --- Waiting -----------------------------------------------------------

  void Wait(const CallPtr& aCall, const base::DataCentreId& aDataCentre)
  {
    platform::RequestNotice notice{ aDataCentre, aCall->mId, aCall->mCancel };
    mCallbacks.mNotify(notice);
    base::Duration remaining = aCall->mDeadline - mContext.Now();
    if (remaining <= base::Duration{}) {
      CompleteWithState(aCall, RequestState::ePending, "not completed yet");
      return;
    }
    mCallbacks.mAwait(
      notice,
      std::min(remaining, kMaxOwnerWait),
      [this,
       aCall](const base::Expected<platform::RequestProgress>& aProgress) {
        OnProgress(aCall, aProgress);
      });
  }

  void OnProgress(const CallPtr& aCall,
                  const base::Expected<platform::RequestProgress>& aProgress)
  {
    if (aProgress && aProgress->mTerminal) {
      auto record = ledger::Decode(aProgress->mRecord);
      if (record && record->mRequest == aCall->mId) {
        CompleteWithRecord(aCall, *record);
        return;
      }
    }
    RetryOrFail(aCall,
                aProgress ? "the request is still in progress"
                          : aProgress.error().ToString());
  }

  void CompleteWithRecord(const CallPtr& aCall, const ledger::Record& aRecord)
  {
    if (!aRecord.mAnswerInStore) {
      Complete(aCall, AnswerFromRecord(aRecord));
      return;
    }
    mContext.mPorts.GetObject(
      aRecord.mAnswerSha256,
      [this, aCall, aRecord](const base::Expected<std::string>& aObject) {
        if (!aObject || base::Sha256Hex(*aObject) != aRecord.mAnswerSha256) {
          RetryOrFail(aCall, "the answer cannot be read from the store");
          return;
        }
        ledger::Record completeRecord = aRecord;
        completeRecord.mAnswer = *aObject;
        Complete(aCall, AnswerFromRecord(completeRecord));
      });
  }

  Context<P>& mContext;
  RecordStore<P>& mStore;
  Callbacks mCallbacks;
  std::size_t mInProgress = 0;
};

} // namespace flamingoloom::control
