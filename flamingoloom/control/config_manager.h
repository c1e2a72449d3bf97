// Watches the configuration of the deployment and writes new versions.
//
// The row `config/current` holds the version and the digest of the document,
// which is in the object store. An instance never returns to a lower version.
// If the store does not respond, a peer that announces a newer version provides
// the document. Not thread-safe.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/config/configuration_json.h"
#include "flamingoloom/control/config_row.h"
#include "flamingoloom/control/context.h"

namespace flamingoloom::control {

template <platform::Ports P>
class ConfigManager
{
public:
  // aOnChange is called each time a new version has become active.
  ConfigManager(Context<P>& aContext, std::function<void()> aOnChange)
    : mContext(aContext)
    , mOnChange(std::move(aOnChange))
  {
  }

  std::uint64_t Version() const
  {
    return mContext.mConfig ? mContext.mConfig->mVersion : 0;
  }
  // The document of the active configuration as stored; empty before the first
  // one.
  const std::string& Document() const { return mDocument; }

  // Applies the row `config/current` and fetches the document if the version is
  // newer.
  void Observe(const platform::Row& aRow)
  {
    auto row = DecodeConfigRow(aRow.mValue);
    if (!row) {
      return;
    }
    bool isWanted = mContext.mOptions.mMechanisms.mKeepNewestConfig
                      ? row->mVersion > Version()
                      : row->mVersion != Version();
    if (isWanted && !mFetching) {
      Fetch(*row);
    }
  }

  // Handles the announcement of a version by a peer. If it is newer, reads the
  // row and also queries the peer for the document, in case the store does not
  // respond.
  void OnAnnounced(const platform::ConfigNotice& aNotice)
  {
    if (aNotice.mVersion <= Version()) {
      return;
    }
    ReadRow();
    QueryPeer(aNotice.mFrom);
  }

  // Announces the active version to one random peer, so that an instance that
  // can reach neither the store nor the first announcer receives it too.
  void AnnounceToRandomPeer()
  {
    auto peers = mContext.Peers();
    if (Version() > 0 && !peers.empty()) {
      AnnounceTo(peers[mContext.mPorts.Random() % peers.size()]);
    }
  }

  // Queries all peers for a newer version. Used when the store cannot be read.
  void QueryPeers()
  {
    for (const platform::PeerAddress& peer : mContext.Peers()) {
      QueryPeer(peer);
    }
  }

  // Reads all accepted versions, oldest first.
  void History(platform::Done<std::vector<ConfigRow>> aDone)
  {
    mContext.mPorts.Scan(
      kHistoryPrefix,
      [aDone](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          aDone(tl::unexpected(aRows.error()));
          return;
        }
        std::vector<ConfigRow> versions;
        for (const platform::Row& row : *aRows) {
          if (auto version = DecodeConfigRow(row.mValue)) {
            versions.push_back(std::move(*version));
          }
        }
        aDone(std::move(versions));
      });
  }

  // Writes the next version and responds when the write is known to have taken
  // effect. Errors: eConflict if aExpectedVersion is not the active version,
  // eUnavailable if the write did not take effect in time, eOutcomeUnknown if
  // it may have.
  void Put(std::uint64_t aExpectedVersion,
           config::Configuration aConfiguration,
           ConfigDone aDone)
  {
    aConfiguration.mVersion = aExpectedVersion + 1;
    auto change = std::make_shared<Change>();
    change->mDocument = config::ToText(aConfiguration);
    change->mRow = { aConfiguration.mVersion,
                     base::Sha256Hex(change->mDocument),
                     mContext.UniqueId() };
    change->mDeadline = mContext.Now() + kPutTimeout;
    change->mDone = std::move(aDone);
    ReadBase(change);
  }

private:
  struct Change
  {
    std::string mDocument;
    ConfigRow mRow;
    std::uint64_t mExpectedRow = 0;
    base::Time mDeadline{};
    ConfigDone mDone;
    // A write was sent and its outcome is not known.
    bool mMayBeWritten = false;
  };
  using ChangePtr = std::shared_ptr<Change>;

  static constexpr base::Duration kPutTimeout = std::chrono::seconds(10);
  static constexpr base::Duration kRetryDelay = std::chrono::milliseconds(300);

  static tl::unexpected<base::Error> Conflict(std::uint64_t aVersion)
  {
    return base::MakeError(base::ErrorCode::eConflict,
                           "accept configuration",
                           "table",
                           fmt::format("version {} is active", aVersion),
                           "expectedVersion");
  }

  void ReadRow()
  {
    mContext.mPorts.Read(
      { kConfigKey },
      [this](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (aRows && !aRows->empty()) {
          Observe(aRows->front());
        }
      });
  }

  void Fetch(const ConfigRow& aRow)
  {
    mFetching = true;
    mContext.mPorts.GetObject(
      aRow.mDigest, [this, aRow](const base::Expected<std::string>& aText) {
        mFetching = false;
        if (!aText) {
          ++mContext.mCounters.mStoreFailures;
        } else if (base::Sha256Hex(*aText) == aRow.mDigest) {
          ApplyDocument(*aText);
        }
      });
  }

  void ApplyDocument(const std::string& aText)
  {
    auto parsed = config::ConfigurationFromText(aText, "stored configuration");
    if (!parsed) {
      return;
    }
    if (mContext.mOptions.mMechanisms.mKeepNewestConfig &&
        parsed->mVersion <= Version()) {
      return;
    }
    mContext.mConfig =
      std::make_shared<const config::Configuration>(std::move(*parsed));
    mDocument = aText;
    ++mContext.mCounters.mConfigChanges;
    mContext.Log({ "configuration in force",
                   { { "version", std::to_string(Version()) } } });
    Announce();
    mOnChange();
  }

