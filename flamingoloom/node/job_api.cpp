#include "flamingoloom/node/job_api.h"

#include <algorithm>
#include <string_view>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

using base::ErrorCode;
using base::Time;

namespace {

bool IsJobId(const std::string& aText)
{
  constexpr std::size_t kLength = 16;
  return aText.size() == kLength &&
         aText.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

CallerResponse MakeResponse(CallerStatus aStatus)
{
  CallerResponse response;
  response.mCallerStatus = aStatus;
  return response;
}

} // namespace

bool StoreCircuitBreaker::Allows(Time aNow)
{
  if (!mOpen) {
    return true;
  }
  if (aNow < mNextProbe) {
    return false;
  }
  mNextProbe = aNow + kProbeInterval;
  return true;
}

void StoreCircuitBreaker::RecordCall(Time aNow, Time aSentAt, bool aResponded)
{
  mOpen = !aResponded || aNow - aSentAt > kSlowThreshold;
  if (mOpen) {
    mNextProbe = std::max(mNextProbe, aNow + kProbeInterval);
  }
}

JobApi::JobApi(Ports aPorts, JobApiSettings aSettings)
  : mPorts(aPorts)
  , mSettings(aSettings)
  , mAdmission(aSettings.mAdmission)
  , mReadRates(aSettings.mCallRateWindow)
  , mWriteRates(aSettings.mCallRateWindow)
{
}

void JobApi::SetConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  if (!mConfiguration || aConfiguration->mVersion > mConfiguration->mVersion) {
    mConfiguration = std::move(aConfiguration);
    mAdmission.SetAccounts(mConfiguration->mAccounts.size());
    // Requests without an account share a rate.
    mReadRates.SetRate({}, mSettings.mReadsPerSecond);
    mWriteRates.SetRate({}, mSettings.mWritesPerSecond);
    for (const auto& account : mConfiguration->mAccounts) {
      mReadRates.SetRate(account.mId, mSettings.mReadsPerSecond);
      mWriteRates.SetRate(account.mId, mSettings.mWritesPerSecond);
    }
  }
}

CallerResponse JobApi::RetryLater() const
{
  CallerResponse response = MakeResponse(CallerStatus::eRetryLater);
  response.mRetryAfter = mSettings.mRetryAfter;
  return response;
}

CallerResponse JobApi::NoRoom() const
{
  CallerResponse response = MakeResponse(CallerStatus::eNoRoom);
  response.mRetryAfter = mSettings.mNoRoomRetryAfter;
  return response;
}

bool JobApi::MayCallStore(scheduler::AccountRates& aRates,
                          const base::AccountId& aAccount) const
{
  return !aRates.IsBeyond(
    aAccount, base::ToMilliseconds(mPorts.mLoop->Now().time_since_epoch()));
}

std::optional<JobApi::ResolvedTarget> JobApi::Resolve(
  const CallerTarget& aTarget,
  const Callback& aThen)
{
  if (!mConfiguration || mPorts.mLoop->Now() >= mConfigurationValidUntil) {
    mPorts.mLog->Write(
      "request_refused",
      { { "path", aTarget.mPath },
        { "reason", mConfiguration ? "config_unconfirmed" : "no_config" } });
    aThen(RetryLater());
    return std::nullopt;
  }
  ResolvedTarget resolved;
  resolved.mQueue = mConfiguration->FindQueue(aTarget.mHost, aTarget.mPath);
  if (resolved.mQueue == nullptr) {
    aThen(MakeResponse(CallerStatus::eNoSuchQueue));
    return std::nullopt;
  }
  const Account* account = mConfiguration->FindAccount(aTarget.mKey);
  if (account != nullptr) {
    resolved.mAccount = account->mId;
    resolved.mMaximum = account->mTerms.mMaximum;
  } else if (!resolved.mQueue->mPublic) {
    aThen(MakeResponse(CallerStatus::eUnknownKey));
    return std::nullopt;
  }
  resolved.mJob = aTarget.mPath.substr(resolved.mQueue->mPathPrefix.size());
  return resolved;
}

bool JobApi::MayRetry(Time aUntil, int aCallAttempt, bool aUnknown) const
{
  const auto left = aUntil - mPorts.mLoop->Now();
  // A call with an unknown outcome is retried until the outcome is known; after
  // rejected calls, further retries are not worth keeping the caller waiting.
  return left > mSettings.mMinCallTimeout &&
         (aUnknown || aCallAttempt < mSettings.mMaxRejectedCalls);
}

