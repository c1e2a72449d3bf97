#include "flamingoloom/node/election.h"

#include <algorithm>
#include <cstdlib>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {
namespace {

// The row kEpochKey holds "EPOCH HOLDER". The row kRenewalKey holds "HOLDER
// EXPIRY", with the expiry of the lease by the store's clock in milliseconds,
// or only "HOLDER" if the holder does not know that clock yet, or nothing once
// the lease was released.
std::string EncodeEpoch(std::int64_t aEpoch, const base::InstanceId& aHolder)
{
  return std::to_string(aEpoch) + " " + aHolder.Value();
}

} // namespace

base::Duration ClaimDelay(double aCores, double aLinkMbps)
{
  // With these weights, a processor or a slow link of twice the capacity
  // outweighs the random spread of equal machines
  // (ElectionTiming::mClaimJitter).
  constexpr double kCoreWeightMs = 25.0;
  constexpr double kLinkWeightMs = 1500.0;
  constexpr double kMinCores = 0.001;
  const double delayMs = kCoreWeightMs / std::max(aCores, kMinCores) +
                         kLinkWeightMs / std::max(aLinkMbps, 1.0);
  return base::Duration(static_cast<std::int64_t>(delayMs * 1000.0));
}

Election::Election(base::InstanceId aSelf,
                   ElectionTiming aTiming,
                   base::Duration aClaimDelay)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
  , mClaimDelay(aClaimDelay)
  , mLeaseRemaining(aTiming.mLease)
{
}

void Election::Observe(base::Time aNow,
                       const std::vector<Row>& aRows,
                       std::int64_t aStoreNowMs)
{
  mObserved = true;
  for (const auto& row : aRows) {
    const std::string value = row.mValue.value_or("");
    if (row.mKey == kEpochKey && row.mVersion > mEpochVersion) {
      mEpochVersion = row.mVersion;
      mEpoch = std::atoll(value.c_str());
      const auto space = value.find(' ');
      const base::InstanceId holder(
        space == std::string::npos ? "" : value.substr(space + 1));
      if (holder != mSelf) {
        mLeading = false;
      }
      mHolder = holder;
      mChangedAt = aNow;
      mLeaseRemaining = mTiming.mLease;
    } else if (row.mKey == kRenewalKey && row.mVersion > mRenewalVersion) {
      mRenewalVersion = row.mVersion;
      const auto space = value.find(' ');
      mHolder = base::InstanceId(value.substr(0, space));
      mChangedAt = aNow;
      mLeaseRemaining = mTiming.mLease;
      if (space != std::string::npos) {
        const std::chrono::milliseconds left(
          std::atoll(value.c_str() + space + 1) - aStoreNowMs);
        mLeaseRemaining =
          std::clamp<base::Duration>(left, base::Duration(0), mTiming.mLease);
      }
    }
  }
}

std::optional<base::Time> Election::ClaimAt() const
{
  if (mLeading || !mObserved) {
    return std::nullopt;
  }
  if (mHolder.IsEmpty()) {
    return mChangedAt + mClaimDelay;
  }
  return mChangedAt + mLeaseRemaining + mClaimDelay;
}

Transaction Election::Claim() const
{
  Transaction transaction{ jobs::kSchedulerPartition, {}, {} };
  transaction.mChanges = {
    { kLeaderTable, kEpochKey, EncodeEpoch(mEpoch + 1, mSelf), mEpochVersion },
    { kLeaderTable, kRenewalKey, mSelf.Value(), mRenewalVersion }
  };
  return transaction;
}

Transaction Election::Renewal(base::Time aSentAt) const
{
  Transaction transaction{ jobs::kSchedulerPartition, {}, {} };
  transaction.mConditions = { EpochCondition() };
  std::string value = mSelf.Value();
  if (const auto expiry = StoreMsAtLatest(aSentAt + mTiming.mLease)) {
    value += ' ' + std::to_string(*expiry);
  }
  transaction.mChanges = {
    { kLeaderTable, kRenewalKey, std::move(value), mRenewalVersion }
  };
  return transaction;
}

std::optional<std::int64_t> Election::StoreMsAtLatest(base::Time aTime) const
{
  if (mStoreMs == 0) {
    return std::nullopt;
  }
  const auto elapsed = std::chrono::duration<double, std::milli>(
    (aTime - mStoreMsSentAt) * kClockSlack);
  return mStoreMs + static_cast<std::int64_t>(elapsed.count()) + 1;
}

Transaction Election::Release() const
{
  Transaction transaction{ jobs::kSchedulerPartition, {}, {} };
  transaction.mConditions = { EpochCondition() };
  transaction.mChanges = { { kLeaderTable, kRenewalKey, "", std::nullopt } };
  return transaction;
}

RowCondition Election::EpochCondition() const
{
  return { kLeaderTable, kEpochKey, mEpochVersion };
}

void Election::OnClaimed(base::Time aSentAt, const CommitResult& aResult)
{
  if (!aResult.mApplied || aResult.mVersion <= mEpochVersion) {
    // The response may arrive after the change was observed; the epoch row then
    // already has the version of the claim.
    if (!aResult.mApplied || aResult.mVersion < mEpochVersion ||
        mHolder != mSelf) {
      return;
    }
  } else {
    ++mEpoch;
    mEpochVersion = aResult.mVersion;
    mRenewalVersion = aResult.mVersion;
    mHolder = mSelf;
  }
  mLeading = true;
  mValidUntil = aSentAt + mTiming.mLease;
  RecordStoreClock(aSentAt, aResult);
}

bool Election::OnRenewed(base::Time aSentAt, const CommitResult& aResult)
{
  RecordStoreClock(aSentAt, aResult);
  if (aResult.mApplied) {
    mRenewalVersion = std::max(mRenewalVersion, aResult.mVersion);
    mValidUntil = aSentAt + mTiming.mLease;
    return true;
  }
  // An earlier renewal that timed out may have been applied.
  for (const auto& current : aResult.mCurrent) {
    if (current.mRow.mKey == kEpochKey &&
        current.mRow.mVersion != mEpochVersion) {
      mLeading = false;
    } else if (current.mRow.mKey == kRenewalKey) {
      mRenewalVersion = std::max(mRenewalVersion, current.mRow.mVersion);
    }
  }
  return mLeading;
}

void Election::RecordStoreClock(base::Time aSentAt, const CommitResult& aResult)
{
  if (aResult.mStoreNowMs > 0) {
    mStoreMs = aResult.mStoreNowMs;
    mStoreMsSentAt = aSentAt;
  }
}

} // namespace flamingoloom::node
