// The API for callers: accepts jobs, reports their state, and cancels them.
//
// Every instance provides it, whether or not it is the leader, and only through
// the store: a job is accepted once its rows are stored, and its state is read
// from the store. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "flamingoloom/admission/job_admission.h"
#include "flamingoloom/jobs/records.h"
#include "flamingoloom/node/configuration.h"
#include "flamingoloom/node/ports.h"
#include "flamingoloom/scheduler/account_rates.h"

namespace flamingoloom::node {

enum class CallerStatus
{
  eAccepted,
  // The response holds the job's state or the queue's length.
  eFound,
  eCancelled,
  eNoSuchQueue,
  eNoSuchJob,
  eUnknownKey,
  eMalformed,
  // The job was not accepted: it does not fit into a row of the store, or into
  // the memory for jobs.
  eTooLarge,
  // The job was certainly not accepted, or not cancelled; the caller may retry
  // later.
  eRetryLater,
  // The job was not accepted: a gang in it is larger than what its account may
  // have running.
  eOverMaximum,
  // The job was not accepted, or not cancelled: the jobs of its account take as
  // much memory as they may.
  eNoRoom,
  // The job may have been accepted, or cancelled; a retry with the same id
  // shows whether it was.
  eUnknown,
};

struct CallerResponse
{
  CallerStatus mCallerStatus = CallerStatus::eRetryLater;
  jobs::JobState mState = jobs::JobState::eQueued;
  std::int64_t mPendingJobs = 0;
  // Set for eRetryLater, eOverMaximum and eNoRoom only.
  base::Duration mRetryAfter{ 0 };
};

struct CallerTarget
{
  std::string mHost;
  std::string mPath;
  std::string mKey;
  // How long the caller waits for a response.
  base::Duration mCallerTimeout = std::chrono::seconds(3);
};

struct JobApiSettings
{
  // Timeout of one call to the store. A response takes 4 ms, 44 ms from another
  // region, and several hundred milliseconds while the store is slow; a stalled
  // connection costs one timeout.
  base::Duration mCallTimeout = std::chrono::milliseconds(1400);
  // No retry is started with less time than this left, and no call has a
  // shorter timeout.
  base::Duration mMinCallTimeout = std::chrono::milliseconds(150);
  // Maximum number of calls for one request if the store rejects them.
  int mMaxRejectedCalls = 2;
  base::Duration mRetryDelay = std::chrono::milliseconds(40);
  // How long a rejected caller is asked to wait. Outages of the store last
  // seconds.
  base::Duration mRetryAfter = std::chrono::seconds(1);
  // A queue's length is reported for this long after it was received; the
  // leader updates it every 500 ms, and the platform allows an age of 2 s.
  base::Duration mQueueLengthsValidity = std::chrono::milliseconds(1500);
  // How long a caller is asked to wait whose job is larger than the account's
  // maximum. Only a new configuration can change that.
  base::Duration mOverMaximumRetryAfter = std::chrono::seconds(10);
  // Share by which a gang may exceed the maximum if nothing else of its account
  // runs.
  double mLimitTolerance = 0.0;
  admission::JobAdmissionSettings mAdmission;
  // How long a caller is asked to wait whose account's jobs take as much memory
  // as they may. Jobs take seconds to end.
  base::Duration mNoRoomRetryAfter = std::chrono::seconds(5);
  // Requests of one account in a second that read or write the store; 0 for no
  // limit. The store serves a number of calls for all instances; beyond it the
  // leader's are rejected too.
  double mReadsPerSecond = 0;
  double mWritesPerSecond = 0;
  // Time over which an account may spread these requests.
  base::Duration mCallRateWindow = std::chrono::seconds(2);
  // Interval between two reads for one account that show whether a job that is
  // refused for want of memory was stored by an earlier request. In between
  // the outcome is told as unknown, so that refusals cost few calls.
  base::Duration mRefusalCheckInterval = std::chrono::milliseconds(50);
};

// A circuit breaker for the store's writes: while they fail or are slow,
// callers are rejected at once, except for a half-open probe at intervals. That
// spares callers the wait and the store the load.
class StoreCircuitBreaker
{
public:
  // Whether a write may be started; while the breaker is open, a permitted
  // write counts as a probe.
  bool Allows(base::Time aNow);
  // Records a write that was sent at aSentAt; aResponded is false if it failed.
  void RecordCall(base::Time aNow, base::Time aSentAt, bool aResponded);

private:
  // A write takes 4 ms, 44 ms from another region. With longer writes, callers
  // may exceed their timeout of some seconds once a few writes are queued.
  static constexpr base::Duration kSlowThreshold =
    std::chrono::milliseconds(700);
  static constexpr base::Duration kProbeInterval =
    std::chrono::milliseconds(400);

  bool mOpen = false;
  base::Time mNextProbe;
};

class JobApi
{
public:
  using Callback = std::function<void(CallerResponse)>;

  JobApi(Ports aPorts, JobApiSettings aSettings);

