// The lease that gives one instance the exclusive right to start work in a data
// centre.
//
// Lease is the state machine of one instance for one data centre. It does no
// I/O: the caller passes in the rows that it has read and the outcomes of its
// writes, and performs the writes that the lease returns:
//
//   lease.Observe(now, leaseRow, dataCentreRow);
//   if (auto write = lease.NextWrite(now, rank, nonce)) {
//     // commit write->mTransaction, then
//     lease.OnOutcome(*write, sentAt, result);
//   }
//
// Four rules prevent two instances from starting work at the same time:
// - The holder measures the duration of its lease from before it sent the
//   write. Other instances measure it from when they first read the row, and
//   add a margin.
// - A renewal checks the version of the data centre's row, so a holder that has
//   not read that the data centre is out of service cannot renew.
// - Each change of the holder and each change of the data centre's row raises
//   the epoch.
// - Each start of work carries the epoch as fencing token, and backend servers
//   reject a token lower than one that they have acknowledged.
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/ownership/records.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::ownership {

struct LeaseTiming
{
  base::Duration mDuration = std::chrono::seconds(4);
  base::Duration mRenewEvery = std::chrono::seconds(1);
  // Other instances add this to the duration, since clocks do not run at
  // exactly the same rate.
  base::Duration mMargin = std::chrono::milliseconds(500);
  // An instance of rank r waits r times this delay before it takes over.
  base::Duration mRankDelay = std::chrono::milliseconds(500);

  friend bool operator==(const LeaseTiming&, const LeaseTiming&) = default;
};

// Whether this instance may take over the data centre, and in which order among
// the eligible instances.
struct TakeoverRank
{
  bool mEligible = false;
  // 0 for the instance that should take over first.
  int mRank = 0;

  friend bool operator==(const TakeoverRank&, const TakeoverRank&) = default;
};

// A write of the lease row. The caller commits mTransaction; mRecord is the
// record that it stores.
struct LeaseWrite
{
  platform::Transaction mTransaction;
  LeaseRecord mRecord;

  friend bool operator==(const LeaseWrite&, const LeaseWrite&) = default;
};

class Lease
{
public:
  Lease(base::DataCentreId aDataCentre,
        base::InstanceId aSelf,
        std::string aPeerAddress,
        LeaseTiming aTiming);

  // Applies both rows as returned by one read; aNow is when the response
  // arrived.
  void Observe(base::Time aNow,
               const std::optional<platform::Row>& aLease,
               const std::optional<platform::Row>& aDataCentre);

  // Applies the data centre's row alone; an older one than the newest known is
  // ignored.
  void ObserveDataCentre(const std::optional<platform::Row>& aDataCentre);

  // Returns the write that is due now, if any. The caller must have no other
  // write of this lease in flight. aNonce must be unique to this call.
  std::optional<LeaseWrite> NextWrite(base::Time aNow,
                                      const TakeoverRank& aRank,
                                      const std::string& aNonce);

  // Releases the lease before it expires. From now on IsOwner() is false.
  // Returns the write to commit, or no value when this instance is not the
  // owner.
  std::optional<LeaseWrite> Release(const base::InstanceId& aSuccessor,
                                    const std::string& aNonce);

  // Applies the outcome of a write; aSentAt is a time before it was sent.
  void OnOutcome(const LeaseWrite& aWrite,
                 base::Time aSentAt,
                 const base::Expected<platform::TransactionResult>& aOutcome);

  // Returns whether the lease is held and has not expired; it expires at
  // HeldUntil().
  bool Holds(base::Time aNow) const;
  base::Time HeldUntil() const;
  // Returns whether this instance held the lease last and knows of no other
  // instance that has taken over since. The lease may have expired; then no
  // work may be started until it is renewed, but this instance still tracks the
  // work in progress.
  bool IsOwner() const { return mHeld.has_value(); }
  // Epoch of the held lease. Requires IsOwner().
  base::Epoch HeldEpoch() const;
  // Version of the data centre's row for which the held epoch was issued;
  // 0 when IsOwner() is false.
  std::uint64_t HeldDataCentreVersion() const;

  // Returns whether the lease is held, the data centre is in service, and the
  // held epoch was issued for the newest known row of the data centre.
  bool MayStartWork(base::Time aNow) const;

  // Returns whether the rows have to be read again before the next write.
  bool NeedsRead() const { return mNeedsRead; }

  // Newest known lease record; empty before the first read or when the row does
  // not exist.
  const std::optional<LeaseRecord>& Current() const { return mCurrent; }
  bool IsOutOfService() const { return mDataCentre.mOutOfService; }
  const DataCentreRecord& DataCentre() const { return mDataCentre; }
  std::uint64_t DataCentreVersion() const { return mDataCentreVersion; }
  const base::DataCentreId& DataCentreName() const { return mName; }

private:
  struct Held
  {
    LeaseRecord mRecord;
    std::uint64_t mRowVersion = 0;
    base::Time mUntil{};
  };

  // A write that is in flight or whose outcome is unknown.
  struct UnresolvedWrite
  {
    LeaseWrite mWrite;
    base::Time mSentAt{};
  };

  void SetHeldLease(const LeaseRecord& aRecord,
                    std::uint64_t aRowVersion,
                    base::Time aSentAt);
  void Reconcile(const platform::Row& aRow, const LeaseRecord& aRecord);
  std::optional<LeaseWrite> PrepareRenewal(base::Time aNow,
                                           const std::string& aNonce);
  std::optional<LeaseWrite> PrepareTakeover(base::Time aNow,
                                            const TakeoverRank& aRank,
                                            const std::string& aNonce);
  bool MayTakeOver(base::Time aNow, const TakeoverRank& aRank) const;
  LeaseWrite BeginWrite(LeaseRecord aRecord,
                        std::uint64_t aRowVersion,
                        const std::string& aNonce,
                        base::Time aNow);
  LeaseWrite MakeWrite(LeaseRecord aRecord,
                       std::uint64_t aRowVersion,
                       const std::string& aNonce) const;

  base::DataCentreId mName;
  base::InstanceId mSelf;
  std::string mPeerAddress;
  LeaseTiming mTiming;

  bool mHasRead = false;
  bool mNeedsRead = true;
  std::optional<LeaseRecord> mCurrent;
  std::uint64_t mCurrentVersion = 0;
  base::Time mCurrentObservedAt{};
  DataCentreRecord mDataCentre;
  std::uint64_t mDataCentreVersion = 0;

  std::optional<Held> mHeld;
  base::Time mLastWriteAt{};
  std::vector<UnresolvedWrite> mUnresolvedWrites;
};

} // namespace flamingoloom::ownership
