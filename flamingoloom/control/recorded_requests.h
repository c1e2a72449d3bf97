// The entry instance's part of recorded requests: creates the record, tells
// the data centre's owner and waits with the caller. Not thread-safe.
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
  // How other parts of the instance are reached.
  struct Links
  {
    // A data centre that may take the request, if there is one.
    std::function<std::optional<base::DataCentreId>(const CallerRequest&)>
      mChooseDataCentre;
    // Tells the owner about a request.
    std::function<void(const platform::RequestNotice&)> mNotify;
    // Asks the owner for a terminal record, for at most the given time.
    std::function<void(const platform::RequestNotice&,
                       base::Duration,
                       platform::Done<platform::RequestProgress>)>
      mAwait;
  };

  RecordedRequests(Context<P>& aContext, RecordStore<P>& aStore, Links aLinks)
    : mContext(aContext)
    , mStore(aStore)
    , mLinks(std::move(aLinks))
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
    auto call = MakeCall(aRequest, kCancelWait, std::move(aDone));
    call->mCancel = true;
    Find(call);
  }

  std::size_t InProgress() const { return mInProgress; }

private:
  struct Call
  {
    base::RequestId mId;
    // Only for calls that create the record.
    std::optional<CallerRequest> mRequest;
    std::string mBodySha256;
    std::string mNonce;
    base::Time mUntil{};
    AnswerDone mDone;
    bool mCancel = false;
    // The record is known to exist.
    bool mExists = false;
    // A creation was sent, so the record may exist.
    bool mMayExist = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  static constexpr base::Duration kRetryAfter = std::chrono::milliseconds(200);
  static constexpr base::Duration kOwnerWait = std::chrono::seconds(5);
  static constexpr base::Duration kCancelWait = std::chrono::seconds(5);

  CallPtr MakeCall(const base::RequestId& aId,
                   base::Duration aWait,
                   AnswerDone aDone)
  {
    auto call = std::make_shared<Call>();
    call->mId = aId;
    call->mUntil = mContext.Now() + aWait;
    call->mDone = std::move(aDone);
    ++mInProgress;
    return call;
  }

  void End(const CallPtr& aCall, base::Expected<CallerAnswer> aAnswer)
  {
    --mInProgress;
    aCall->mDone(std::move(aAnswer));
  }

  void EndWith(const CallPtr& aCall, RequestState aState, std::string aReason)
  {
    CallerAnswer answer;
    answer.mState = aState;
    answer.mRan = Ran::eUnknown;
    answer.mRequest = aCall->mId;
    answer.mReason = std::move(aReason);
    End(aCall, std::move(answer));
  }

  bool IsTimeUp(const CallPtr& aCall)
  {
    return mContext.Now() >= aCall->mUntil;
  }

  // --- Creating ----------------------------------------------------------

  void Create(const CallPtr& aCall)
  {
    auto dataCentre = mLinks.mChooseDataCentre(*aCall->mRequest);
    if (!dataCentre) {
      RetryOrGive(aCall, "no data centre takes work now");
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
                      RetryOrGive(aCall, aStored.error().ToString());
                    }
                  });
  }

  // Looks again after a pause, until the caller's time is up.
  void RetryOrGive(const CallPtr& aCall, const std::string& aReason)
  {
    if (!IsTimeUp(aCall)) {
      mContext.mPorts.After(kRetryAfter, [this, aCall] { Find(aCall); });
      return;
    }
    if (aCall->mExists) {
      EndWith(aCall, RequestState::ePending, "not ended yet: " + aReason);
      return;
    }
    // Another instance may have accepted the same key, so "not run" would be a
    // guess.
    EndWith(
      aCall, RequestState::eUnknown, "ask again with the same key: " + aReason);
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
      RetryOrGive(aCall, aFound.error().ToString());
    } else if (!*aFound) {
      OnAbsent(aCall);
    } else if (aCall->mRequest &&
               (*aFound)->mRecord.mBodySha256 != aCall->mBodySha256) {
      End(aCall,
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
    if (aCall->mRequest && !IsTimeUp(aCall)) {
      Create(aCall);
    } else if (aCall->mRequest) {
      RetryOrGive(aCall, "the record could not be written in time");
    } else {
      End(aCall,
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
      EndWithRecord(aCall, aStored.mRecord);
      return;
    }
    Wait(aCall, aStored.mRecord.mDataCentre);
  }

  // --- Waiting -----------------------------------------------------------

  void Wait(const CallPtr& aCall, const base::DataCentreId& aDataCentre)
  {
    platform::RequestNotice notice{ aDataCentre, aCall->mId, aCall->mCancel };
    mLinks.mNotify(notice);
    base::Duration left = aCall->mUntil - mContext.Now();
    if (left <= base::Duration{}) {
      EndWith(aCall, RequestState::ePending, "not ended yet");
      return;
    }
    mLinks.mAwait(
      notice,
      std::min(left, kOwnerWait),
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
        EndWithRecord(aCall, *record);
        return;
      }
    }
    RetryOrGive(aCall,
                aProgress ? "the work goes on" : aProgress.error().ToString());
  }

  void EndWithRecord(const CallPtr& aCall, const ledger::Record& aRecord)
  {
    if (!aRecord.mAnswerInStore) {
      End(aCall, AnswerFromRecord(aRecord));
      return;
    }
    mContext.mPorts.GetObject(
      aRecord.mAnswerSha256,
      [this, aCall, aRecord](const base::Expected<std::string>& aObject) {
        if (!aObject || base::Sha256Hex(*aObject) != aRecord.mAnswerSha256) {
          RetryOrGive(aCall, "the answer cannot be read from the store");
          return;
        }
        ledger::Record whole = aRecord;
        whole.mAnswer = *aObject;
        End(aCall, AnswerFromRecord(whole));
      });
  }

  Context<P>& mContext;
  RecordStore<P>& mStore;
  Links mLinks;
  std::size_t mInProgress = 0;
};

} // namespace flamingoloom::control
