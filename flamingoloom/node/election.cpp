#include "flamingoloom/node/election.h"

#include <algorithm>
#include <cstdlib>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {
namespace {

// The epoch's row holds "EPOCH HOLDER"; the renewal's row holds the holder,
// or nothing once it was given up.
std::string EncodeEpoch(std::int64_t aEpoch, const base::InstanceId& aHolder)
{
  return std::to_string(aEpoch) + " " + aHolder.Value();
}

} // namespace

base::Duration ClaimDelay(double aCores, double aLinkMbps)
{
  // At these weights twice the processor, or twice a slow link, is worth more
  // than the spread of equal machines.
  constexpr double kCoreMs = 25.0;
  constexpr double kLinkMs = 1500.0;
  constexpr double kLeast = 0.001;
  const double delayMs =
    kCoreMs / std::max(aCores, kLeast) + kLinkMs / std::max(aLinkMbps, 1.0);
  return base::Duration(static_cast<std::int64_t>(delayMs * 1000.0));
}

Election::Election(base::InstanceId aSelf,
                   ElectionTiming aTiming,
                   base::Duration aClaimDelay)
  : mSelf(std::move(aSelf))
  , mTiming(aTiming)
  , mClaimDelay(aClaimDelay)
{
}

void Election::Observe(base::Time aNow, const std::vector<Row>& aRows)
{
  mSeen = true;
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
    } else if (row.mKey == kRenewalKey && row.mVersion > mRenewalVersion) {
      mRenewalVersion = row.mVersion;
      mHolder = base::InstanceId(value);
      mChangedAt = aNow;
    }
  }
}

std::optional<base::Time> Election::ClaimAt() const
{
  if (mLeading || !mSeen) {
    return std::nullopt;
  }
  if (mHolder.IsEmpty()) {
    return mChangedAt + mClaimDelay;
  }
  return mChangedAt + mTiming.mLease + mClaimDelay;
}

Transaction Election::Claim() const
{
  Transaction transaction{ jobs::kSchedulerPart, {}, {} };
  transaction.mChanges = {
    { kLeadTable, kEpochKey, EncodeEpoch(mEpoch + 1, mSelf), mEpochVersion },
    { kLeadTable, kRenewalKey, mSelf.Value(), mRenewalVersion }
  };
  return transaction;
}

Transaction Election::Renewal() const
{
  Transaction transaction{ jobs::kSchedulerPart, {}, {} };
  transaction.mConditions = { EpochCondition() };
  transaction.mChanges = {
    { kLeadTable, kRenewalKey, mSelf.Value(), std::nullopt }
  };
  return transaction;
}

Transaction Election::Release() const
{
  Transaction transaction{ jobs::kSchedulerPart, {}, {} };
  transaction.mConditions = { EpochCondition() };
  transaction.mChanges = { { kLeadTable, kRenewalKey, "", std::nullopt } };
  return transaction;
}

RowCondition Election::EpochCondition() const
{
  return { kLeadTable, kEpochKey, mEpochVersion };
}

void Election::OnClaimed(base::Time aSentAt, const CommitResult& aResult)
{
  if (!aResult.mApplied || aResult.mVersion <= mEpochVersion) {
    // The answer may come after the change was observed: the epoch's row then
    // has the version of the claim already.
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
}

} // namespace flamingoloom::node