  void QueryPeer(const platform::PeerAddress& aPeer)
  {
    mContext.mPorts.QueryStatus(
      aPeer, "config", [this](const base::Expected<std::string>& aText) {
        if (aText) {
          ApplyDocument(*aText);
        }
      });
  }

  void AnnounceTo(const platform::PeerAddress& aPeer)
  {
    platform::ConfigNotice notice{
      Version(), { mContext.mIdentity.mId, mContext.mIdentity.mPeerAddress }
    };
    mContext.mPorts.AnnounceConfig(aPeer, notice, [](const auto&) {});
  }

  void Announce()
  {
    for (const platform::PeerAddress& peer : mContext.Peers()) {
      AnnounceTo(peer);
    }
  }

  // --- Writing -----------------------------------------------------------

  // Reads the row of the expected version, which the write replaces.
  void ReadBase(const ChangePtr& aChange)
  {
    mContext.mPorts.Read(
      { kConfigKey },
      [this, aChange](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          RetryOrFail(aChange, aRows.error(), &ConfigManager::ReadBase);
          return;
        }
        ConfigRow current;
        if (!aRows->empty()) {
          current = DecodeConfigRow(aRows->front().mValue).value_or(current);
          aChange->mExpectedRow = aRows->front().mVersion;
        }
        if (current.mVersion + 1 != aChange->mRow.mVersion) {
          aChange->mDone(Conflict(current.mVersion));
          return;
        }
        StoreDocument(aChange);
      });
  }

  void StoreDocument(const ChangePtr& aChange)
  {
    mContext.mPorts.PutObject(
      aChange->mDocument,
      [this, aChange](const base::Expected<std::string>& aDigest) {
        if (aDigest) {
          WriteRow(aChange);
        } else {
          RetryOrFail(aChange, aDigest.error(), &ConfigManager::StoreDocument);
        }
      });
  }

  void WriteRow(const ChangePtr& aChange)
  {
    platform::Transaction transaction;
    std::string row = EncodeConfigRow(aChange->mRow);
    transaction.mWrites = { { kConfigKey, aChange->mExpectedRow, row },
                            { HistoryKey(aChange->mRow.mVersion), 0, row } };
    mContext.mPorts.Commit(
      transaction,
      [this,
       aChange](const base::Expected<platform::TransactionResult>& aOutcome) {
        if (!aOutcome) {
          aChange->mMayBeWritten = true;
          RetryOrFail(aChange, aOutcome.error(), &ConfigManager::ReadBack);
        } else if (aOutcome->Committed()) {
          CompleteChange(aChange);
        } else {
          // An earlier call attempt may have taken effect although its response
          // was lost.
          ReadBack(aChange);
        }
      });
  }

  void CompleteChange(const ChangePtr& aChange)
  {
    ApplyDocument(aChange->mDocument);
    aChange->mDone(
      *config::ConfigurationFromText(aChange->mDocument, "configuration"));
  }

  void ReadBack(const ChangePtr& aChange)
  {
    mContext.mPorts.Read(
      { kConfigKey },
      [this, aChange](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          RetryOrFail(aChange, aRows.error(), &ConfigManager::ReadBack);
          return;
        }
        std::uint64_t version = aRows->empty() ? 0 : aRows->front().mVersion;
        auto row = aRows->empty() ? base::Expected<ConfigRow>(ConfigRow{})
                                  : DecodeConfigRow(aRows->front().mValue);
        if (row && row->mNonce == aChange->mRow.mNonce) {
          CompleteChange(aChange);
        } else if (version == aChange->mExpectedRow) {
          WriteRow(aChange);
        } else {
          ReadHistory(aChange);
        }
      });
  }

  // Reads the history row of this version, because a later version may already
  // have replaced it in `config/current`.
  void ReadHistory(const ChangePtr& aChange)
  {
    mContext.mPorts.Read(
      { HistoryKey(aChange->mRow.mVersion) },
      [this, aChange](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          RetryOrFail(aChange, aRows.error(), &ConfigManager::ReadBack);
          return;
        }
        auto row = aRows->empty() ? base::Expected<ConfigRow>(ConfigRow{})
                                  : DecodeConfigRow(aRows->front().mValue);
        if (row && row->mNonce == aChange->mRow.mNonce) {
          CompleteChange(aChange);
        } else {
          aChange->mDone(Conflict(aChange->mRow.mVersion));
        }
      });
  }

  void RetryOrFail(const ChangePtr& aChange,
                   const base::Error& aError,
                   void (ConfigManager::*aStep)(const ChangePtr&))
  {
    if (mContext.Now() >= aChange->mDeadline) {
      aChange->mDone(base::MakeError(aChange->mMayBeWritten
                                       ? base::ErrorCode::eOutcomeUnknown
                                       : base::ErrorCode::eUnavailable,
                                     "accept configuration",
                                     "table",
                                     aError.ToString()));
      return;
    }
    mContext.mPorts.After(kRetryDelay,
                          [this, aChange, aStep] { (this->*aStep)(aChange); });
  }

  Context<P>& mContext;
  std::function<void()> mOnChange;
  std::string mDocument;
  bool mFetching = false;
};

} // namespace flamingoloom::control
