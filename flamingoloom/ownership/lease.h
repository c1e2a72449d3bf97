// The lease by which one instance owns the start of work in a data centre.
//
// Lease is a state machine of one instance for one data centre. It is fed with
// rows that were read and with the outcome of its writes, and says what to
// write next:
//
//   lease.Observe(now, leaseRow, dataCentreRow);
//   if (auto write = lease.NextWrite(now, rank, nonce)) {
//     // commit write->mTransaction, then
//     lease.OnOutcome(*write, sentAt, answer);
//   }
//
// Safety rests on four rules. The holder counts its lease from before it sent
// the write; everybody else counts from when they first read the row, plus a
// margin. A renewal checks the version of the data centre's row, so a holder
// that has not seen a take-out cannot renew. Each change of holder, and each
// change of the data centre's row, raises the epoch. Each start of work carries
// the epoch, which backend servers compare.
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
  // Added by others to the duration, for clocks that do not run at the same
  // rate.
  base::Duration mMargin = std::chrono::milliseconds(500);
  // An instance of rank r waits r times as long before it takes over.
  base::Duration mRankDelay = std::chrono::milliseconds(500);

  friend bool operator==(const LeaseTiming&, const LeaseTiming&) = default;
};

// Whether and how soon this instance may take the data centre over.
struct TakeoverRank
{
  bool mEligible = false;
  // 0 for the instance that should take over first.
  int mRank = 0;

  friend bool operator==(const TakeoverRank&, const TakeoverRank&) = default;
};

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

  // Takes both rows as read together; aNow is when the answer arrived.
  void Observe(base::Time aNow,
               const std::optional<platform::Row>& aLease,
               const std::optional<platform::Row>& aDataCentre);

  // The write that is due now, if any. No other write may be in flight.
  // aNonce must be unique to this call.
  std::optional<LeaseWrite> NextWrite(base::Time aNow,
                                      const TakeoverRank& aRank,
                                      const std::string& aNonce);

  // Gives the lease up ahead of its end. From now on IsOwner() is false. No
  // value when this instance is not the owner.
  std::optional<LeaseWrite> Release(const base::InstanceId& aSuccessor,
                                    const std::string& aNonce);

  // Takes the outcome of a write; aSentAt is the time before it was sent.
  void OnOutcome(const LeaseWrite& aWrite,
                 base::Time aSentAt,
                 const base::Expected<platform::TransactionResult>& aOutcome);

  // This instance owns the data centre until HeldUntil().
  bool Holds(base::Time aNow) const;
  base::Time HeldUntil() const;
  // Nobody is known to have taken over since this instance last held the
  // lease. It may have lapsed; then no work may be started until it is renewed,
  // but work in progress is still this instance's to follow.
  bool IsOwner() const { return mHeld.has_value(); }
  // Epoch of the held lease; call only while a lease is held.
  base::Epoch HeldEpoch() const;
  // Version of the data centre's row that the held epoch was made for.
  std::uint64_t HeldDataCentreVersion() const;

  // The lease is held, the data centre is in, and the held epoch was made for
  // the newest known row of the data centre.
  bool MayStartWork(base::Time aNow) const;

  // The rows have to be read again before the next write.
  bool NeedsRead() const { return mNeedsRead; }

  // Newest known records; empty before the first read or without a row.
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

  // A write that is on its way or whose outcome is not known.
  struct Uncertain
  {
    LeaseWrite mWrite;
    base::Time mSentAt{};
  };

  void Hold(const LeaseRecord& aRecord,
            std::uint64_t aRowVersion,
            base::Time aSentAt);
  void Reconcile(const platform::Row& aRow, const LeaseRecord& aRecord);
  std::optional<LeaseWrite> Renewal(base::Time aNow, const std::string& aNonce);
  std::optional<LeaseWrite> TakeOver(base::Time aNow,
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
  base::Time mCurrentSince{};
  DataCentreRecord mDataCentre;
  std::uint64_t mDataCentreVersion = 0;

  std::optional<Held> mHeld;
  base::Time mLastRenewal{};
  std::vector<Uncertain> mUncertain;
};

} // namespace flamingoloom::ownership
