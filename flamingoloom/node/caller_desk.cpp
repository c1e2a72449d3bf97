#include "flamingoloom/node/caller_desk.h"

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

CallerAnswer Answer(CallerVerdict aVerdict)
{
  CallerAnswer answer;
  answer.mVerdict = aVerdict;
  return answer;
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

CallerDesk::CallerDesk(Ports aPorts, CallerDeskTiming aTiming)
  : mPorts(aPorts)
  , mTiming(aTiming)
{
}

void CallerDesk::SetConfiguration(const Configuration& aConfiguration)
{
  if (!mConfiguration || aConfiguration.mVersion > mConfiguration->mVersion) {
    mConfiguration = aConfiguration;
  }
}

CallerAnswer CallerDesk::NotNow() const
{
  CallerAnswer answer = Answer(CallerVerdict::eNotNow);
  answer.mRetryAfter = mTiming.mRetryAfter;
  return answer;
}

std::optional<CallerDesk::Place> CallerDesk::Find(const CallerTarget& aTarget,
                                                  const Then& aThen)
{
  if (!mConfiguration) {
    aThen(NotNow());
    return std::nullopt;
  }
  Place place;
  place.mQueue = mConfiguration->FindQueue(aTarget.mHost, aTarget.mPath);
  if (place.mQueue == nullptr) {
    aThen(Answer(CallerVerdict::eNoSuchQueue));
    return std::nullopt;
  }
  const Account* account = mConfiguration->FindAccount(aTarget.mKey);
  if (account != nullptr) {
    place.mAccount = account->mId;
  } else if (!place.mQueue->mPublic) {
    aThen(Answer(CallerVerdict::eUnknownKey));
    return std::nullopt;
  }
  place.mJob = aTarget.mPath.substr(place.mQueue->mPathPrefix.size());
  return place;
}

bool CallerDesk::MayRetry(Time aUntil, int aTry, bool aUnknown) const
{
  const auto left = aUntil - mPorts.mLoop->Now();
  // What may have been done has to be found out; what was refused is not worth
  // keeping the caller waiting.
  return left > mTiming.mLeastTry && (aUnknown || aTry < mTiming.mQuickTries);
}

base::Duration CallerDesk::TryTime(Time aUntil) const
{
  return std::clamp<base::Duration>(
    aUntil - mPorts.mLoop->Now(), mTiming.mLeastTry, mTiming.mTryTimeout);
}

void CallerDesk::Submit(
  const CallerTarget& aTarget,
  const std::function<base::Expected<jobs::JobSpec>()>& aRead,
  Then aThen)
{
  const auto place = Find(aTarget, aThen);
  if (!place) {
    return;
  }
  if (!IsJobId(place->mJob)) {
    aThen(Answer(CallerVerdict::eNoSuchQueue));
    return;
  }
  auto job = aRead();
  if (!job) {
    mPorts.mLog->Write(
      "job_malformed",
      { { "job", place->mJob }, { "error", job.error().ToString() } });
    aThen(Answer(CallerVerdict::eMalformed));
    return;
  }
  if (!mStoreReachable || !mStoreBreaker.Allows(mPorts.mLoop->Now())) {
    mPorts.mLog->Write(
      "job_refused",
      { { "job", place->mJob },
        { "reason", mStoreReachable ? "store_slow" : "store_away" } });
    aThen(NotNow());
    return;
  }
  job->mId = place->mJob;
  job->mAccount = place->mAccount;
  job->mRules = place->mQueue->mRules;
  job->mAcceptedMs = mPorts.mLoop->UnixMs();
  const Time until = mPorts.mLoop->Now() + aTarget.mPatience;
  Store(std::move(*job), until, 1, false, std::move(aThen));
}

void CallerDesk::Store(jobs::JobSpec aJob,
                       Time aUntil,
                       int aTry,
                       bool aUnknown,
                       Then aThen)
{
  Transaction transaction;
  // A cancel may have overtaken the job.
  transaction.mConditions = {
    { jobs::kJobTable, jobs::CancelKey(aJob.mId), 0 }
  };
  transaction.mChanges = {
    { jobs::kJobTable, aJob.mId, jobs::EncodeJob(aJob), 0 },
    { jobs::kStateTable,
      aJob.mId,
      jobs::EncodeState({ jobs::JobState::eQueued, aJob.mAccount, 0 }),
      0 },
    { jobs::kPendingTable,
      jobs::PendingKey(aJob.mRules.mQueue, aJob.mId),
      "",
      std::nullopt }
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
      const auto done = [&](CallerVerdict aVerdict, const char* aHow) {
        mPorts.mLog->Write(
          "job_submitted",
          { { "job", job.mId },
            { "account", job.mAccount.Value() },
            { "queue", job.mRules.mQueue },
            { "outcome", aHow },
            { "tries", std::to_string(aTry) },
            { "config", std::to_string(mConfiguration->mVersion) } });
        then(aVerdict == CallerVerdict::eNotNow ? NotNow() : Answer(aVerdict));
      };
      if (aResult && aResult->mApplied) {
        done(CallerVerdict::eAccepted, "accepted");
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
        done(stored ? CallerVerdict::eAccepted : CallerVerdict::eNotNow,
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
      done(unknown ? CallerVerdict::eUnknown : CallerVerdict::eNotNow,
           unknown ? "unknown" : "store_refused");
    });
}

void CallerDesk::ReadState(
  const std::string& aJob,
  Time aUntil,
  int aTry,
  std::function<void(std::optional<jobs::StateRecord>)> aFound,
  Then aThen)
{
  mPorts.mStore->Read(
    jobs::kStateTable,
    aJob,
    aJob + '\0',
    mTiming.mTryTimeout,
    [this,
     aJob,
     aUntil,
     aTry,
     found = std::move(aFound),
     then = std::move(aThen)](base::Expected<Rows> aRows) {
      if (!aRows) {
        if (MayRetry(aUntil, aTry, false)) {
          mPorts.mLoop->After(mTiming.mQuickRetry,
                              [this, aJob, aUntil, aTry, found, then] {
                                ReadState(aJob, aUntil, aTry + 1, found, then);
                              });
          return;
        }
        mPorts.mLog->Write(
          "state_unreadable",
          { { "job", aJob }, { "error", aRows.error().ToString() } });
        then(NotNow());
        return;
      }
      if (aRows->mRows.empty()) {
        found(std::nullopt);
        return;
      }
      const auto state =
        jobs::DecodeState(aRows->mRows.front().mValue.value_or(""));
      if (!state) {
        mPorts.mLog->Write(
          "row_unreadable",
          { { "key", aJob }, { "error", state.error().ToString() } });
        then(NotNow());
        return;
      }
      found(*state);
    });
}

void CallerDesk::Query(const CallerTarget& aTarget, Then aThen)
{
  const auto place = Find(aTarget, aThen);
  if (!place) {
    return;
  }
  if (!mStoreReachable) {
    aThen(NotNow());
    return;
  }
  if (place->mJob.empty()) {
    CountPending(place->mQueue->mRules.mQueue, "", 0, std::move(aThen));
    return;
  }
  const auto account = place->mAccount;
  const Time until = mPorts.mLoop->Now() + aTarget.mPatience;
  ReadState(
    place->mJob,
    until,
    1,
    [aThen, account](std::optional<jobs::StateRecord> aState) {
      if (!aState || aState->mAccount != account) {
        aThen(Answer(CallerVerdict::eNoSuchJob));
        return;
      }
      CallerAnswer answer = Answer(CallerVerdict::eFound);
      answer.mState = aState->mState;
      aThen(answer);
    },
    aThen);
}

void CallerDesk::CountPending(const std::string& aQueue,
                              const std::string& aFrom,
                              std::int64_t aSoFar,
                              Then aThen)
{
  const auto first = jobs::PendingKey(aQueue, "");
  auto last = first;
  ++last.back();
  mPorts.mStore->Read(
    jobs::kPendingTable,
    aFrom.empty() ? first : aFrom,
    last,
    mTiming.mTryTimeout,
    [this, aQueue, aSoFar, then = std::move(aThen)](
      base::Expected<Rows> aRows) {
      if (!aRows) {
        then(NotNow());
        return;
      }
      const auto count =
        aSoFar + static_cast<std::int64_t>(aRows->mRows.size());
      if (aRows->mMore && !aRows->mRows.empty()) {
        CountPending(aQueue, aRows->mRows.back().mKey + '\0', count, then);
        return;
      }
      CallerAnswer answer = Answer(CallerVerdict::eFound);
      answer.mPendingJobs = count;
      then(answer);
    });
}

void CallerDesk::Cancel(const CallerTarget& aTarget, Then aThen)
{
  const auto place = Find(aTarget, aThen);
  if (!place) {
    return;
  }
  if (!IsJobId(place->mJob)) {
    aThen(Answer(CallerVerdict::eNoSuchJob));
    return;
  }
  if (!mStoreReachable) {
    aThen(NotNow());
    return;
  }
  const auto job = place->mJob;
  const auto account = place->mAccount;
  const Time until = mPorts.mLoop->Now() + aTarget.mPatience;
  ReadState(
    job,
    until,
    1,
    [this, job, account, until, aThen](
      std::optional<jobs::StateRecord> aState) {
      if (aState && aState->mAccount != account) {
        aThen(Answer(CallerVerdict::eNoSuchJob));
        return;
      }
      const bool known = aState.has_value();
      // Marked also if it is not known: it may still be on its way.
      MarkCancelled(job, until, 1, [known, aThen](CallerAnswer aAnswer) {
        if (aAnswer.mVerdict == CallerVerdict::eCancelled && !known) {
          aAnswer.mVerdict = CallerVerdict::eNoSuchJob;
        }
        aThen(aAnswer);
      });
    },
    aThen);
}

void CallerDesk::MarkCancelled(const std::string& aJob,
                               Time aUntil,
                               int aTry,
                               Then aThen)
{
  Transaction transaction;
  transaction.mChanges = {
    { jobs::kJobTable, jobs::CancelKey(aJob), "", std::nullopt }
  };
  mPorts.mStore->Commit(
    transaction,
    TryTime(aUntil),
    [this, aJob, aUntil, aTry, then = std::move(aThen)](
      base::Expected<CommitResult> aResult) {
      if (aResult && aResult->mApplied) {
        mPorts.mLog->Write("cancel_stored", { { "job", aJob } });
        then(Answer(CallerVerdict::eCancelled));
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
      then(NotNow());
    });
}

} // namespace flamingoloom::node
