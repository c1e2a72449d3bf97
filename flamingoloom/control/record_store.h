// Reads and writes request records in the table service. A lost response or an
// outage never leaves the writer with a wrong view of the stored record. Not
// thread-safe.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "flamingoloom/control/context.h"
#include "flamingoloom/ledger/record.h"

namespace flamingoloom::control {

// A record with the versions of its open row and its index row, as needed to
// replace them.
struct StoredRecord
{
  ledger::Record mRecord;
  std::uint64_t mOpenVersion = 0;
  std::uint64_t mIndexVersion = 0;

  friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

template <platform::Ports P>
class RecordStore
{
public:
  explicit RecordStore(Context<P>& aContext)
    : mContext(aContext)
  {
  }

  // Creates the rows of a new record. Errors: eConflict if the key exists,
  // otherwise the error of the table service.
  void Create(ledger::Record aRecord, platform::Done<StoredRecord> aDone)
  {
    ledger::OpenIndex index{ aRecord.mDataCentre,
                             aRecord.mBodySha256,
                             aRecord.mNonce };
    platform::Transaction transaction;
    transaction.mWrites = {
      { OpenKeyOf(aRecord), 0, ledger::Encode(aRecord) },
      { ledger::IndexKey(aRecord.mRequest), 0, ledger::Encode(index) }
    };
    CommitChange(
      StoredRecord{ std::move(aRecord), 0, 0 }, transaction, std::move(aDone));
  }

  // Replaces aCurrent by aNext and retries until the outcome is known. Responds
  // with the stored record, with eConflict if another writer has changed the
  // record, or with eDenied if aMayWrite returns false before the outcome is
  // known.
  void Replace(const StoredRecord& aCurrent,
               ledger::Record aNext,
               std::function<bool()> aMayWrite,
               platform::Done<StoredRecord> aDone)
  {
    aNext.mNonce = mContext.UniqueId();
    TryReplace(std::make_shared<Change>(Change{
      aCurrent, std::move(aNext), std::move(aMayWrite), std::move(aDone) }));
  }

  // Reads a request by its key. Responds with the open or the terminal record,
  // or with nothing if the key is unknown.
  void Find(const base::RequestId& aRequest,
            platform::Done<std::optional<StoredRecord>> aDone)
  {
    std::string indexKey = ledger::IndexKey(aRequest);
    mContext.mPorts.Read(
      { indexKey },
      [this, aRequest, aDone](
        const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          ++mContext.mCounters.mStoreFailures;
          aDone(tl::unexpected(aRows.error()));
        } else if (aRows->empty()) {
          aDone(std::optional<StoredRecord>());
        } else {
          ReadRecordOfIndex(aRows->front(), aRequest, aDone);
        }
      });
  }

  // Reads all open records of a data centre except those for which aIsKnown
  // returns true, with the versions that are needed to replace them.
  void FindOpen(const base::DataCentreId& aDataCentre,
                std::function<bool(const base::RequestId&)> aIsKnown,
                platform::Done<std::vector<StoredRecord>> aDone)
  {
    mContext.mPorts.Scan(
      ledger::OpenPrefix(aDataCentre),
      [this, aIsKnown, aDone](
        const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          ++mContext.mCounters.mStoreFailures;
          aDone(tl::unexpected(aRows.error()));
          return;
        }
        std::vector<StoredRecord> opened;
        for (const platform::Row& row : *aRows) {
          auto record = ledger::Decode(row.mValue);
          if (record && !aIsKnown(record->mRequest)) {
            opened.push_back({ *record, row.mVersion, 0 });
          }
        }
        ReadIndexes(std::move(opened), aDone);
      });
  }

private:
  struct Change
  {
    StoredRecord mCurrent;
    ledger::Record mNext;
    std::function<bool()> mMayWrite;
    platform::Done<StoredRecord> mDone;
  };

  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(300);

  static std::string OpenKeyOf(const ledger::Record& aRecord)
  {
    return ledger::OpenKey(aRecord.mDataCentre, aRecord.mRequest);
  }

  // Adds the versions of the index rows.
  void ReadIndexes(std::vector<StoredRecord> aOpened,
                   platform::Done<std::vector<StoredRecord>> aDone)
  {
    if (aOpened.empty()) {
      aDone(std::move(aOpened));
      return;
    }
    std::vector<std::string> keys;
    keys.reserve(aOpened.size());
    for (const StoredRecord& stored : aOpened) {
      keys.push_back(ledger::IndexKey(stored.mRecord.mRequest));
    }
    mContext.mPorts.Read(
      keys,
      [this, opened = std::move(aOpened), aDone](
        const base::Expected<std::vector<platform::Row>>& aRows) mutable {
        if (!aRows) {
          ++mContext.mCounters.mStoreFailures;
          aDone(tl::unexpected(aRows.error()));
          return;
        }
        std::map<std::string, std::uint64_t> versions;
        for (const platform::Row& row : *aRows) {
          versions[row.mKey] = row.mVersion;
        }
        for (StoredRecord& stored : opened) {
          stored.mIndexVersion =
            versions[ledger::IndexKey(stored.mRecord.mRequest)];
        }
        aDone(std::move(opened));
      });
  }

