// Answers callers: accepts jobs, tells their state, cancels them.
//
// Every instance does this, whether it schedules or not, and only through the
// store: a job is accepted once its rows are stored, and its state is read
// from the store. Not thread-safe.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "flamingoloom/jobs/records.h"
#include "flamingoloom/node/configuration.h"
#include "flamingoloom/node/ports.h"

namespace flamingoloom::node {

enum class CallerStatus
{
  eAccepted,
  // The job's state, or the queue's length, is in the answer.
  eFound,
  eCancelled,
  eNoSuchQueue,
  eNoSuchJob,
  eUnknownKey,
  eMalformed,
  // Certainly not accepted; the caller may come back later.
  eRetryLater,
  // It may have been accepted; asking again with the same id tells.
  eUnknown,
};

struct CallerResponse
{
  CallerStatus mCallerStatus = CallerStatus::eRetryLater;
  jobs::JobState mState = jobs::JobState::eQueued;
  std::int64_t mPendingJobs = 0;
  // For eRetryLater.
  base::Duration mRetryAfter{ 0 };
};

struct CallerTarget
{
  std::string mHost;
  std::string mPath;
  std::string mKey;
  // Until the caller stops waiting.
  base::Duration mCallerTimeout = std::chrono::seconds(3);
};

struct JobApiTiming
{
  // One try at the store. Its answer takes 4 ms, 44 ms from another region,
  // and several hundred while it is slow; a connection that went silent costs
  // one try.
  base::Duration mCallTimeout = std::chrono::milliseconds(1400);
  // A try with less time than this is not begun.
  base::Duration mMinCallTimeout = std::chrono::milliseconds(150);
  // Refusals of the store that are worth another try at once.
  int mMaxRejectedCalls = 2;
  base::Duration mRetryDelay = std::chrono::milliseconds(40);
  // What a refused caller is told to wait. Outages of the store last seconds.
  base::Duration mRetryAfter = std::chrono::seconds(1);
  // A queue's length is told for this long after it was heard of; the
  // scheduling instance renews it every 500 ms, and the platform allows 2 s.
  base::Duration mQueueLengthsValidity = std::chrono::milliseconds(1500);
};

// A circuit breaker in front of the store's writes: while they fail or are
// slow, callers are refused at once, but for a trial now and then. That spares
// callers the wait and the store the load.
class StoreCircuitBreaker
{
public:
  // Whether a write may be begun; counts as a trial while the breaker is open.
  bool Allows(base::Time aNow);
  void RecordCall(base::Time aNow, base::Time aSentAt, bool aResponded);

private:
  // A write takes 4 ms, 44 ms from another region. Beyond this the caller's
  // deadline of some seconds is at stake once a few are waiting.
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

  JobApi(Ports aPorts, JobApiTiming aTiming);

  // Older versions than the one in force are ignored.
  void SetConfiguration(const Configuration& aConfiguration);
  // Whether the store has lately answered; if not, callers are refused at
  // once instead of being kept waiting.
  void SetStoreReachable(bool aReachable) { mStoreReachable = aReachable; }
  // Heard of at aNow.
  void SetQueueLengths(base::Time aNow, jobs::QueueLengths aLengths);

  // aRead reads the job from the request's body; it is called only if the
  // queue and the key are good.
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
    // What follows the queue's prefix; empty for the queue itself.
    std::string mJob;
  };

  std::optional<ResolvedTarget> Resolve(const CallerTarget& aTarget,
                                        const Callback& aThen);
  void StoreJob(jobs::JobSpec aJob,
                base::Time aUntil,
                int aCallAttempt,
                bool aUnknown,
                Callback aThen);
  void MarkCancelled(const std::string& aJob,
                     base::Time aUntil,
                     int aCallAttempt,
                     Callback aThen);
  // The state of a job, or none if there is no such job.
  void ReadState(const std::string& aJob,
                 base::Time aUntil,
                 std::function<void(std::optional<jobs::StateRecord>)> aFound,
                 Callback aThen);
  // Reads one row, again if the store refuses; aFound gets its value, if any.
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

  const Ports mPorts;
  const JobApiTiming mTiming;
  std::optional<Configuration> mConfiguration;
  bool mStoreReachable = false;
  StoreCircuitBreaker mStoreBreaker;
  jobs::QueueLengths mQueueLengths;
  std::optional<base::Time> mQueueLengthsReceivedAt;
};

} // namespace flamingoloom::node
