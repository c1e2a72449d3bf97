#include "flamingoloom/node/job_api.h"

#include <algorithm>

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

bool StoreBreaker::Allows(Time aNow)
{
  if (!mOpen) {
    return true;
  }
  if (aNow < mNextTrial) {
    return false;
  }
  mNextTrial = aNow + kTrialEvery;
  return true;
}

void StoreBreaker::Note(Time aNow, Time aSentAt, bool aAnswered)
{
  mOpen = !aAnswered || aNow - aSentAt > kSlow;
  if (mOpen) {
    mNextTrial = std::max(mNextTrial, aNow + kTrialEvery);
  }
}

JobApi::JobApi(Ports aPorts, JobApiTiming aTiming)
  : mPorts(aPorts)
  , mTiming(aTiming)
{
}

void JobApi::SetConfiguration(const Configuration& aConfiguration)
{
  if (!mConfiguration || aConfiguration.mVersion > mConfiguration->mVersion) {
    mConfiguration = aConfiguration;
  }
}

CallerResponse JobApi::RetryLater() const
{
  CallerResponse response = MakeResponse(CallerStatus::eRetryLater);
  response.mRetryAfter = mTiming.mRetryAfter;
  return response;
}

std::optional<JobApi::Place> JobApi::Find(const CallerTarget& aTarget,
                                          const Then& aThen)
{
  if (!mConfiguration) {
    aThen(RetryLater());
    return std::nullopt;
  }
  Place place;
  place.mQueue = mConfiguration->FindQueue(aTarget.mHost, aTarget.mPath);
  if (place.mQueue == nullptr) {
    aThen(MakeResponse(CallerStatus::eNoSuchQueue));
    return std::nullopt;
  }
  const Account* account = mConfiguration->FindAccount(aTarget.mKey);
  if (account != nullptr) {
    place.mAccount = account->mId;
  } else if (!place.mQueue->mPublic) {
    aThen(MakeResponse(CallerStatus::eUnknownKey));
    return std::nullopt;
  }
  place.mJob = aTarget.mPath.substr(place.mQueue->mPathPrefix.size());
  return place;
}

bool JobApi::MayRetry(Time aUntil, int aTry, bool aUnknown) const
{
  const auto left = aUntil - mPorts.mLoop->Now();
  // What may have been done has to be found out; what was refused is not worth
  // keeping the caller waiting.
  return left > mTiming.mLeastTry && (aUnknown || aTry < mTiming.mQuickTries);
}

base::Duration JobApi::TryTime(Time aUntil) const
{
  return std::clamp<base::Duration>(
    aUntil - mPorts.mLoop->Now(), mTiming.mLeastTry, mTiming.mTryTimeout);
}

void JobApi::Submit(const CallerTarget& aTarget,
                    const std::function<base::Expected<jobs::JobSpec>()>& aRead,
                    Then aThen)
{
  const auto place = Find(aTarget, aThen);
  if (!place) {
    return;
  }
  if (!IsJobId(place->mJob)) {
    aThen(MakeResponse(CallerStatus::eNoSuchQueue));
    return;
  }
  auto job = aRead();
  if (!job) {
    mPorts.mLog->Write(
      "job_malformed",
      { { "job", place->mJob }, { "error", job.error().ToString() } });
    aThen(MakeResponse(CallerStatus::eMalformed));
    return;
  }
  if (!mStoreReachable || !mStoreBreaker.Allows(mPorts.mLoop->Now())) {
    mPorts.mLog->Write(
      "job_refused",
      { { "job", place->mJob },
        { "reason", mStoreReachable ? "store_slow" : "store_away" } });
    aThen(RetryLater());
    return;
  }
  job->mId = place->mJob;
  job->mAccount = place->mAccount;
  job->mRules = place->mQueue->mRules;
  job->mAcceptedMs = mPorts.mLoop->UnixMs();
  const Time until = mPorts.mLoop->Now() + aTarget.mCallerTimeout;
  Store(std::move(*job), until, 1, false, std::move(aThen));
}

void JobApi::Store(jobs::JobSpec aJob,
                   Time aUntil,
                   int aTry,
                   bool aUnknown,
                   Then aThen)
{
  const Transaction transaction{
    jobs::PartitionOfJob(aJob.mId),
    // A cancel may have overtaken the job.
    { { jobs::kJobTable, jobs::CancelKey(aJob.mId), 0 } },
    { { jobs::kJobTable, aJob.mId, jobs::EncodeJob(aJob), 0 } }
  };
  const Time sentAt = mPorts.mLoop->Now();
  mPorts.mStore->Commit(
    transaction,
    TryTime(aUntil),
    [this,
     sentAt,
     job = std::move(aJob),
     aUntil,
     aTry,
     aUnknown,
     then = std::move(aThen)](base::Expected<CommitResult> aResult) {
      mStoreBreaker.Note(mPorts.mLoop->Now(), sentAt, aResult.has_value());
      const auto done = [&](CallerStatus aStatus, const char* aHow) {
        mPorts.mLog->Write(
          "job_submitted",
          { { "job", job.mId },
            { "account", job.mAccount.Value() },
            { "queue", job.mRules.mQueue },
            { "outcome", aHow },
            { "tries", std::to_string(aTry) },
            { "config", std::to_string(mConfiguration->mVersion) } });
        then(aStatus == CallerStatus::eRetryLater ? RetryLater()
                                                  : MakeResponse(aStatus));
      };
      if (aResult && aResult->mApplied) {
        done(CallerStatus::eAccepted, "accepted");
        return;
      }
      if (aResult) {
        bool stored = false;
        for (const auto& current : aResult->mCurrent) {
          stored = stored ||
                   (current.mTable == jobs::kJobTable &&
                    current.mRow.mKey == job.mId && current.mRow.mVersion > 0);
        }
        // Stored by an earlier try of the caller or of ours, or cancelled
        // before it came.
        done(stored ? CallerStatus::eAccepted : CallerStatus::eRetryLater,
             stored ? "already_stored" : "cancelled_before");
        return;
      }
      const bool unknown =
        aUnknown || aResult.error().mCode == ErrorCode::eOutcomeUnknown;
      if (MayRetry(aUntil, aTry, unknown)) {
        mPorts.mLoop->After(mTiming.mQuickRetry,
                            [this, job, aUntil, aTry, unknown, then] {
                              Store(job, aUntil, aTry + 1, unknown, then);
                            });
        return;
      }
      done(unknown ? CallerStatus::eUnknown : CallerStatus::eRetryLater,
           unknown ? "unknown" : "store_refused");
    });
}

