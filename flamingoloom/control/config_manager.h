// Follows the configuration of the deployment and accepts new versions.
//
// The row `config/current` names version and digest; the document lies in the
// object store. An instance never goes back to a lower version. A peer that
// announces a newer version can give the document when the store cannot. Not
// thread-safe.
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
  // aOnChange is called after a new version is in force.
  ConfigManager(Context<P>& aContext, std::function<void()> aOnChange)
    : mContext(aContext)
    , mOnChange(std::move(aOnChange))
  {
  }

  std::uint64_t Version() const
  {
    return mContext.mConfig ? mContext.mConfig->mVersion : 0;
  }
  // The document in force, as stored; empty before the first one.
  const std::string& Document() const { return mDocument; }

  // Takes the row as read; fetches the document when it is newer.
  void Observe(const platform::Row& aRow)
  {
    auto row = DecodeConfigRow(aRow.mValue);
    if (!row) {
      return;
    }
    bool wanted = mContext.mOptions.mMechanisms.mKeepNewestConfig
                    ? row->mVersion > Version()
                    : row->mVersion != Version();
    if (wanted && !mFetching) {
      Fetch(*row);
    }
  }

  // A peer has a newer version: the row is read at once, and the peer is asked
  // for the document in case the store does not answer.
  void OnAnnounced(const platform::ConfigNotice& aNotice)
  {
    if (aNotice.mVersion <= Version()) {
      return;
    }
    ReadRow();
    AskPeer(aNotice.mFrom);
  }

  // Tells one peer at random which version is in force here, so that an
  // instance that can reach neither the store nor the announcer gets it too.
  void AnnounceToOne()
  {
    auto peers = mContext.Peers();
    if (Version() > 0 && !peers.empty()) {
      AnnounceTo(peers[mContext.mPorts.Random() % peers.size()]);
    }
  }

  // Asks one peer after another for a newer version; used when the store
  // cannot be read.
  void AskPeers()
  {
    for (const platform::PeerAddress& peer : mContext.Peers()) {
      AskPeer(peer);
    }
  }

  // All accepted versions, oldest first.
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

  // Writes the next version. eConflict when aExpectedVersion is not the one in
  // force. The answer comes when the write is known to have taken effect.
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
    change->mUntil = mContext.Now() + kPutWait;
    change->mDone = std::move(aDone);
    ReadBase(change);
  }

private:
  struct Change
  {
    std::string mDocument;
    ConfigRow mRow;
    std::uint64_t mExpectedRow = 0;
    base::Time mUntil{};
    ConfigDone mDone;
    // A write was sent whose outcome is not known.
    bool mMayBeWritten = false;
  };
  using ChangePtr = std::shared_ptr<Change>;

  static constexpr base::Duration kPutWait = std::chrono::seconds(10);
  static constexpr base::Duration kRetryAfter = std::chrono::milliseconds(300);

  static tl::unexpected<base::Error> Conflict(std::uint64_t aVersion)
  {
    return base::MakeError(base::ErrorCode::eConflict,
                           "accept configuration",
                           "table",
                           fmt::format("version {} is in force", aVersion),
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
          Adopt(*aText);
        }
      });
  }

  void Adopt(const std::string& aText)
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

  void AskPeer(const platform::PeerAddress& aPeer)
  {
    mContext.mPorts.QueryStatus(
      aPeer, "config", [this](const base::Expected<std::string>& aText) {
        if (aText) {
          Adopt(*aText);
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

  // --- Accepting ---------------------------------------------------------

  // The row of the expected version is the one that the write replaces.
  void ReadBase(const ChangePtr& aChange)
  {
    mContext.mPorts.Read(
      { kConfigKey },
      [this, aChange](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          RetryOrGive(aChange, aRows.error(), &ConfigManager::ReadBase);
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
          RetryOrGive(aChange, aDigest.error(), &ConfigManager::StoreDocument);
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
          RetryOrGive(aChange, aOutcome.error(), &ConfigManager::ReadBack);
        } else if (aOutcome->Committed()) {
          Accepted(aChange);
        } else {
          // An earlier try may have taken effect without an answer.
          ReadBack(aChange);
        }
      });
  }

  void Accepted(const ChangePtr& aChange)
  {
    Adopt(aChange->mDocument);
    aChange->mDone(
      *config::ConfigurationFromText(aChange->mDocument, "configuration"));
  }

  void ReadBack(const ChangePtr& aChange)
  {
    mContext.mPorts.Read(
      { kConfigKey },
      [this, aChange](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          RetryOrGive(aChange, aRows.error(), &ConfigManager::ReadBack);
          return;
        }
        std::uint64_t version = aRows->empty() ? 0 : aRows->front().mVersion;
        auto row = aRows->empty() ? base::Expected<ConfigRow>(ConfigRow{})
                                  : DecodeConfigRow(aRows->front().mValue);
        if (row && row->mNonce == aChange->mRow.mNonce) {
          Accepted(aChange);
        } else if (version == aChange->mExpectedRow) {
          WriteRow(aChange);
        } else {
          ReadHistory(aChange);
        }
      });
  }

  // A later version may already have replaced ours.
  void ReadHistory(const ChangePtr& aChange)
  {
    mContext.mPorts.Read(
      { HistoryKey(aChange->mRow.mVersion) },
      [this, aChange](const base::Expected<std::vector<platform::Row>>& aRows) {
        if (!aRows) {
          RetryOrGive(aChange, aRows.error(), &ConfigManager::ReadBack);
          return;
        }
        auto row = aRows->empty() ? base::Expected<ConfigRow>(ConfigRow{})
                                  : DecodeConfigRow(aRows->front().mValue);
        if (row && row->mNonce == aChange->mRow.mNonce) {
          Accepted(aChange);
        } else {
          aChange->mDone(Conflict(aChange->mRow.mVersion));
        }
      });
  }

  void RetryOrGive(const ChangePtr& aChange,
                   const base::Error& aError,
                   void (ConfigManager::*aStep)(const ChangePtr&))
  {
    if (mContext.Now() >= aChange->mUntil) {
      aChange->mDone(base::MakeError(aChange->mMayBeWritten
                                       ? base::ErrorCode::eOutcomeUnknown
                                       : base::ErrorCode::eUnavailable,
                                     "accept configuration",
                                     "table",
                                     aError.ToString()));
      return;
    }
    mContext.mPorts.After(kRetryAfter,
                          [this, aChange, aStep] { (this->*aStep)(aChange); });
  }

  Context<P>& mContext;
  std::function<void()> mOnChange;
  std::string mDocument;
  bool mFetching = false;
};

} // namespace flamingoloom::control