  void ReadRecordOfIndex(const platform::Row& aIndex,
                         const base::RequestId& aRequest,
                         platform::Done<std::optional<StoredRecord>> aDone)
  {
    auto index = ledger::DecodeIndex(aIndex.mValue);
    if (!index) {
      aDone(tl::unexpected(index.error()));
      return;
    }
    if (auto* record = std::get_if<ledger::Record>(&*index)) {
      aDone(StoredRecord{ *record, 0, aIndex.mVersion });
      return;
    }
    const auto& open = std::get<ledger::OpenIndex>(*index);
    mContext.mPorts.Read(
      { ledger::OpenKey(open.mDataCentre, aRequest) },
      [this, aRequest, indexVersion = aIndex.mVersion, aDone](
        const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          ++mContext.mCounters.mStoreFailures;
          aDone(tl::unexpected(aRows.error()));
          return;
        }
        if (aRows->empty()) {
          // The record was relocated or became terminal between the two reads.
          Find(aRequest, aDone);
          return;
        }
        auto record = ledger::Decode(aRows->front().mValue);
        if (!record) {
          aDone(tl::unexpected(record.error()));
          return;
        }
        aDone(StoredRecord{ *record, aRows->front().mVersion, indexVersion });
      });
  }

  static platform::Transaction MakeTransaction(const StoredRecord& aCurrent,
                                               const ledger::Record& aNext)
  {
    const ledger::Record& current = aCurrent.mRecord;
    std::string indexKey = ledger::IndexKey(current.mRequest);
    platform::Transaction transaction;
    if (aNext.IsTerminal()) {
      transaction.mWrites = {
        { OpenKeyOf(current), aCurrent.mOpenVersion, std::nullopt },
        { indexKey, aCurrent.mIndexVersion, ledger::Encode(aNext) }
      };
      return transaction;
    }
    if (aNext.mDataCentre == current.mDataCentre) {
      transaction.mWrites = {
        { OpenKeyOf(current), aCurrent.mOpenVersion, ledger::Encode(aNext) }
      };
      return transaction;
    }
    ledger::OpenIndex index{ aNext.mDataCentre,
                             aNext.mBodySha256,
                             aNext.mNonce };
    transaction.mWrites = {
      { OpenKeyOf(current), aCurrent.mOpenVersion, std::nullopt },
      { OpenKeyOf(aNext), 0, ledger::Encode(aNext) },
      { indexKey, aCurrent.mIndexVersion, ledger::Encode(index) }
    };
    return transaction;
  }

  void CommitChange(StoredRecord aNext,
                    const platform::Transaction& aTransaction,
                    platform::Done<StoredRecord> aDone)
  {
    mContext.mGroupCommit.Commit(
      aTransaction,
      [this, aNext, aDone](
        const base::Expected<platform::TransactionResult>& aOutcome) {
        if (!aOutcome) {
          ++mContext.mCounters.mStoreFailures;
          aDone(tl::unexpected(aOutcome.error()));
          return;
        }
        if (!aOutcome->Committed()) {
          aDone(base::MakeError(base::ErrorCode::eConflict,
                                "write request record",
                                "table",
                                "the record was changed by another writer"));
          return;
        }
        aDone(WithVersions(aNext, aOutcome->mVersions));
      });
  }

  static StoredRecord WithVersions(
    StoredRecord aStored,
    const std::vector<platform::RowVersion>& aVersions)
  {
    for (const platform::RowVersion& row : aVersions) {
      if (row.mKey == OpenKeyOf(aStored.mRecord)) {
        aStored.mOpenVersion = row.mVersion;
      } else if (row.mKey == ledger::IndexKey(aStored.mRecord.mRequest)) {
        aStored.mIndexVersion = row.mVersion;
      }
    }
    return aStored;
  }

  void TryReplace(std::shared_ptr<Change> aChange)
  {
    if (!aChange->mMayWrite()) {
      aChange->mDone(
        base::MakeError(base::ErrorCode::eDenied,
                        "write request record",
                        "table",
                        "the data centre is owned by another instance"));
      return;
    }
    StoredRecord next = aChange->mCurrent;
    next.mRecord = aChange->mNext;
    CommitChange(std::move(next),
                 MakeTransaction(aChange->mCurrent, aChange->mNext),
                 [this, aChange](const base::Expected<StoredRecord>& aStored) {
                   if (aStored) {
                     aChange->mDone(aStored);
                     return;
                   }
                   // A conflict is read back too, because an earlier call
                   // attempt of the same change may have taken effect although
                   // its response was lost.
                   mContext.mPorts.After(
                     kRetryDelay, [this, aChange] { ReadBack(aChange); });
                 });
  }

  void ReadBack(std::shared_ptr<Change> aChange)
  {
    Find(aChange->mNext.mRequest,
         [this,
          aChange](const base::Expected<std::optional<StoredRecord>>& aFound) {
           if (!aFound) {
             ReadBackLater(aChange);
             return;
           }
           const std::optional<StoredRecord>& found = *aFound;
           if (found && found->mRecord.mNonce == aChange->mNext.mNonce) {
             aChange->mDone(*found);
           } else if (found &&
                      found->mOpenVersion == aChange->mCurrent.mOpenVersion &&
                      !found->mRecord.IsTerminal()) {
             aChange->mCurrent = *found;
             TryReplace(aChange);
           } else {
             aChange->mDone(
               base::MakeError(base::ErrorCode::eConflict,
                               "write request record",
                               "table",
                               "the record was changed by another writer"));
           }
         });
  }

  void ReadBackLater(std::shared_ptr<Change> aChange)
  {
    mContext.mPorts.After(kRetryDelay, [this, aChange] {
      if (aChange->mMayWrite()) {
        ReadBack(aChange);
      } else {
        TryReplace(aChange);
      }
    });
  }

  Context<P>& mContext;
};

} // namespace flamingoloom::control