  // Ignores versions that are not newer than the active one.
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration);
  // Until when the active configuration may be used. After that time callers
  // are asked to come back: a version that this instance has missed may have
  // added the queue or key that they use, or removed it.
  void SetConfigurationValidUntil(base::Time aUntil)
  {
    mConfigurationValidUntil = aUntil;
  }
  // Whether the store has responded recently; if not, callers are rejected at
  // once instead of being kept waiting.
  void SetStoreReachable(bool aReachable) { mStoreReachable = aReachable; }
  // aNow is when aLengths was received.
  void SetQueueLengths(base::Time aNow, jobs::QueueLengths aLengths);

  // The memory of all jobs as the leader has published it.
  void SetJobMemory(admission::MemoryUse aUse)
  {
    mAdmission.OnPublished(std::move(aUse));
  }
  // A leader has published at aNow what it has counted.
  void OnJobsCounted(base::Time aNow) { mAdmission.OnCounted(aNow); }

  // aReadJob decodes the job from the request's body; it is called only if the
  // queue and the key are valid.
  void Submit(const CallerTarget& aTarget,
              const std::function<base::Expected<jobs::JobSpec>()>& aReadJob,
              Callback aThen);
  void Query(const CallerTarget& aTarget, Callback aThen);
  void Cancel(const CallerTarget& aTarget, Callback aThen);

private:
  struct ResolvedTarget
  {
    const Queue* mQueue = nullptr;
    base::AccountId mAccount;
    jobs::Resources mMaximum;
    // The job's id, which follows the queue's prefix in the path; empty for the
    // queue itself.
    std::string mJob;
  };

  // Finds the queue and the account of a request. If there is none, responds
  // through aThen and returns nullopt.
  std::optional<ResolvedTarget> Resolve(const CallerTarget& aTarget,
                                        const Callback& aThen);
  // A job that is being stored.
  struct Submission
  {
    std::string mJob;
    base::AccountId mAccount;
    std::string mQueue;
    // The encoded job.
    std::string mValue;
    admission::JobAdmission::Ticket mTicket = 0;
    base::Time mUntil;
    Callback mThen;
  };
  using SubmissionPtr = std::shared_ptr<const Submission>;

  // Records a request of an account that calls the store. Returns whether it is
  // within the account's rate.
  bool MayCallStore(scheduler::AccountRates& aRates,
                    const base::AccountId& aAccount) const;
  static bool IsJobId(const std::string& aText);
  void LogRefusedJob(const ResolvedTarget& aTarget,
                     const char* aReason,
                     EventLog::Fields aFields = {}) const;
  // Stores the job, unless it is refused: for its size, the account's rate, the
  // memory of jobs, or a store that is away or slow.
  void Admit(const ResolvedTarget& aTarget,
             const jobs::JobSpec& aJob,
             base::Time aUntil,
             Callback aThen);
  // Responds to a submission that is refused for its memory.
  void RefuseForMemory(const ResolvedTarget& aTarget,
                       admission::Refusal aRefusal,
                       base::Time aUntil,
                       const Callback& aThen);
  // aUnknown is whether an earlier call may have stored the job.
  void StoreJob(const SubmissionPtr& aSubmission,
                int aCallAttempt,
                bool aUnknown);
  // Responds that the job was not stored, or may have been if aUnknown is set.
  void GiveUpSubmit(const Submission& aSubmission,
                    int aCallAttempt,
                    bool aUnknown);
  // Responds and logs aOutcome.
  void RespondToSubmit(const Submission& aSubmission,
                       int aCallAttempt,
                       CallerStatus aStatus,
                       const char* aOutcome);
  // aUnknown is whether an earlier call may have stored the marker. The leader
  // counts the markers of unknown jobs for aAccount.
  void MarkCancelled(const std::string& aJob,
                     const base::AccountId& aAccount,
                     base::Time aUntil,
                     int aCallAttempt,
                     bool aUnknown,
                     Callback aThen);
  // Passes the state of a job to aFound, or nullopt if there is no such job. If
  // it cannot be read, responds through aThen instead.
  void ReadState(const std::string& aJob,
                 base::Time aUntil,
                 std::function<void(std::optional<jobs::StateRecord>)> aFound,
                 Callback aThen);
  // Reads one row, with retries if the store rejects the call; aFound gets its
  // value, if any. If it cannot be read, responds through aThen instead.
  void ReadRow(const char* aTable,
               const std::string& aPartition,
               const std::string& aKey,
               base::Time aUntil,
               int aCallAttempt,
               std::function<void(const std::optional<std::string>&)> aFound,
               Callback aThen);
  CallerResponse QueueLengthResponse(const std::string& aQueue) const;
  bool MayRetry(base::Time aUntil, int aCallAttempt, bool aUnknown) const;
  base::Duration CallTimeout(base::Time aUntil) const;
  CallerResponse RetryLater() const;
  CallerResponse NoRoom() const;

  const Ports mPorts;
  const JobApiSettings mSettings;
  std::shared_ptr<const Configuration> mConfiguration;
  base::Time mConfigurationValidUntil;
  bool mStoreReachable = false;
  StoreCircuitBreaker mStoreBreaker;
  admission::JobAdmission mAdmission;
  scheduler::AccountRates mReadRates;
  scheduler::AccountRates mWriteRates;
  // When the next refusal of an account may be checked.
  std::map<base::AccountId, base::Time> mNextRefusalCheck;
  jobs::QueueLengths mQueueLengths;
  std::optional<base::Time> mQueueLengthsReceivedAt;
};

} // namespace flamingoloom::node