base::Duration JobApi::CallTimeout(Time aUntil) const
{
  return std::clamp<base::Duration>(aUntil - mPorts.mLoop->Now(),
                                    mSettings.mMinCallTimeout,
                                    mSettings.mCallTimeout);
}

void JobApi::Submit(
  const CallerTarget& aTarget,
  const std::function<base::Expected<jobs::JobSpec>()>& aReadJob,
  Callback aThen)
{
  const auto resolved = Resolve(aTarget, aThen);
  if (!resolved) {
    return;
  }
  if (!IsJobId(resolved->mJob)) {
    aThen(MakeResponse(CallerStatus::eNoSuchQueue));
    return;
  }
  auto job = aReadJob();
  if (!job) {
    mPorts.mLog->Write(
      "job_malformed",
      { { "job", resolved->mJob }, { "error", job.error().ToString() } });
    aThen(MakeResponse(CallerStatus::eMalformed));
    return;
  }
  for (const auto& step : job->mSteps) {
    if (scheduler::MayEverRun(
          step, resolved->mMaximum, mSettings.mLimitTolerance)) {
      continue;
    }
    mPorts.mLog->Write("job_refused",
                       { { "job", resolved->mJob },
                         { "account", resolved->mAccount.Value() },
                         { "reason", "over_maximum" },
                         { "tasks", std::to_string(step.mTaskCount) } });
    auto response = MakeResponse(CallerStatus::eOverMaximum);
    response.mRetryAfter = mSettings.mOverMaximumRetryAfter;
    aThen(response);
    return;
  }
  job->mId = resolved->mJob;
  job->mAccount = resolved->mAccount;
  job->mRules = resolved->mQueue->mRules;
  job->mAcceptedMs = mPorts.mLoop->UnixMs();
  auto value = jobs::EncodeJob(*job);
  if (value.size() > jobs::kMaxValueBytes) {
    mPorts.mLog->Write("job_refused",
                       { { "job", resolved->mJob },
                         { "account", resolved->mAccount.Value() },
                         { "reason", "too_large" },
                         { "bytes", std::to_string(value.size()) } });
    aThen(MakeResponse(CallerStatus::eTooLarge));
    return;
  }
  const auto refuse = [this, &resolved, &aThen](const char* aReason) {
    mPorts.mLog->Write("job_refused",
                       { { "job", resolved->mJob }, { "reason", aReason } });
    aThen(RetryLater());
  };
  if (!mStoreReachable) {
    refuse("store_away");
    return;
  }
  const Time until = mPorts.mLoop->Now() + aTarget.mCallerTimeout;
  if (!MayCallStore(mWriteRates, resolved->mAccount)) {
    mPorts.mLog->Write("job_refused",
                       { { "job", resolved->mJob },
                         { "account", resolved->mAccount.Value() },
                         { "reason", "store_rate" } });
    // An earlier request may have stored the job, which is not looked up.
    aThen(MakeResponse(CallerStatus::eUnknown));
    return;
  }
  const auto admitted = mAdmission.TryAdmit(
    mPorts.mLoop->Now(),
    admission::ClassOf(job->mAccount, job->mRules.mPriority),
    admission::JobMemory(*job));
  if (!admitted) {
    RefuseForMemory(*resolved, admitted.error(), until, aThen);
    return;
  }
  // Comes last: a request that is refused otherwise must not use up the probe
  // that shows whether the store is well again.
  if (!mStoreBreaker.Allows(mPorts.mLoop->Now())) {
    mAdmission.Withdraw(*admitted);
    refuse("store_slow");
    return;
  }
  StoreJob(std::make_shared<const Submission>(
             Submission{ resolved->mJob,
                         resolved->mAccount,
                         resolved->mQueue->mRules.mQueue,
                         std::move(value),
                         *admitted,
                         until,
                         std::move(aThen) }),
           1,
           false);
}

