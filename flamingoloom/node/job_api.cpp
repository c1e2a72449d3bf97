#include "flamingoloom/node/job_api.h"

#include <algorithm>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

using base::ErrorCode;
using base::Time;

namespace {

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

bool JobApi::IsJobId(const std::string& aText)
{
  constexpr std::size_t kLength = 16;
  return aText.size() == kLength &&
         aText.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
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
