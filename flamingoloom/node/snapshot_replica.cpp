#include "flamingoloom/node/snapshot_replica.h"

#include <algorithm>
#include <sstream>

#include "flamingoloom/jobs/records.h"
#include "flamingoloom/node/election.h"

namespace flamingoloom::node {

using base::ErrorCode;
using base::Expected;

namespace {

constexpr const char* kHeadKey = "head";
constexpr const char* kPartKeyPrefix = "part/";
// Bounds of a row and of a transaction of the platform's store. The latter has
// a limit of 1 MB, with values in base64.
constexpr std::size_t kMaxRowBytes = std::size_t{ 64 } * 1024;
constexpr std::size_t kMaxTransactionBytes = std::size_t{ 500 } * 1024;
constexpr std::size_t kMaxTransactionRows = 90;

std::string PartKey(std::size_t aIndex)
{
  return kPartKeyPrefix + std::to_string(aIndex);
}

bool IsPartKey(const std::string& aKey)
{
  return aKey.compare(0,
                      std::char_traits<char>::length(kPartKeyPrefix),
                      kPartKeyPrefix) == 0;
}

} // namespace

std::string EncodeConfirmation(const SnapshotConfirmation& aConfirmation)
{
  return aConfirmation.mSnapshotId + " " +
         std::to_string(aConfirmation.mReading.mVersion) + " " +
         std::to_string(aConfirmation.mReading.mStoreMs);
}

Expected<SnapshotConfirmation> DecodeConfirmation(const std::string& aValue)
{
  std::istringstream text(aValue);
  SnapshotConfirmation confirmation;
  auto& reading = confirmation.mReading;
  text >> confirmation.mSnapshotId >> reading.mVersion >> reading.mStoreMs;
  if (text.fail() || reading.mVersion < 0 || reading.mStoreMs < 0) {
    return base::MakeError(ErrorCode::eInvalid,
                           "read snapshot confirmation",
                           "store",
                           "not numbers");
  }
  return confirmation;
}

SnapshotReplica::SnapshotReplica(Ports aPorts,
                                 SnapshotReplicaTiming aTiming,
                                 OnSnapshot aOnSnapshot)
  : mPorts(aPorts)
  , mTiming(aTiming)
  , mOnSnapshot(std::move(aOnSnapshot))
{
}

// Reading
// ----------------------------------------------------------------------

void SnapshotReplica::Fetch(const std::string& aId)
{
  mWantedId = aId;
  if (mWantedId != mHeldId) {
    ReadChanges();
  }
}

const OperatorSnapshot* SnapshotReplica::FindHeld(const std::string& aId) const
{
  return !mHeldId.empty() && aId == mHeldId ? &mHeld : nullptr;
}

void SnapshotReplica::ReadChanges()
{
  if (mReading || mStopped) {
    return;
  }
  mReading = true;
  mReadingForPublication = mPublication != nullptr;
  if (mVersion == 0) {
    ReadPage("", {}, 0);
    return;
  }
  mPorts.mStore->Watch(kSnapshotTable,
                       mVersion,
                       base::Duration(0),
                       [self = shared_from_this()](Expected<Rows> aRows) {
                         if (self->mStopped) {
                           return;
                         }
                         if (aRows) {
                           self->OnRead(aRows->mRows, aRows->mVersion);
                         } else {
                           self->OnReadFailed(aRows.error());
                         }
                       });
}

void SnapshotReplica::ReadPage(const std::string& aFrom,
                               std::vector<Row> aEarlierPages,
                               std::int64_t aFirstPageVersion)
{
  mPorts.mStore->Read(
    kSnapshotTable,
    jobs::kSchedulerPartition,
    aFrom,
    "",
    mTiming.mReadTimeout,
    [self = shared_from_this(),
     first = aFrom.empty(),
     aFirstPageVersion,
     rows = std::move(aEarlierPages)](Expected<Rows> aPage) mutable {
      if (self->mStopped) {
        return;
      }
      if (!aPage) {
        self->OnReadFailed(aPage.error());
        return;
      }
      // Changes after the first page was read are read by the next call.
      const auto version = first ? aPage->mVersion : aFirstPageVersion;
      rows.insert(rows.end(), aPage->mRows.begin(), aPage->mRows.end());
      if (aPage->mMore && !aPage->mRows.empty()) {
        self->ReadPage(
          aPage->mRows.back().mKey + '\0', std::move(rows), version);
        return;
      }
      self->OnRead(rows, version);
    });
}

void SnapshotReplica::OnReadFailed(const base::Error& aError)
{
  mReading = false;
  if (aError.mCode == ErrorCode::eNotFound) {
    mVersion = 0;
  }
  mPorts.mLog->Write("snapshot_unread", { { "error", aError.ToString() } });
  mPorts.mLoop->After(mTiming.mRetryDelay, [self = shared_from_this()] {
    if (self->mWantedId != self->mHeldId || self->mPublication) {
      self->ReadChanges();
    }
  });
}

void SnapshotReplica::OnRead(const std::vector<Row>& aRows,
                             std::int64_t aVersion)
{
  mReading = false;
  mVersion = std::max(mVersion, aVersion);
  for (const auto& row : aRows) {
    const auto value = row.mValue.value_or("");
    mRows[row.mKey] = value;
    if (row.mKey == kHeadKey) {
      mHeadVersion = row.mValue ? row.mVersion : 0;
    }
    if (IsPartKey(row.mKey)) {
      mPartDigests[row.mKey] = DigestOfCompressedPart(value).value_or("");
    }
  }
  if (mPublication && !mRowsKnown) {
    if (!mReadingForPublication) {
      // An earlier epoch may have written rows after this read.
      ReadChanges();
      return;
    }
    mRowsKnown = true;
    StorePublication();
  }
  if (mWantedId != mHeldId) {
    Assemble();
  }
}

void SnapshotReplica::Assemble()
{
  const auto head = mRows.find(kHeadKey);
  if (head == mRows.end() || SnapshotId(head->second) != mWantedId) {
    return;
  }
  auto read = DecodePartDigests(head->second)
                .and_then([&](const std::vector<std::string>& aDigests) {
                  std::vector<std::string> parts;
                  for (std::size_t i = 0; i < aDigests.size(); ++i) {
                    parts.push_back(mRows[PartKey(i)]);
                  }
                  return DecodeSnapshot(head->second, parts, mPartCache);
                });
  if (!read) {
    mPorts.mLog->Write(
      "snapshot_unreadable",
      { { "snapshot", mWantedId }, { "error", read.error().ToString() } });
    mBadId = mWantedId;
    return;
  }
  mHeldId = mWantedId;
  mHeld = std::move(*read);
  mOnSnapshot();
}

// Publishing
// -------------------------------------------------------------------

void SnapshotReplica::Publish(OperatorSnapshot aSnapshot,
                              RowCondition aEpoch,
                              TableReading aReading)
{
  auto encoded = EncodeSnapshot(aSnapshot);
  const auto& newest = mNextPublication ? mNextPublication : mPublication;
  if (encoded.mId == (newest ? newest->mSnapshot.mId : mPublishedId)) {
    return;
  }
  mNextPublication = std::make_shared<Publication>();
  mNextPublication->mState = std::move(aSnapshot);
  mNextPublication->mSnapshot = std::move(encoded);
  mNextPublication->mEpoch = std::move(aEpoch);
  mNextPublication->mReading = aReading;
  if (!mPublication) {
    BeginNextPublication();
  }
}

void SnapshotReplica::StopPublishing()
{
  mPublication.reset();
  mNextPublication.reset();
  mPublishedId.clear();
  mRowsKnown = false;
}

std::optional<std::string> SnapshotReplica::PublishedId() const
{
  if (mPublication || mPublishedId.empty()) {
    return std::nullopt;
  }
  return mPublishedId;
}

void SnapshotReplica::BeginNextPublication()
{
  mPublication = std::move(mNextPublication);
  mNextPublication.reset();
  if (!mPublication) {
    return;
  }
  if (!mRowsKnown) {
    ReadChanges();
    return;
  }
  StorePublication();
}

void SnapshotReplica::StorePublication()
{
  if (AddTransactions(*mPublication)) {
    CommitNext();
  } else {
    AbandonPublication();
  }
}

bool SnapshotReplica::AddTransactions(Publication& aPublication) const
{
  const auto& snapshot = aPublication.mSnapshot;
  std::vector<scheduler::RowChange> changes;
  for (std::size_t i = 0; i < snapshot.mParts.size(); ++i) {
    const auto key = PartKey(i);
    const auto stored = mPartDigests.find(key);
    if (stored == mPartDigests.end() ||
        stored->second != snapshot.mPartDigests[i]) {
      changes.push_back({ kSnapshotTable,
                          key,
                          CompressPart(snapshot.mParts[i]),
                          std::nullopt });
    }
  }
  const auto head = mRows.find(kHeadKey);
  if (!changes.empty() || head == mRows.end() ||
      head->second != snapshot.mHead) {
    changes.push_back(
      { kSnapshotTable, kHeadKey, snapshot.mHead, std::nullopt });
  }
  std::size_t bytes = 0;
  for (auto& change : changes) {
    const auto size = change.mValue->size();
    if (size > kMaxRowBytes) {
      mPorts.mLog->Write(
        "snapshot_too_large",
        { { "key", change.mKey }, { "bytes", std::to_string(size) } });
      return false;
    }
    auto& transactions = aPublication.mTransactions;
    if (transactions.empty() || bytes + size > kMaxTransactionBytes ||
        transactions.back().mChanges.size() >= kMaxTransactionRows) {
      transactions.push_back({ jobs::kSchedulerPartition, {}, {} });
      bytes = 0;
    }
    bytes += size;
    transactions.back().mChanges.push_back(std::move(change));
  }
  return true;
}

void SnapshotReplica::CommitNext()
{
  const auto& publication = *mPublication;
  if (publication.mNext == publication.mTransactions.size()) {
    OnPublished();
    return;
  }
  auto transaction = publication.mTransactions[publication.mNext];
  transaction.mConditions = { publication.mEpoch,
                              { kSnapshotTable, kHeadKey, mHeadVersion } };
  if (publication.mNext + 1 == publication.mTransactions.size()) {
    transaction.mChanges.push_back(
      { kLeaderTable,
        kConfirmationKey,
        EncodeConfirmation({ publication.mSnapshot.mId, publication.mReading }),
        std::nullopt });
  }
  mPorts.mStore->Commit(
    transaction,
    mTiming.mCommitTimeout,
    [self = shared_from_this(),
     expected = mPublication](const Expected<CommitResult>& aResult) {
      if (!self->mStopped && self->mPublication == expected) {
        self->OnCommit(aResult);
      }
    });
}

void SnapshotReplica::OnCommit(const Expected<CommitResult>& aResult)
{
  if (!aResult) {
    mPorts.mLog->Write("snapshot_unstored",
                       { { "error", aResult.error().ToString() } });
    if (aResult.error().mCode == ErrorCode::eDenied) {
      // It would be rejected again.
      AbandonPublication();
      return;
    }
    mPorts.mLoop->After(mTiming.mRetryDelay,
                        [self = shared_from_this(), expected = mPublication] {
                          if (!self->mStopped &&
                              self->mPublication == expected) {
                            self->CommitNext();
                          }
                        });
    return;
  }
  if (!aResult->mApplied) {
    // An earlier call without a response was applied, or the epoch has changed,
    // which the owner learns by itself.
    RestartPublication();
    return;
  }
  if (mPublication->mNext + 1 == mPublication->mTransactions.size()) {
    mHeadVersion = aResult->mVersion;
  }
  ++mPublication->mNext;
  CommitNext();
}

void SnapshotReplica::RestartPublication()
{
  mRowsKnown = false;
  mPublication->mTransactions.clear();
  mPublication->mNext = 0;
  mPorts.mLoop->After(mTiming.mRetryDelay,
                      [self = shared_from_this(), expected = mPublication] {
                        if (self->mPublication == expected) {
                          self->ReadChanges();
                        }
                      });
}

void SnapshotReplica::AbandonPublication()
{
  mPublication.reset();
  mPublishedId.clear();
  BeginNextPublication();
}

void SnapshotReplica::OnPublished()
{
  const auto& snapshot = mPublication->mSnapshot;
  mRows[kHeadKey] = snapshot.mHead;
  for (std::size_t i = 0; i < snapshot.mPartDigests.size(); ++i) {
    mPartDigests[PartKey(i)] = snapshot.mPartDigests[i];
  }
  mPublishedId = mHeldId = mWantedId = snapshot.mId;
  mHeld = mPublication->mState;
  mPorts.mLog->Write(
    "snapshot_stored",
    { { "snapshot", snapshot.mId },
      { "parts", std::to_string(snapshot.mParts.size()) },
      { "transactions", std::to_string(mPublication->mTransactions.size()) } });
  BeginNextPublication();
}

} // namespace flamingoloom::node