void JobApi::RefuseForMemory(const ResolvedTarget& aResolved,
                             admission::Refusal aRefusal,
                             Time aUntil,
                             const Callback& aThen)
{
  const bool tooLarge = aRefusal == admission::Refusal::eTooLarge;
  mPorts.mLog->Write("job_refused",
                     { { "job", aResolved.mJob },
                       { "account", aResolved.mAccount.Value() },
                       { "reason", tooLarge ? "too_large" : "no_memory" } });
  if (tooLarge) {
    aThen(MakeResponse(CallerStatus::eTooLarge));
    return;
  }
  const Time now = mPorts.mLoop->Now();
  auto& nextCheck = mNextRefusalCheck[aResolved.mAccount];
  if (now < nextCheck) {
    aThen(MakeResponse(CallerStatus::eUnknown));
    return;
  }
  nextCheck = now + mSettings.mRefusalCheckInterval;
  ReadRow(
    jobs::kJobTable,
    jobs::PartitionOfJob(aResolved.mJob),
    aResolved.mJob,
    aUntil,
    1,
    [this, aThen](const std::optional<std::string>& aValue) {
      aThen(aValue ? MakeResponse(CallerStatus::eAccepted) : NoRoom());
    },
    [aThen](const CallerResponse&) {
      aThen(MakeResponse(CallerStatus::eUnknown));
    });
}

void JobApi::StoreJob(const SubmissionPtr& aSubmission,
                      int aCallAttempt,
                      bool aUnknown)
{
  const auto& id = aSubmission->mJob;
  const Transaction transaction{
    jobs::PartitionOfJob(id),
    // A cancellation may have been stored before the job.
    { { jobs::kJobTable, jobs::CancelKey(id), 0 } },
    { { jobs::kJobTable, id, aSubmission->mValue, 0 } }
  };
  const Time sentAt = mPorts.mLoop->Now();
  mPorts.mStore->Commit(
    transaction,
    CallTimeout(aSubmission->mUntil),
    [this, sentAt, submission = aSubmission, aCallAttempt, aUnknown](
      base::Expected<CommitResult> aResult) {
      mStoreBreaker.RecordCall(
        mPorts.mLoop->Now(), sentAt, aResult.has_value());
      if (aResult && aResult->mApplied) {
        RespondToSubmit(
          *submission, aCallAttempt, CallerStatus::eAccepted, "accepted");
        return;
      }
      if (aResult) {
        bool stored = false;
        for (const auto& current : aResult->mCurrent) {
          stored = stored || (current.mTable == jobs::kJobTable &&
                              current.mRow.mKey == submission->mJob &&
                              current.mRow.mVersion > 0);
        }
        // Stored by an earlier call of the caller or of this instance, or
        // cancelled before it arrived.
        RespondToSubmit(*submission,
                        aCallAttempt,
                        stored ? CallerStatus::eAccepted
                               : CallerStatus::eRetryLater,
                        stored ? "already_stored" : "cancelled_before");
        return;
      }
      const bool unknown =
        aUnknown || aResult.error().mCode == ErrorCode::eOutcomeUnknown;
      if (!MayRetry(submission->mUntil, aCallAttempt, unknown)) {
        GiveUpSubmit(*submission, aCallAttempt, unknown);
        return;
      }
      mPorts.mLoop->After(
        mSettings.mRetryDelay, [this, submission, aCallAttempt, unknown] {
          // The process may have stood still meanwhile.
          if (MayRetry(submission->mUntil, aCallAttempt, unknown)) {
            StoreJob(submission, aCallAttempt + 1, unknown);
          } else {
            GiveUpSubmit(*submission, aCallAttempt, unknown);
          }
        });
    });
}

void JobApi::GiveUpSubmit(const Submission& aSubmission,
                          int aCallAttempt,
                          bool aUnknown)
{
  RespondToSubmit(aSubmission,
                  aCallAttempt,
                  aUnknown ? CallerStatus::eUnknown : CallerStatus::eRetryLater,
                  aUnknown ? "unknown" : "store_refused");
}

void JobApi::RespondToSubmit(const Submission& aSubmission,
                             int aCallAttempt,
                             CallerStatus aStatus,
                             const char* aOutcome)
{
  // What was stored by an earlier request was counted with that.
  if (aStatus == CallerStatus::eRetryLater ||
      std::string_view(aOutcome) == "already_stored") {
    mAdmission.Withdraw(aSubmission.mTicket);
  }
  mPorts.mLog->Write(
    "job_submitted",
    { { "job", aSubmission.mJob },
      { "account", aSubmission.mAccount.Value() },
      { "queue", aSubmission.mQueue },
      { "outcome", aOutcome },
      { "tries", std::to_string(aCallAttempt) },
      { "config", std::to_string(mConfiguration->mVersion) } });
  aSubmission.mThen(aStatus == CallerStatus::eRetryLater
                      ? RetryLater()
                      : MakeResponse(aStatus));
}

