// Leader election among the instances: a lease in the store, with an epoch that
// rises with each change of holder.
//
// The lease consists of two rows in jobs::kSchedulerPartition: kEpochKey
// changes only when the holder changes, so that the leader can make its writes
// conditional on it; kRenewalKey changes with each renewal. Election is the
// state machine of one instance:
//
//   election.Observe(now, rows, storeNowMs);  // changes of kLeaderTable
//   if (election.ClaimAt() <= now) {          // commit election.Claim()
//
// The holder counts its lease from before it sent the renewal; the other
// instances count from when they observed it. A renewal also names the expiry
// of the lease by the store's clock, so that instances that have just started
// need not wait for a lease that expired long ago. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/node/ports.h"

namespace flamingoloom::node {

inline constexpr const char* kLeaderTable = "lead";
inline constexpr const char* kEpochKey = "epoch";
inline constexpr const char* kRenewalKey = "renewal";
// Monotonic clocks of machines and of the store may differ by this factor in
// rate.
inline constexpr double kClockSlack = 1.02;
// The holder writes this row with its renewals; see jobs::QueueLengths.
inline constexpr const char* kQueueLengthsKey = "queues";
// The holder writes this row with a renewal when it has changed; see
// admission::MemoryUse.
inline constexpr const char* kJobMemoryKey = "memory";

struct ElectionTiming
{
  // Other instances may claim leadership if they observe no renewal for this
  // long. Two renewals fit into this time, and one while the store is slow and
  // a renewal takes 0.7 s.
  base::Duration mLease = std::chrono::milliseconds(1500);
  base::Duration mRenewInterval = std::chrono::milliseconds(500);
  // Delay before a renewal that failed or timed out is sent again.
  base::Duration mRenewRetryDelay = std::chrono::milliseconds(150);
  // Upper bound of a random delay of claims, so that few claims of equal
  // machines collide.
  base::Duration mClaimJitter = std::chrono::milliseconds(60);
};

// Delay of an instance's claims, so that machines with more processor capacity
// and a faster link claim first: scheduling needs both. aCores is in cores,
// aLinkMbps in Mbit/s.
base::Duration ClaimDelay(double aCores, double aLinkMbps);

class Election
{
public:
  // aSelf must differ between two incarnations of an instance. aClaimDelay
  // delays the claims of this instance; see ClaimDelay.
  Election(base::InstanceId aSelf,
           ElectionTiming aTiming,
           base::Duration aClaimDelay);

  // Applies changed rows of kLeaderTable, observed at aNow in a response that
  // the store sent at aStoreNowMs by its clock.
  void Observe(base::Time aNow,
               const std::vector<Row>& aRows,
               std::int64_t aStoreNowMs);

  // When this instance may claim leadership if nothing changes until then;
  // nullopt while it is the leader and before the first call of Observe.
  std::optional<base::Time> ClaimAt() const;
  Transaction Claim() const;
  // The renewal to send at aSentAt. It fails if another renewal was applied
  // before it, so that a delayed renewal cannot name an earlier expiry of the
  // lease.
  Transaction Renewal(base::Time aSentAt) const;
  // Releases the lease, so that other instances need not wait for its expiry.
  Transaction Release() const;

  // Handles the result of a claim that was sent at aSentAt.
  void OnClaimed(base::Time aSentAt, const CommitResult& aResult);
  // Handles the result of a renewal that was sent at aSentAt. Returns false if
  // leadership is lost. If the renewal was not applied although this instance
  // is still the leader, it has to be sent again.
  bool OnRenewed(base::Time aSentAt, const CommitResult& aResult);
  void OnLost() { mLeading = false; }

  bool IsLeading() const { return mLeading; }
  std::int64_t Epoch() const { return mEpoch; }
  // The condition that makes a write fail once the epoch has changed.
  RowCondition EpochCondition() const;
  // Returns what the store's clock shows at aTime at the latest; nullopt while
  // that clock is not known.
  std::optional<std::int64_t> StoreMsAtLatest(base::Time aTime) const;
  // Expiry of the lease that this instance holds, by its own clock.
  base::Time ValidUntil() const { return mValidUntil; }
  const base::InstanceId& Holder() const { return mHolder; }

private:
  void RecordStoreClock(base::Time aSentAt, const CommitResult& aResult);

  const base::InstanceId mSelf;
  const ElectionTiming mTiming;
  const base::Duration mClaimDelay;
  bool mLeading = false;
  std::int64_t mEpoch = 0;
  std::int64_t mEpochVersion = 0;
  std::int64_t mRenewalVersion = 0;
  base::InstanceId mHolder;
  base::Time mChangedAt;
  // Time from mChangedAt until the holder's lease has certainly expired.
  base::Duration mLeaseRemaining;
  bool mObserved = false;
  // The store's clock in its last response to this instance, and when that call
  // was sent, which was before the clock was read.
  std::int64_t mStoreMs = 0;
  base::Time mStoreMsSentAt;
  base::Time mValidUntil;
};

} // namespace flamingoloom::node
