// Keeps one data centre's ownership for an instance: follows its rows, takes
// over, renews, fences backend servers, grants credits and says when a
// take-out is acknowledged. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/control/context.h"
#include "flamingoloom/dispatch/credit_ledger.h"
#include "flamingoloom/dispatch/failure_tracker.h"
#include "flamingoloom/ownership/fence.h"
#include "flamingoloom/ownership/lease.h"

namespace flamingoloom::control {

template <platform::Ports P>
class DataCentreOwnership
{
public:
  // aOnEpoch is called when a new epoch is held, aOnLost when none is held any
  // more.
  struct Hooks
  {
    std::function<void()> mOnEpoch;
    std::function<void()> mOnLost;
  };

  DataCentreOwnership(Context<P>& aContext,
                      const base::DataCentreId& aDataCentre,
                      Hooks aHooks)
    : mContext(aContext)
    , mLease(aDataCentre,
             aContext.mIdentity.mId,
             aContext.mIdentity.mPeerAddress,
             aContext.mOptions.mLease)
    , mHooks(std::move(aHooks))
  {
  }

  const ownership::Lease& State() const { return mLease; }
  const base::DataCentreId& Name() const { return mLease.DataCentreName(); }
  bool Holds() { return mLease.Holds(mContext.Now()); }
  // As Holds, but also while the lease has lapsed and nobody has taken over.
  bool IsOwner() const { return mLease.IsOwner(); }

  // Both rows as read together.
  void Observe(const std::optional<platform::Row>& aLease,
               const std::optional<platform::Row>& aDataCentre)
  {
    mLease.Observe(mContext.Now(), aLease, aDataCentre);
    NoticeChange();
  }

  // Does what is due now.
  void Step()
  {
    NoticeChange();
    if (mLease.NeedsRead()) {
      Read();
    } else if (!mWriting) {
      WriteIfDue();
    }
    if (Holds() && mContext.mOptions.mMechanisms.mFence) {
      FenceMissing();
    }
  }

  // Reads the rows at once instead of at the next watch.
  void Read()
  {
    if (mReading) {
      return;
    }
    mReading = true;
    std::string leaseKey = ownership::LeaseKey(Name());
    std::string dataCentreKey = ownership::DataCentreKey(Name());
    mContext.mPorts.Read(
      { leaseKey, dataCentreKey },
      [this, leaseKey, dataCentreKey](
        const base::Expected<std::vector<platform::Row>>& aRows) {
        mReading = false;
        if (!aRows) {
          ++mContext.mCounters.mStoreFailures;
          return;
        }
        Observe(FindRow(*aRows, leaseKey), FindRow(*aRows, dataCentreKey));
        Step();
      });
  }

  // Gives the lease to aSuccessor; aDone is called when the outcome is known
  // or nothing was held.
  void Release(const base::InstanceId& aSuccessor, std::function<void()> aDone)
  {
    if (mWriting) {
      // The write in flight would make the release conflict.
      mContext.mPorts.After(kReleaseRetry, [this, aSuccessor, aDone] {
        Release(aSuccessor, aDone);
      });
      return;
    }
    auto write = mLease.Release(aSuccessor, mContext.UniqueId());
    NoticeChange();
    if (!write) {
      aDone();
      return;
    }
    Send(*write, aDone);
  }

  // Work may be started under aEpoch now.
  bool MayStart(base::Epoch aEpoch)
  {
    if (!mContext.mOptions.mMechanisms.mFence) {
      return mLease.Holds(mContext.Now()) && !mLease.IsOutOfService();
    }
    return mLease.MayStartWork(mContext.Now()) && mLease.HeldEpoch() == aEpoch;
  }

  // Backend servers that may get work under the held epoch.
  std::vector<platform::Member> StartableServers() const
  {
    std::vector<platform::Member> servers =
      mContext.mOptions.mMechanisms.mExcludeDrainingServers
        ? mContext.mMembers.UsableServers(Name())
        : mContext.mMembers.ListedServers(Name());
    std::erase_if(servers, [&](const platform::Member& aServer) {
      return !IsFenced(base::ServerId(aServer.mId));
    });
    return servers;
  }

  bool IsFenced(const base::ServerId& aServer) const
  {
    return !mContext.mOptions.mMechanisms.mFence ||
           mFences.IsFenced(aServer, mLease.HeldEpoch());
  }

  base::Expected<platform::CreditGrant> GrantCredits(
    const platform::CreditRequest& aRequest)
  {
    base::Time now = mContext.Now();
    if (!mLease.MayStartWork(now)) {
      return base::MakeError(base::ErrorCode::eUnavailable,
                             "grant credits",
                             mContext.mIdentity.mId.Value(),
                             "no right to start work in " + Name().Value());
    }
    base::Duration life =
      std::min(mContext.mOptions.mCreditLife, mLease.HeldUntil() - now);
    std::vector<dispatch::ServerSlots> servers;
    for (const platform::Member& server : StartableServers()) {
      servers.push_back({ { base::ServerId(server.mId), server.mAddress },
                          server.mSlots - mContext.mOptions.mRecordedSlots });
    }
    auto credits = mCredits.Grant(
      now, now + life, aRequest.mHolder, aRequest.mWanted, servers);
    return platform::CreditGrant{
      Name(), mLease.HeldEpoch(), std::move(credits), life
    };
  }