void JobApi::ReadRow(
  const char* aTable,
  const std::string& aPartition,
  const std::string& aKey,
  Time aUntil,
  int aCallAttempt,
  std::function<void(const std::optional<std::string>&)> aFound,
  Callback aThen)
{
  mPorts.mStore->Read(
    aTable,
    aPartition,
    aKey,
    aKey + '\0',
    mSettings.mCallTimeout,
    [this,
     aTable,
     aPartition,
     aKey,
     aUntil,
     aCallAttempt,
     found = std::move(aFound),
     then = std::move(aThen)](base::Expected<Rows> aRows) {
      if (aRows) {
        found(aRows->mRows.empty() ? std::nullopt
                                   : aRows->mRows.front().mValue);
        return;
      }
      if (MayRetry(aUntil, aCallAttempt, false)) {
        mPorts.mLoop->After(
          mSettings.mRetryDelay,
          [this, aTable, aPartition, aKey, aUntil, aCallAttempt, found, then] {
            ReadRow(
              aTable, aPartition, aKey, aUntil, aCallAttempt + 1, found, then);
          });
        return;
      }
      mPorts.mLog->Write(
        "state_unreadable",
        { { "job", aKey }, { "error", aRows.error().ToString() } });
      then(RetryLater());
    });
}

void JobApi::ReadState(
  const std::string& aJob,
  Time aUntil,
  std::function<void(std::optional<jobs::StateRecord>)> aFound,
  Callback aThen)
{
  const auto unreadable = [this, aJob, aThen](const base::Error& aError) {
    mPorts.mLog->Write("row_unreadable",
                       { { "key", aJob }, { "error", aError.ToString() } });
    aThen(RetryLater());
  };
  const auto onJob = [found = aFound, unreadable, aJob](
                       const std::optional<std::string>& aValue) {
    if (!aValue) {
      found(std::nullopt);
      return;
    }
    const auto job = jobs::DecodeJob(aJob, *aValue);
    if (!job) {
      unreadable(job.error());
      return;
    }
    found(jobs::StateRecord{ jobs::JobState::eQueued, job->mAccount, 0 });
  };
  const auto onState =
    [this, found = aFound, unreadable, aJob, aUntil, onJob, aThen](
      const std::optional<std::string>& aValue) {
      if (!aValue) {
        ReadRow(jobs::kJobTable,
                jobs::PartitionOfJob(aJob),
                aJob,
                aUntil,
                1,
                onJob,
                aThen);
        return;
      }
      const auto state = jobs::DecodeState(*aValue);
      if (!state) {
        unreadable(state.error());
        return;
      }
      found(*state);
    };
  ReadRow(jobs::kStateTable,
          jobs::kSchedulerPartition,
          aJob,
          aUntil,
          1,
          onState,
          aThen);
}

void JobApi::Query(const CallerTarget& aTarget, Callback aThen)
{
  const auto resolved = Resolve(aTarget, aThen);
  if (!resolved) {
    return;
  }
  if (!mStoreReachable) {
    aThen(RetryLater());
    return;
  }
  if (resolved->mJob.empty()) {
    aThen(QueueLengthResponse(resolved->mQueue->mRules.mQueue));
    return;
  }
  const auto account = resolved->mAccount;
  if (!MayCallStore(mReadRates, account)) {
    mPorts.mLog->Write(
      "request_refused",
      { { "path", aTarget.mPath }, { "reason", "store_rate" } });
    aThen(RetryLater());
    return;
  }
  const Time until = mPorts.mLoop->Now() + aTarget.mCallerTimeout;
  ReadState(
    resolved->mJob,
    until,
    [aThen, account](std::optional<jobs::StateRecord> aState) {
      if (!aState || aState->mAccount != account) {
        aThen(MakeResponse(CallerStatus::eNoSuchJob));
        return;
      }
      CallerResponse response = MakeResponse(CallerStatus::eFound);
      response.mState = aState->mState;
      aThen(response);
    },
    aThen);
}

void JobApi::SetQueueLengths(Time aNow, jobs::QueueLengths aLengths)
{
  mQueueLengths = std::move(aLengths);
  mQueueLengthsReceivedAt = aNow;
}

