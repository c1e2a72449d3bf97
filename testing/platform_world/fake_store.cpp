#include "testing/platform_world/fake_store.h"

namespace flamingoloom::testing::platform_world {

using base::ErrorCode;
using base::Expected;
using base::MakeError;
using std::chrono::milliseconds;

namespace {

constexpr auto kDelay = milliseconds(2);
constexpr auto kPollEvery = milliseconds(3);
constexpr std::size_t kHistory = 2000;
constexpr double kLostShare = 0.4;
constexpr std::size_t kMaxEntries = 100;

} // namespace

std::int64_t FakeStore::NowMs() const
{
  return base::ToMilliseconds(mClock.Now().time_since_epoch());
}

void FakeStore::Write(const Key& aKey, std::optional<std::string> aValue)
{
  node::Row row{ std::get<2>(aKey), std::move(aValue), mVersion };
  if (row.mValue) {
    mRows[aKey] = row;
  } else {
    mRows.erase(aKey);
  }
  mHistory.emplace_back(std::get<0>(aKey), std::move(row));
  while (mHistory.size() > kHistory) {
    mForgotten = mHistory.front().second.mVersion;
    mHistory.pop_front();
  }
}

void FakeStore::Put(const std::string& aTable,
                    const std::string& aKey,
                    std::optional<std::string> aValue)
{
  ++mVersion;
  Write({ aTable, "", aKey }, std::move(aValue));
}

void FakeStore::ForgetHistory()
{
  mForgotten = mVersion;
  mHistory.clear();
}

base::Duration FakeStore::Enqueue(const std::string& aPartition)
{
  auto& busyUntil = mBusyUntil[aPartition];
  busyUntil = std::max(busyUntil, mClock.Now()) + mTransactionTime;
  return busyUntil - mClock.Now();
}

node::CommitResult FakeStore::Apply(const node::Transaction& aTransaction)
{
  std::vector<node::RowCondition> conditions = aTransaction.mConditions;
  for (const auto& change : aTransaction.mChanges) {
    if (change.mExpectedVersion) {
      conditions.push_back(
        { change.mTable, change.mKey, *change.mExpectedVersion });
    }
  }
  node::CommitResult result;
  result.mStoreNowMs = NowMs();
  result.mApplied = true;
  for (const auto& condition : conditions) {
    const auto found =
      mRows.find({ condition.mTable, aTransaction.mPartition, condition.mKey });
    const node::Row row = found == mRows.end()
                            ? node::Row{ condition.mKey, std::nullopt, 0 }
                            : found->second;
    result.mCurrent.push_back({ condition.mTable, row });
    result.mApplied = result.mApplied && row.mVersion == condition.mVersion;
  }
  if (result.mApplied) {
    result.mCurrent.clear();
    ++mVersion;
    for (const auto& change : aTransaction.mChanges) {
      Write({ change.mTable, aTransaction.mPartition, change.mKey },
            change.mValue);
    }
  }
  result.mVersion = mVersion;
  return result;
}

node::Rows FakeStore::Read(const std::string& aTable,
                           const std::string& aPartition,
                           const std::string& aFrom,
                           const std::string& aTo) const
{
  node::Rows rows;
  for (auto row = mRows.lower_bound({ aTable, aPartition, aFrom });
       row != mRows.end() && std::get<0>(row->first) == aTable &&
       std::get<1>(row->first) == aPartition;
       ++row) {
    if (!aTo.empty() && std::get<2>(row->first) >= aTo) {
      break;
    }
    rows.mRows.push_back(row->second);
  }
  rows.mVersion = mVersion;
  rows.mStoreNowMs = NowMs();
  return rows;
}

bool FakeStore::Changes(const std::string& aTable,
                        std::int64_t aVersion,
                        node::Rows& aRows) const
{
  if (aVersion < mForgotten) {
    return false;
  }
  for (const auto& [table, row] : mHistory) {
    if (table == aTable && row.mVersion > aVersion) {
      aRows.mRows.push_back(row);
    }
  }
  aRows.mVersion = mVersion;
  aRows.mStoreNowMs = NowMs();
  return true;
}

void StoreLink::Later(base::Duration aDelay, std::function<void()> aThen)
{
  mClock.After(aDelay, [this, life = mLife, then = std::move(aThen)] {
    if (life == mLife) {
      then();
    }
  });
}

void StoreLink::Commit(const node::Transaction& aTransaction,
                       base::Duration aTimeout,
                       std::function<void(Expected<node::CommitResult>)> aThen)
{
  const auto fail = [&](ErrorCode aCode, base::Duration aAfter) {
    Later(aAfter, [then = aThen, aCode] {
      then(MakeError(aCode, "commit", "store", "fault"));
    });
  };
  std::size_t entries =
    aTransaction.mConditions.size() + aTransaction.mChanges.size();
  for (const auto& change : aTransaction.mChanges) {
    entries += change.mExpectedVersion ? 1 : 0;
  }
  if (entries > kMaxEntries) {
    fail(ErrorCode::eDenied, kDelay);
    return;
  }
  if (mFault == StoreFault::eRefuses) {
    fail(ErrorCode::eUnavailable, kDelay);
    return;
  }
  if (mFault == StoreFault::eSilent) {
    fail(ErrorCode::eOutcomeUnknown, aTimeout);
    return;
  }
  if (mFault == StoreFault::eLosesAnswers && mClock.Chance(kLostShare)) {
    const auto late = mClock.Chance(0.5)
                        ? mClock.Between(milliseconds(500), milliseconds(6000))
                        : base::Duration(kDelay);
    // It is done also if the sender is gone by then.
    mClock.After(
      late, [&store = mStore, aTransaction] { store.Apply(aTransaction); });
    fail(ErrorCode::eOutcomeUnknown, aTimeout);
    return;
  }
  // Done by the store although the sender may be gone by then.
  mClock.After(kDelay + mStore.Enqueue(aTransaction.mPartition),
               [this, life = mLife, aTransaction, then = std::move(aThen)] {
                 auto result = mStore.Apply(aTransaction);
                 if (life == mLife) {
                   Later(kDelay, [then, result] { then(result); });
                 }
               });
}

void StoreLink::Read(const std::string& aTable,
                     const std::string& aPartition,
                     const std::string& aFrom,
                     const std::string& aTo,
                     base::Duration aTimeout,
                     std::function<void(Expected<node::Rows>)> aThen)
{
  if (mFault == StoreFault::eRefuses || mFault == StoreFault::eSilent) {
    const bool refused = mFault == StoreFault::eRefuses;
    Later(refused ? base::Duration(kDelay) : aTimeout,
          [then = std::move(aThen)] {
            then(MakeError(ErrorCode::eUnavailable, "read", "store", "fault"));
          });
    return;
  }
  Later(
    kDelay, [this, aTable, aPartition, aFrom, aTo, then = std::move(aThen)] {
      Later(kDelay, [rows = mStore.Read(aTable, aPartition, aFrom, aTo), then] {
        then(rows);
      });
    });
}

void StoreLink::Watch(const std::string& aTable,
                      std::int64_t aVersion,
                      base::Duration aWait,
                      std::function<void(Expected<node::Rows>)> aThen)
{
  Poll(aTable, aVersion, mClock.Now() + aWait, std::move(aThen));
}

void StoreLink::Poll(const std::string& aTable,
                     std::int64_t aVersion,
                     base::Time aUntil,
                     std::function<void(Expected<node::Rows>)> aThen)
{
  Later(kPollEvery, [this, aTable, aVersion, aUntil, then = std::move(aThen)] {
    if (mFault == StoreFault::eRefuses || mFault == StoreFault::eSilent) {
      then(MakeError(ErrorCode::eUnavailable, "follow", "store", "fault"));
      return;
    }
    node::Rows rows;
    if (!mStore.Changes(aTable, aVersion, rows)) {
      then(MakeError(ErrorCode::eNotFound, "follow", "store", "forgotten"));
    } else if (!rows.mRows.empty() || mClock.Now() >= aUntil) {
      then(rows);
    } else {
      Poll(aTable, aVersion, aUntil, then);
    }
  });
}

} // namespace flamingoloom::testing::platform_world