void JobApi::ReadRow(
  const char* aTable,
  const std::string& aPartition,
  const std::string& aKey,
  Time aUntil,
  int aTry,
  std::function<void(const std::optional<std::string>&)> aFound,
  Then aThen)
{
  mPorts.mStore->Read(
    aTable,
    aPartition,
    aKey,
    aKey + '\0',
    mTiming.mTryTimeout,
    [this,
     aTable,
     aPartition,
     aKey,
     aUntil,
     aTry,
     found = std::move(aFound),
     then = std::move(aThen)](base::Expected<Rows> aRows) {
      if (aRows) {
        found(aRows->mRows.empty() ? std::nullopt
                                   : aRows->mRows.front().mValue);
        return;
      }
      if (MayRetry(aUntil, aTry, false)) {
        mPorts.mLoop->After(
          mTiming.mQuickRetry,
          [this, aTable, aPartition, aKey, aUntil, aTry, found, then] {
            ReadRow(aTable, aPartition, aKey, aUntil, aTry + 1, found, then);
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
  Then aThen)
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

void JobApi::Query(const CallerTarget& aTarget, Then aThen)
{
  const auto place = Find(aTarget, aThen);
  if (!place) {
    return;
  }
  if (!mStoreReachable) {
    aThen(RetryLater());
    return;
  }
  if (place->mJob.empty()) {
    aThen(Length(place->mQueue->mRules.mQueue));
    return;
  }
  const auto account = place->mAccount;
  const Time until = mPorts.mLoop->Now() + aTarget.mCallerTimeout;
  ReadState(
    place->mJob,
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
  mLengths = std::move(aLengths);
  mLengthsAt = aNow;
}

CallerResponse JobApi::Length(const std::string& aQueue) const
{
  if (!mLengthsAt || mPorts.mLoop->Now() - *mLengthsAt > mTiming.mLengthsHold) {
    return RetryLater();
  }
  CallerResponse response = MakeResponse(CallerStatus::eFound);
  const auto length = mLengths.find(aQueue);
  response.mPendingJobs = length == mLengths.end() ? 0 : length->second;
  return response;
}

void JobApi::Cancel(const CallerTarget& aTarget, Then aThen)
{
  const auto place = Find(aTarget, aThen);
  if (!place) {
    return;
  }
  if (!IsJobId(place->mJob)) {
    aThen(MakeResponse(CallerStatus::eNoSuchJob));
    return;
  }
  if (!mStoreReachable) {
    aThen(RetryLater());
    return;
  }
  const auto job = place->mJob;
  const auto account = place->mAccount;
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
      const bool known = aState.has_value();
      // Marked also if it is not known: it may still be on its way.
      MarkCancelled(job, until, 1, [known, aThen](CallerResponse aResponse) {
        if (aResponse.mCallerStatus == CallerStatus::eCancelled && !known) {
          aResponse.mCallerStatus = CallerStatus::eNoSuchJob;
        }
        aThen(aResponse);
      });
    },
    aThen);
}

void JobApi::MarkCancelled(const std::string& aJob,
                           Time aUntil,
                           int aTry,
                           Then aThen)
{
  const Transaction transaction{
    jobs::PartitionOfJob(aJob),
    {},
    { { jobs::kJobTable, jobs::CancelKey(aJob), "", std::nullopt } }
  };
  mPorts.mStore->Commit(
    transaction,
    TryTime(aUntil),
    [this, aJob, aUntil, aTry, then = std::move(aThen)](
      base::Expected<CommitResult> aResult) {
      if (aResult && aResult->mApplied) {
        mPorts.mLog->Write("cancel_stored", { { "job", aJob } });
        then(MakeResponse(CallerStatus::eCancelled));
        return;
      }
      // Writing the mark again does no harm.
      if (MayRetry(aUntil, aTry, false)) {
        mPorts.mLoop->After(mTiming.mQuickRetry,
                            [this, aJob, aUntil, aTry, then] {
                              MarkCancelled(aJob, aUntil, aTry + 1, then);
                            });
        return;
      }
      then(RetryLater());
    });
}

} // namespace flamingoloom::node
