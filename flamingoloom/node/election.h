// Which instance schedules: a lease in the store, with an epoch that rises
// with each change of holder.
//
// Two rows in jobs::kSchedulerPartition: kEpochKey changes only when the holder
// changes, so that a scheduler's writes can be made conditional on it;
// kRenewalKey changes with each renewal. Election is a state machine of one
// instance:
//
//   election.Observe(now, rows, storeNowMs);  // changes of kLeaderTable
//   if (election.ClaimAt() <= now) {          // commit election.Claim()
//
// The holder counts its lease from before it sent the renewal; others count
// from when they saw it. A renewal also names the end of the lease on the
// store's clock, so that instances that have just started need not wait for a
// lease that ended long ago. Not thread-safe.
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
// Written by the holder with its renewals; see jobs::QueueLengths.
inline constexpr const char* kQueueLengthsKey = "queues";

struct ElectionTiming
{
  // Without a renewal for this long, others may claim. Two renewals fit in,
  // and one while the store is slow, when a renewal takes 0.7 s.
  base::Duration mLease = std::chrono::milliseconds(1500);
  base::Duration mRenewInterval = std::chrono::milliseconds(500);
  // A renewal that was not answered is tried again after this.
  base::Duration mRenewRetryDelay = std::chrono::milliseconds(150);
  // Equal machines claim at random times within this, so that few claims
  // collide.
  base::Duration mClaimJitter = std::chrono::milliseconds(60);
};

// How long an instance holds back with a claim, so that machines with more
// processor and a faster link come first: scheduling needs both.
base::Duration ClaimDelay(double aCores, double aLinkMbps);

class Election
{
public:
  // aSelf must differ between two lives of a process. aClaimDelay puts this
  // instance into the order of claims.
  Election(base::InstanceId aSelf,
           ElectionTiming aTiming,
           base::Duration aClaimDelay);

  // Changed rows of kLeaderTable, seen at aNow in an answer that the store gave
  // at aStoreNowMs on its clock.
  void Observe(base::Time aNow,
               const std::vector<Row>& aRows,
               std::int64_t aStoreNowMs);

  // When this instance may claim the lead, if nothing changes; none while it
  // holds it.
  std::optional<base::Time> ClaimAt() const;
  Transaction Claim() const;
  // A renewal that is sent at aSentAt. It fails once another one was carried
  // out, so that a late one cannot name an earlier end of the lease.
  Transaction Renewal(base::Time aSentAt) const;
  // Gives the lead up, so that others need not wait for the lease to end.
  Transaction Release() const;

  // The outcome of a claim that was sent at aSentAt.
  void OnClaimed(base::Time aSentAt, const CommitResult& aResult);
  // The outcome of a renewal. False: the lead is lost. A renewal that was not
  // applied although the lead is still held is to be sent again.
  bool OnRenewed(base::Time aSentAt, const CommitResult& aResult);
  void OnLost() { mLeading = false; }

  bool IsLeading() const { return mLeading; }
  std::int64_t Epoch() const { return mEpoch; }
  // Condition under which this epoch may write.
  RowCondition EpochCondition() const;
  // End of the lease that this instance holds.
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
  // From mChangedAt until the holder's lease has certainly ended.
  base::Duration mLeaseRemaining;
  bool mObserved = false;
  // An answer of the store to this instance: its clock, and when the call that
  // it answers was sent, which was earlier.
  std::int64_t mStoreMs = 0;
  base::Time mStoreMsSentAt;
  base::Time mValidUntil;
};

} // namespace flamingoloom::node
