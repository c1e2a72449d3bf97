#include "testing/platform_world/fake_store.h"

#include <algorithm>
#include <set>

namespace flamingoloom::testing::platform_world {

using base::ErrorCode;
using base::Expected;
using base::MakeError;
using std::chrono::milliseconds;

namespace {

constexpr auto kNetworkDelay = milliseconds(2);
constexpr auto kPollInterval = milliseconds(3);
constexpr std::size_t kMaxHistory = 2000;
constexpr double kLostResponseShare = 0.4;
constexpr std::size_t kMaxEntries = 100;
constexpr std::size_t kMaxRowsPerResponse = 500;
// A partition rejects transactions while more than this waits for it.
constexpr auto kMaxQueueTime = std::chrono::seconds(1);
// Bytes of a response's headers, and of a row beside its value.
constexpr std::size_t kResponseOverheadBytes = 200;
constexpr std::size_t kRowOverheadBytes = 100;

// Size of the response with aRows, whose values are sent in base64.
std::size_t ResponseBytes(const node::Rows& aRows)
{
  std::size_t bytes = kResponseOverheadBytes;
  for (const auto& row : aRows.mRows) {
    bytes += kRowOverheadBytes + row.mValue.value_or("").size() * 4 / 3;
  }
  return bytes;
}

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
  while (mHistory.size() > kMaxHistory) {
    mCompactedVersion = mHistory.front().second.mVersion;
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

void FakeStore::CompactHistory()
{
  mCompactedVersion = mVersion;
  mHistory.clear();
}

std::optional<base::Duration> FakeStore::Enqueue(const std::string& aPartition)
{
  auto& busyUntil = mBusyUntil[aPartition];
  if (busyUntil > mClock.Now() + kMaxQueueTime) {
    return std::nullopt;
  }
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
  if (mMaxRowsPerPage && rows.mRows.size() > *mMaxRowsPerPage) {
    rows.mRows.resize(*mMaxRowsPerPage);
    rows.mMore = true;
  }
  rows.mVersion = mVersion;
  rows.mStoreNowMs = NowMs();
  return rows;
}

bool FakeStore::ReadChanges(const std::string& aTable,
                            std::int64_t aVersion,
                            node::Rows& aRows) const
{
  if (aVersion < mCompactedVersion) {
    return false;
  }
  // A row that changed several times is listed once, with its last change.
  std::set<std::string> listed;
  for (auto change = mHistory.rbegin();
       change != mHistory.rend() && change->second.mVersion > aVersion;
       ++change) {
    const auto& [table, row] = *change;
    if (table == aTable && listed.insert(row.mKey).second) {
      aRows.mRows.push_back(row);
    }
  }
  std::reverse(aRows.mRows.begin(), aRows.mRows.end());
  aRows.mVersion = mVersion;
  if (aRows.mRows.size() > kMaxRowsPerResponse) {
    aRows.mRows.resize(kMaxRowsPerResponse);
    aRows.mVersion = aRows.mRows.back().mVersion;
  }
  aRows.mStoreNowMs = NowMs();
  return true;
}

void StoreConnection::CallLater(base::Duration aDelay,
                                std::function<void()> aThen)
{
  mClock.After(aDelay,
               [this, incarnation = mIncarnation, then = std::move(aThen)] {
                 if (incarnation == mIncarnation) {
                   then();
                 }
               });
}

void StoreConnection::Deliver(node::Rows aRows,
                              std::function<void(Expected<node::Rows>)> aThen)
{
  if (mLink == nullptr) {
    aThen(std::move(aRows));
    return;
  }
  const auto bytes = ResponseBytes(aRows);
  mLink->Transfer(bytes,
                  [this,
                   incarnation = mIncarnation,
                   rows = std::move(aRows),
                   then = std::move(aThen)] {
                    if (incarnation == mIncarnation) {
                      then(rows);
                    }
                  });
}

void StoreConnection::Commit(
  const node::Transaction& aTransaction,
  base::Duration aTimeout,
  std::function<void(Expected<node::CommitResult>)> aThen)
{
  const auto fail = [&](ErrorCode aCode, base::Duration aAfter) {
    CallLater(aAfter, [then = aThen, aCode] {
      then(MakeError(aCode, "commit", "store", "fault"));
    });
  };
  std::size_t entries =
    aTransaction.mConditions.size() + aTransaction.mChanges.size();
  for (const auto& change : aTransaction.mChanges) {
    entries += change.mExpectedVersion ? 1 : 0;
  }
  if (entries > kMaxEntries) {
    fail(ErrorCode::eDenied, kNetworkDelay);
    return;
  }
  if (mFault == StoreFault::eRejectsCalls) {
    fail(ErrorCode::eUnavailable, kNetworkDelay);
    return;
  }
  if (mFault == StoreFault::eUnresponsive) {
    fail(ErrorCode::eOutcomeUnknown, aTimeout);
    return;
  }
  if (mFault == StoreFault::eLosesResponses &&
      mClock.Chance(kLostResponseShare)) {
    const auto delay = mClock.Chance(0.5)
                         ? mClock.Between(milliseconds(500), milliseconds(6000))
                         : base::Duration(kNetworkDelay);
    // The write is applied even if the sender was killed meanwhile.
    mClock.After(
      delay, [&store = mStore, aTransaction] { store.Apply(aTransaction); });
    fail(ErrorCode::eOutcomeUnknown, aTimeout);
    return;
  }
  const auto wait = mStore.Enqueue(aTransaction.mPartition);
  if (!wait) {
    fail(ErrorCode::eUnavailable, kNetworkDelay);
    return;
  }
  // The store applies the write even if the sender was killed meanwhile.
  mClock.After(
    kNetworkDelay + *wait,
    [this, incarnation = mIncarnation, aTransaction, then = std::move(aThen)] {
      auto result = mStore.Apply(aTransaction);
      if (incarnation == mIncarnation) {
        CallLater(kNetworkDelay, [then, result] { then(result); });
      }
    });
}

void StoreConnection::Read(const std::string& aTable,
                           const std::string& aPartition,
                           const std::string& aFrom,
                           const std::string& aTo,
                           base::Duration aTimeout,
                           std::function<void(Expected<node::Rows>)> aThen)
{
  if (mFault == StoreFault::eRejectsCalls ||
      mFault == StoreFault::eUnresponsive) {
    const bool rejected = mFault == StoreFault::eRejectsCalls;
    CallLater(rejected ? base::Duration(kNetworkDelay) : aTimeout,
              [then = std::move(aThen)] {
                then(
                  MakeError(ErrorCode::eUnavailable, "read", "store", "fault"));
              });
    return;
  }
  CallLater(kNetworkDelay,
            [this, aTable, aPartition, aFrom, aTo, then = std::move(aThen)] {
              CallLater(kNetworkDelay,
                        [this,
                         rows = mStore.Read(aTable, aPartition, aFrom, aTo),
                         then] { Deliver(rows, then); });
            });
}

void StoreConnection::Watch(const std::string& aTable,
                            std::int64_t aVersion,
                            base::Duration aWait,
                            std::function<void(Expected<node::Rows>)> aThen)
{
  Poll(aTable, aVersion, mClock.Now() + aWait, std::move(aThen));
}

void StoreConnection::Poll(const std::string& aTable,
                           std::int64_t aVersion,
                           base::Time aUntil,
                           std::function<void(Expected<node::Rows>)> aThen)
{
  CallLater(
    kPollInterval, [this, aTable, aVersion, aUntil, then = std::move(aThen)] {
      if (mFault == StoreFault::eRejectsCalls ||
          mFault == StoreFault::eUnresponsive) {
        then(MakeError(ErrorCode::eUnavailable, "follow", "store", "fault"));
        return;
      }
      node::Rows rows;
      if (!mStore.ReadChanges(aTable, aVersion, rows)) {
        then(MakeError(ErrorCode::eNotFound, "follow", "store", "forgotten"));
      } else if (!rows.mRows.empty() || mClock.Now() >= aUntil) {
        const auto delay = mWatchDelays.find(aTable);
        if (delay == mWatchDelays.end()) {
          Deliver(rows, then);
        } else {
          CallLater(delay->second, [this, rows, then] { Deliver(rows, then); });
        }
      } else {
        Poll(aTable, aVersion, aUntil, then);
      }
    });
}

} // namespace flamingoloom::testing::platform_world
