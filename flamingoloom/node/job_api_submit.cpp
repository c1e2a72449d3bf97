// Submission of jobs: what is refused, and how the others are stored.
#include "flamingoloom/node/job_api.h"

#include <string_view>
#include <utility>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

using base::ErrorCode;
using base::Time;

void JobApi::LogRefusedJob(const ResolvedTarget& aTarget,
                           const char* aReason,
                           EventLog::Fields aFields) const
{
  EventLog::Fields fields{ { "job", aTarget.mJob },
                           { "account", aTarget.mAccount.Value() },
                           { "reason", aReason } };
  fields.insert(fields.end(), aFields.begin(), aFields.end());
  mPorts.mLog->Write("job_refused", fields);
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
    aThen({ CallerStatus::eNoSuchQueue });
    return;
  }
  auto job = aReadJob();
  if (!job) {
    mPorts.mLog->Write(
      "job_malformed",
      { { "job", resolved->mJob }, { "error", job.error().ToString() } });
    aThen({ CallerStatus::eMalformed });
    return;
  }
  for (const auto& step : job->mSteps) {
    if (scheduler::MayEverRun(
          step, resolved->mMaximum, mSettings.mLimitTolerance)) {
      continue;
    }
    LogRefusedJob(*resolved,
                  "over_maximum",
                  { { "tasks", std::to_string(step.mTaskCount) } });
    CallerResponse response{ CallerStatus::eOverMaximum };
    response.mRetryAfter = mSettings.mOverMaximumRetryAfter;
    aThen(response);
    return;
  }
  job->mId = resolved->mJob;
  job->mAccount = resolved->mAccount;
  job->mRules = resolved->mQueue->mRules;
  job->mAcceptedMs = mPorts.mLoop->UnixMs();
  Admit(*resolved,
        *job,
        mPorts.mLoop->Now() + aTarget.mCallerTimeout,
        std::move(aThen));
}

void JobApi::Admit(const ResolvedTarget& aTarget,
                   const jobs::JobSpec& aJob,
                   Time aUntil,
                   Callback aThen)
{
  auto value = jobs::EncodeJob(aJob);
  if (value.size() > jobs::kMaxValueBytes) {
    LogRefusedJob(
      aTarget, "too_large", { { "bytes", std::to_string(value.size()) } });
    aThen({ CallerStatus::eTooLarge });
    return;
  }
  if (!mStoreReachable) {
    LogRefusedJob(aTarget, "store_away");
    aThen(RetryLater());
    return;
  }
  const Time now = mPorts.mLoop->Now();
  if (!MayCallStore(mWriteRates, aJob.mAccount)) {
    LogRefusedJob(aTarget, "store_rate");
    // An earlier request may have stored the job, which is not looked up.
    aThen({ CallerStatus::eUnknown });
    return;
  }
  const auto admitted = mAdmission.TryAdmit(
    now,
    admission::ClassOf(aJob.mAccount, aJob.mRules.mPriority),
    admission::JobMemory(aJob));
  if (!admitted) {
    RefuseForMemory(aTarget, admitted.error(), aUntil, aThen);
    return;
  }
  // Comes last: a request that is refused otherwise must not use up the probe
  // that shows whether the store is well again.
  if (!mStoreBreaker.Allows(now)) {
    mAdmission.Withdraw(*admitted);
    LogRefusedJob(aTarget, "store_slow");
    aThen(RetryLater());
    return;
  }
  StoreJob(std::make_shared<const Submission>(Submission{ aJob.mId,
                                                          aJob.mAccount,
                                                          aJob.mRules.mQueue,
                                                          std::move(value),
                                                          *admitted,
                                                          aUntil,
                                                          std::move(aThen) }),
           1,
           false);
}

void JobApi::RefuseForMemory(const ResolvedTarget& aTarget,
                             admission::Refusal aRefusal,
                             Time aUntil,
                             const Callback& aThen)
{
  if (aRefusal == admission::Refusal::eTooLarge) {
    LogRefusedJob(aTarget, "too_large");
    aThen({ CallerStatus::eTooLarge });
    return;
  }
  LogRefusedJob(aTarget, "no_memory");
  const Time now = mPorts.mLoop->Now();
  auto& nextCheck = mNextRefusalCheck[aTarget.mAccount];
  if (now < nextCheck) {
    aThen({ CallerStatus::eUnknown });
    return;
  }
  nextCheck = now + mSettings.mRefusalCheckInterval;
  ReadRow(
    jobs::kJobTable,
    jobs::PartitionOfJob(aTarget.mJob),
    aTarget.mJob,
    aUntil,
    1,
    [this, aThen](const std::optional<std::string>& aValue) {
      aThen(aValue ? CallerResponse{ CallerStatus::eAccepted } : NoRoom());
    },
    [aThen](const CallerResponse&) { aThen({ CallerStatus::eUnknown }); });
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
                      : CallerResponse{ aStatus });
}

} // namespace flamingoloom::node
