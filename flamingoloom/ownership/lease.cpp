#include "flamingoloom/ownership/lease.h"

#include <algorithm>
#include <utility>

namespace flamingoloom::ownership {

Lease::Lease(base::DataCentreId aDataCentre,
             base::InstanceId aSelf,
             std::string aPeerAddress,
             LeaseTiming aTiming)
  : mName(std::move(aDataCentre))
  , mSelf(std::move(aSelf))
  , mPeerAddress(std::move(aPeerAddress))
  , mTiming(aTiming)
{
}

void Lease::Observe(base::Time aNow,
                    const std::optional<platform::Row>& aLease,
                    const std::optional<platform::Row>& aDataCentre)
{
  ObserveDataCentre(aDataCentre);
  std::uint64_t version = aLease ? aLease->mVersion : 0;
  // Responses may arrive out of order; versions only rise, so a lower version
  // is older.
  if (mHasRead && version < mCurrentVersion) {
    return;
  }
  if (!mHasRead || version != mCurrentVersion) {
    mCurrentObservedAt = aNow;
  }
  mHasRead = true;
  mNeedsRead = false;
  mCurrentVersion = version;
  mCurrent.reset();
  if (aLease) {
    LeaseRecord record = DecodeLease(aLease->mValue).value_or(LeaseRecord{});
    mCurrent = record;
    Reconcile(*aLease, record);
  }
}

void Lease::ObserveDataCentre(const std::optional<platform::Row>& aDataCentre)
{
  std::uint64_t dataCentreVersion = aDataCentre ? aDataCentre->mVersion : 0;
  if (dataCentreVersion >= mDataCentreVersion) {
    mDataCentreVersion = dataCentreVersion;
    mDataCentre = {};
    if (aDataCentre) {
      // A row that cannot be decoded counts as out of service, so that no work
      // is started.
      mDataCentre = DecodeDataCentre(aDataCentre->mValue)
                      .value_or(DataCentreRecord{ true, "unreadable row", "" });
    }
  }
}

void Lease::Reconcile(const platform::Row& aRow, const LeaseRecord& aRecord)
{
  if (mHeld && aRow.mVersion == mHeld->mRowVersion) {
    return;
  }
  auto own =
    std::find_if(mUnresolvedWrites.begin(),
                 mUnresolvedWrites.end(),
                 [&](const UnresolvedWrite& aUnresolved) {
                   return aUnresolved.mWrite.mRecord.mNonce == aRecord.mNonce;
                 });
  if (own != mUnresolvedWrites.end()) {
    SetHeldLease(aRecord, aRow.mVersion, own->mSentAt);
    return;
  }
  if (!mHeld || aRow.mVersion > mHeld->mRowVersion) {
    mHeld.reset();
    mUnresolvedWrites.clear();
  }
}

void Lease::SetHeldLease(const LeaseRecord& aRecord,
                         std::uint64_t aRowVersion,
                         base::Time aSentAt)
{
  mUnresolvedWrites.clear();
  mCurrent = aRecord;
  mCurrentVersion = aRowVersion;
  if (aRecord.mReleased) {
    mHeld.reset();
    return;
  }
  mHeld = Held{ aRecord, aRowVersion, aSentAt + mTiming.mDuration };
}

std::optional<LeaseWrite> Lease::NextWrite(base::Time aNow,
                                           const TakeoverRank& aRank,
                                           const std::string& aNonce)
{
  if (!mHasRead || mNeedsRead) {
    return std::nullopt;
  }
  // A lease that has expired is renewed too: the write fails if another
  // instance has taken over since.
  if (mHeld) {
    return PrepareRenewal(aNow, aNonce);
  }
  return PrepareTakeover(aNow, aRank, aNonce);
}

std::optional<LeaseWrite> Lease::PrepareRenewal(base::Time aNow,
                                                const std::string& aNonce)
{
  bool dataCentreChanged =
    mHeld->mRecord.mDataCentreVersion != mDataCentreVersion;
  if (!dataCentreChanged && aNow - mLastWriteAt < mTiming.mRenewEvery) {
    return std::nullopt;
  }
  mLastWriteAt = aNow;
  LeaseRecord record = mHeld->mRecord;
  if (dataCentreChanged) {
    record.mEpoch = record.mEpoch.Next();
    record.mDataCentreVersion = mDataCentreVersion;
  }
  return BeginWrite(std::move(record), mHeld->mRowVersion, aNonce, aNow);
}

std::optional<LeaseWrite> Lease::PrepareTakeover(base::Time aNow,
                                                 const TakeoverRank& aRank,
                                                 const std::string& aNonce)
{
  if (!MayTakeOver(aNow, aRank)) {
    return std::nullopt;
  }
  mLastWriteAt = aNow;
  LeaseRecord record;
  record.mOwner = mSelf;
  record.mPeerAddress = mPeerAddress;
  record.mEpoch = mCurrent ? mCurrent->mEpoch.Next() : base::Epoch(1);
  record.mDuration = mTiming.mDuration;
  record.mDataCentreVersion = mDataCentreVersion;
  return BeginWrite(std::move(record), mCurrentVersion, aNonce, aNow);
}

// Until the outcome of the write is known, a row with its nonce is recognised
// as written by this instance, since a read may return the row before the
// response to the write arrives.
LeaseWrite Lease::BeginWrite(LeaseRecord aRecord,
                             std::uint64_t aRowVersion,
                             const std::string& aNonce,
                             base::Time aNow)
{
  LeaseWrite write = MakeWrite(std::move(aRecord), aRowVersion, aNonce);
  mUnresolvedWrites.push_back({ write, aNow });
  return write;
}

bool Lease::MayTakeOver(base::Time aNow, const TakeoverRank& aRank) const
{
  if (!aRank.mEligible) {
    return false;
  }
  base::Duration wait = aRank.mRank * mTiming.mRankDelay;
  if (mCurrent) {
    if (!mCurrent->mReleased) {
      wait += mCurrent->mDuration + mTiming.mMargin;
    } else if (mCurrent->mSuccessor == mSelf) {
      wait = {};
    } else if (!mCurrent->mSuccessor.IsEmpty()) {
      wait += mTiming.mRankDelay;
    }
  }
  return aNow - mCurrentObservedAt >= wait;
}

LeaseWrite Lease::MakeWrite(LeaseRecord aRecord,
                            std::uint64_t aRowVersion,
                            const std::string& aNonce) const
{
  aRecord.mNonce = aNonce;
  platform::Transaction transaction;
  transaction.mWrites.push_back(
    { LeaseKey(mName), aRowVersion, Encode(aRecord) });
  transaction.mChecks.push_back(
    { DataCentreKey(mName), aRecord.mDataCentreVersion });
  return LeaseWrite{ std::move(transaction), std::move(aRecord) };
}

std::optional<LeaseWrite> Lease::Release(const base::InstanceId& aSuccessor,
                                         const std::string& aNonce)
{
  if (!mHeld) {
    return std::nullopt;
  }
  LeaseRecord record = mHeld->mRecord;
  record.mReleased = true;
  record.mSuccessor = aSuccessor;
  LeaseWrite write = MakeWrite(record, mHeld->mRowVersion, aNonce);
  // A release is safe with any version of the data centre's row.
  write.mTransaction.mChecks.clear();
  mHeld.reset();
  return write;
}

void Lease::OnOutcome(
  const LeaseWrite& aWrite,
  base::Time aSentAt,
  const base::Expected<platform::TransactionResult>& aOutcome)
{
  if (!aOutcome && aOutcome.error().mCode != base::ErrorCode::eUnavailable) {
    // The write stays unresolved until a read shows whether it took effect.
    mNeedsRead = true;
    return;
  }
  if (!aOutcome || !aOutcome->Committed()) {
    std::erase_if(mUnresolvedWrites, [&](const UnresolvedWrite& aUnresolved) {
      return aUnresolved.mWrite.mRecord.mNonce == aWrite.mRecord.mNonce;
    });
    mNeedsRead = mNeedsRead || aOutcome.has_value();
    return;
  }
  for (const platform::RowVersion& row : aOutcome->mVersions) {
    if (row.mKey == LeaseKey(mName) && row.mVersion >= mCurrentVersion) {
      SetHeldLease(aWrite.mRecord, row.mVersion, aSentAt);
    }
  }
}

bool Lease::Holds(base::Time aNow) const
{
  return mHeld && aNow < mHeld->mUntil;
}

base::Time Lease::HeldUntil() const
{
  return mHeld ? mHeld->mUntil : base::Time{};
}

base::Epoch Lease::HeldEpoch() const
{
  return mHeld ? mHeld->mRecord.mEpoch : base::Epoch();
}

std::uint64_t Lease::HeldDataCentreVersion() const
{
  return mHeld ? mHeld->mRecord.mDataCentreVersion : 0;
}

bool Lease::MayStartWork(base::Time aNow) const
{
  return Holds(aNow) && !mDataCentre.mOutOfService &&
         mHeld->mRecord.mDataCentreVersion == mDataCentreVersion;
}

} // namespace flamingoloom::ownership