CallerResponse JobApi::QueueLengthResponse(const std::string& aQueue) const
{
  if (!mQueueLengthsReceivedAt ||
      mPorts.mLoop->Now() - *mQueueLengthsReceivedAt >
        mSettings.mQueueLengthsValidity) {
    return RetryLater();
  }
  CallerResponse response = MakeResponse(CallerStatus::eFound);
  const auto length = mQueueLengths.find(aQueue);
  response.mPendingJobs = length == mQueueLengths.end() ? 0 : length->second;
  return response;
}

void JobApi::Cancel(const CallerTarget& aTarget, Callback aThen)
{
  const auto resolved = Resolve(aTarget, aThen);
  if (!resolved) {
    return;
  }
  if (!IsJobId(resolved->mJob)) {
    aThen(MakeResponse(CallerStatus::eNoSuchJob));
    return;
  }
  if (!mStoreReachable) {
    aThen(RetryLater());
    return;
  }
  const auto job = resolved->mJob;
  const auto account = resolved->mAccount;
  if (!MayCallStore(mWriteRates, account)) {
    mPorts.mLog->Write("cancel_refused",
                       { { "job", job },
                         { "account", account.Value() },
                         { "reason", "store_rate" } });
    aThen(RetryLater());
    return;
  }
  const Time until = mPorts.mLoop->Now() + aTarget.mCallerTimeout;
  ReadState(
    job,
    until,
    [this, job, account, until, aThen](
      std::optional<jobs::StateRecord> aState) {
      if (aState && aState->mAccount != account) {
        aThen(MakeResponse(CallerStatus::eNoSuchJob));
        return;
      }
      if (aState) {
        MarkCancelled(job, account, until, 1, false, aThen);
        return;
      }
      // Unknown jobs are marked too: their submission may still be in flight.
      const auto admitted =
        mAdmission.TryAdmit(mPorts.mLoop->Now(),
                            admission::MemoryClass{ account, false },
                            admission::kCancellationMemory);
      if (!admitted) {
        mPorts.mLog->Write("cancel_refused",
                           { { "job", job },
                             { "account", account.Value() },
                             { "reason", "no_memory" } });
        aThen(NoRoom());
        return;
      }
      MarkCancelled(
        job,
        account,
        until,
        1,
        false,
        [this, ticket = *admitted, aThen](CallerResponse aResponse) {
          if (aResponse.mCallerStatus == CallerStatus::eCancelled) {
            aResponse.mCallerStatus = CallerStatus::eNoSuchJob;
          } else if (aResponse.mCallerStatus == CallerStatus::eRetryLater) {
            mAdmission.Withdraw(ticket);
          }
          aThen(aResponse);
        });
    },
    aThen);
}

void JobApi::MarkCancelled(const std::string& aJob,
                           const base::AccountId& aAccount,
                           Time aUntil,
                           int aCallAttempt,
                           bool aUnknown,
                           Callback aThen)
{
  const Transaction transaction{ jobs::PartitionOfJob(aJob),
                                 {},
                                 { { jobs::kJobTable,
                                     jobs::CancelKey(aJob),
                                     aAccount.Value(),
                                     std::nullopt } } };
  mPorts.mStore->Commit(
    transaction,
    CallTimeout(aUntil),
    [this,
     aJob,
     aAccount,
     aUntil,
     aCallAttempt,
     aUnknown,
     then = std::move(aThen)](base::Expected<CommitResult> aResult) {
      if (aResult && aResult->mApplied) {
        mPorts.mLog->Write("cancel_stored", { { "job", aJob } });
        then(MakeResponse(CallerStatus::eCancelled));
        return;
      }
      const bool unknown =
        aUnknown ||
        (!aResult && aResult.error().mCode == ErrorCode::eOutcomeUnknown);
      // Writing the cancellation marker again has no further effect.
      if (MayRetry(aUntil, aCallAttempt, false)) {
        mPorts.mLoop->After(
          mSettings.mRetryDelay,
          [this, aJob, aAccount, aUntil, aCallAttempt, unknown, then] {
            MarkCancelled(
              aJob, aAccount, aUntil, aCallAttempt + 1, unknown, then);
          });
        return;
      }
      then(unknown ? MakeResponse(CallerStatus::eUnknown) : RetryLater());
    });
}

} // namespace flamingoloom::node