  // Whether the newest known row of the data centre is in force here.
  platform::DataCentreStatus Status()
  {
    platform::DataCentreStatus status;
    status.mRowVersion = mLease.DataCentreVersion();
    status.mReason = PendingReason();
    status.mAcknowledged = status.mReason.empty();
    return status;
  }

private:
  static constexpr base::Duration kReleaseRetry = std::chrono::milliseconds(50);
  static constexpr base::Duration kFenceRetry = std::chrono::milliseconds(500);

  static std::optional<platform::Row> FindRow(
    const std::vector<platform::Row>& aRows,
    const std::string& aKey)
  {
    for (const platform::Row& row : aRows) {
      if (row.mKey == aKey) {
        return row;
      }
    }
    return std::nullopt;
  }

  std::string PendingReason()
  {
    base::Time now = mContext.Now();
    if (!mLease.Holds(now)) {
      return "no instance owns the data centre yet";
    }
    if (!mLease.IsOutOfService()) {
      return {};
    }
    if (mLease.HeldDataCentreVersion() != mLease.DataCentreVersion()) {
      return "the owner is raising the epoch";
    }
    if (mCredits.LastExpiry() > now) {
      return "credits have not run out yet";
    }
    auto missing = mFences.Missing(mContext.mMembers.ListedServers(Name()),
                                   mLease.HeldEpoch());
    if (missing.empty() || !mContext.mOptions.mMechanisms.mFence) {
      return {};
    }
    std::string reason = "backend servers have not confirmed:";
    for (const platform::Member& server : missing) {
      reason += " " + server.mId;
    }
    return reason;
  }

  void WriteIfDue()
  {
    ownership::TakeoverRank takeoverRank;
    const config::DataCentre* centre =
      mContext.mConfig ? mContext.mConfig->FindDataCentre(Name()) : nullptr;
    if (centre && !mContext.IsLeaving()) {
      takeoverRank = mContext.mMembers.TakeoverRankOf(
        mContext.mIdentity.mId, Name(), centre->mRegion);
    }
    if (mContext.IsLeaving() && !Holds()) {
      return;
    }
    auto write =
      mLease.NextWrite(mContext.Now(), takeoverRank, mContext.UniqueId());
    if (!write) {
      return;
    }
    Send(*write, {});
  }

  void Send(const ownership::LeaseWrite& aWrite, std::function<void()> aThen)
  {
    mWriting = true;
    base::Time sentAt = mContext.Now();
    mContext.mPorts.Commit(
      aWrite.mTransaction,
      [this, aWrite, sentAt, aThen](
        const base::Expected<platform::TransactionResult>& aOutcome) {
        mWriting = false;
        if (!aOutcome) {
          ++mContext.mCounters.mStoreFailures;
        }
        mLease.OnOutcome(aWrite, sentAt, aOutcome);
        NoticeChange();
        if (aThen) {
          aThen();
        }
        Step();
      });
  }

  void NoticeChange()
  {
    bool holds = mLease.IsOwner();
    base::Epoch epoch = mLease.HeldEpoch();
    if (epoch == mNoticedEpoch) {
      return;
    }
    mNoticedEpoch = epoch;
    mContext.Log({ holds ? "lease held" : "lease lost",
                   { { "dataCentre", Name().Value() },
                     { "epoch", std::to_string(epoch.Value()) },
                     { "out", mLease.IsOutOfService() ? "true" : "false" } } });
    if (holds) {
      ++mContext.mCounters.mTakeOvers;
      mHooks.mOnEpoch();
    } else {
      ++mContext.mCounters.mLeasesLost;
      mHooks.mOnLost();
    }
  }

  void FenceMissing()
  {
    base::Time now = mContext.Now();
    auto missing = mFences.Missing(mContext.mMembers.ListedServers(Name()),
                                   mLease.HeldEpoch());
    for (const platform::Member& server : missing) {
      base::Time& nextTry = mFenceTries[server.mId];
      if (now >= nextTry) {
        nextTry = now + kFenceRetry;
        Fence({ base::ServerId(server.mId), server.mAddress });
      }
    }
  }

  void Fence(const platform::ServerAddress& aServer)
  {
    base::Epoch epoch = mLease.HeldEpoch();
    mContext.mPorts.Fence(
      aServer,
      Name(),
      epoch,
      [this, aServer, epoch](const base::Expected<base::Epoch>& aAnswer) {
        // A failed fence is tried again after kFenceRetry.
        if (aAnswer) {
          mFences.OnAcknowledged(aServer.mId, std::min(*aAnswer, epoch));
        } else if (aAnswer.error().mCode == base::ErrorCode::eStaleEpoch) {
          ++mContext.mCounters.mStaleEpochs;
          Read();
        }
      });
  }

  Context<P>& mContext;
  ownership::Lease mLease;
  Hooks mHooks;
  ownership::FenceTracker mFences;
  dispatch::CreditLedger mCredits;
  std::map<std::string, base::Time> mFenceTries;
  base::Epoch mNoticedEpoch;
  bool mReading = false;
  bool mWriting = false;
};

} // namespace flamingoloom::control
