#include "flamingoloom/node/table_watch.h"

namespace flamingoloom::node {

TableWatch::TableWatch(Ports aPorts,
                       std::string aTable,
                       std::vector<std::string> aPartitions,
                       TableWatchTiming aTiming,
                       OnChange aOnChange,
                       OnRead aOnRead)
  : mPorts(aPorts)
  , mTable(std::move(aTable))
  , mPartitions(std::move(aPartitions))
  , mTiming(aTiming)
  , mOnChange(std::move(aOnChange))
  , mOnRead(std::move(aOnRead))
{
}

void TableWatch::Start()
{
  ReadPage(0, "", {});
}

void TableWatch::Resume(std::int64_t aVersion,
                        std::map<std::string, std::int64_t> aRowVersions)
{
  mVersion = aVersion;
  mVersions = std::move(aRowVersions);
  mSnapshotNeeded = false;
  mComplete = true;
  mConnected = true;
  WaitForChanges();
}

void TableWatch::ReadPage(std::size_t aPartitionIndex,
                          const std::string& aFrom,
                          Snapshot aEarlierPages)
{
  mPorts.mStore->Read(
    mTable,
    mPartitions[aPartitionIndex],
    aFrom,
    "",
    mTiming.mReadTimeout,
    [self = shared_from_this(),
     aPartitionIndex,
     first = aPartitionIndex == 0 && aFrom.empty(),
     snapshot = std::move(aEarlierPages)](base::Expected<Rows> aPage) mutable {
      if (self->mStopped) {
        return;
      }
      if (!aPage) {
        self->OnFailure(aPage.error());
        return;
      }
      self->LogUnreadableRows(*aPage);
      if (first) {
        snapshot.mVersion = aPage->mVersion;
        snapshot.mStoreNowMs = aPage->mStoreNowMs;
        snapshot.mReceivedAt = self->mPorts.mLoop->Now();
      }
      const auto next =
        aPage->mRows.empty() ? "" : aPage->mRows.back().mKey + '\0';
      for (auto& row : aPage->mRows) {
        if (self->mOnRead) {
          self->mOnRead(row);
        }
        snapshot.mRows.push_back(std::move(row));
      }
      if (aPage->mMore && !aPage->mRows.empty()) {
        self->ReadPage(aPartitionIndex, next, std::move(snapshot));
        return;
      }
      if (aPartitionIndex + 1 < self->mPartitions.size()) {
        self->ReadPage(aPartitionIndex + 1, "", std::move(snapshot));
        return;
      }
      self->ApplySnapshot(std::move(snapshot));
      self->WaitForChanges();
    });
}

void TableWatch::ApplySnapshot(Snapshot aSnapshot)
{
  RecordContact(aSnapshot.mStoreNowMs, aSnapshot.mReceivedAt);
  mVersion = aSnapshot.mVersion;
  mSnapshotNeeded = false;
  std::vector<Row> changes;
  auto removed = std::move(mVersions);
  mVersions.clear();
  for (auto& row : aSnapshot.mRows) {
    const auto known = removed.find(row.mKey);
    const bool changed =
      known == removed.end() || known->second != row.mVersion;
    if (known != removed.end()) {
      removed.erase(known);
    }
    mVersions[row.mKey] = row.mVersion;
    if (changed) {
      changes.push_back(std::move(row));
    }
  }
  for (const auto& [key, version] : removed) {
    changes.push_back({ key, std::nullopt, mVersion });
  }
  mComplete = true;
  mOnChange(std::move(changes));
}

void TableWatch::WaitForChanges()
{
  // Before the first response and after a failure, learning that the store
  // responds matters more than a change, so it is not asked to wait for one.
  const bool responds = mFailures == 0 && mLastContact != base::Time();
  mPorts.mStore->Watch(
    mTable,
    mVersion,
    responds ? mTiming.mWait : base::Duration(0),
    [self = shared_from_this()](base::Expected<Rows> aRows) {
      if (self->mStopped) {
        return;
      }
      if (!aRows) {
        if (aRows.error().mCode == base::ErrorCode::eNotFound) {
          self->mPorts.mLog->Write("history_forgotten",
                                   { { "table", self->mTable } });
          self->mSnapshotNeeded = true;
          self->RetryAfter(self->mTiming.mForgottenDelay);
        } else {
          self->OnFailure(aRows.error());
        }
        return;
      }
      self->LogUnreadableRows(*aRows);
      self->RecordContact(aRows->mStoreNowMs, self->mPorts.mLoop->Now());
      std::vector<Row> changes;
      for (const auto& row : aRows->mRows) {
        auto& version = self->mVersions[row.mKey];
        if (row.mVersion <= version) {
          continue;
        }
        version = row.mVersion;
        if (!row.mValue) {
          self->mVersions.erase(row.mKey);
        }
        changes.push_back(row);
      }
      self->mVersion = std::max(self->mVersion, aRows->mVersion);
      if (!changes.empty()) {
        self->mOnChange(std::move(changes));
      }
      if (!self->mStopped) {
        self->WaitForChanges();
      }
    });
}

void TableWatch::RetryAfter(base::Duration aDelay)
{
  mPorts.mLoop->After(aDelay, [self = shared_from_this()] {
    if (self->mStopped) {
      return;
    }
    if (self->mSnapshotNeeded) {
      self->ReadPage(0, "", {});
    } else {
      self->WaitForChanges();
    }
  });
}

void TableWatch::LogUnreadableRows(const Rows& aResponse)
{
  if (aResponse.mUnreadable > 0) {
    mPorts.mLog->Write("rows_unreadable",
                       { { "table", mTable },
                         { "rows", std::to_string(aResponse.mUnreadable) } });
  }
}

void TableWatch::RecordContact(std::int64_t aStoreNowMs, base::Time aReceivedAt)
{
  const std::chrono::milliseconds storeElapsed(aStoreNowMs - mStoreNowMs);
  const auto sentAt =
    mLastContact + std::chrono::duration_cast<base::Duration>(
                     storeElapsed * TableWatchTiming::kMaxClockRatio);
  // The time between two responses by the store's clock does not include their
  // transit.
  mLastContact = mLastContact == base::Time() || aStoreNowMs < mStoreNowMs
                   ? aReceivedAt
                   : std::min(aReceivedAt, sentAt);
  mStoreNowMs = aStoreNowMs;
  mFailures = 0;
  if (!mConnected) {
    mConnected = true;
    mPorts.mLog->Write("store_regained", { { "table", mTable } });
  }
}

void TableWatch::OnFailure(const base::Error& aError)
{
  if (++mFailures == 1) {
    RetryAfter(base::Duration(0));
    return;
  }
  if (mConnected) {
    mConnected = false;
    mPorts.mLog->Write("store_lost",
                       { { "table", mTable }, { "error", aError.ToString() } });
  }
  RetryAfter(mTiming.mRetryDelay);
}

} // namespace flamingoloom::node
