// Maintains the ownership lease of one data centre for an instance. It watches
// the stored rows, acquires, renews and releases the lease, fences backend
// servers, grants credits and reports when an operator's change is
// acknowledged. Not thread-safe.
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
  // mOnEpochAcquired is called when a new epoch is held, mOnOwnershipLost when
  // none is held any more.
  struct Hooks
  {
    std::function<void()> mOnEpochAcquired;
    std::function<void()> mOnOwnershipLost;
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
  // Like Holds(), but also true while the lease has expired and no other
  // instance has taken over.
  bool IsOwner() const { return mLease.IsOwner(); }

  // Applies the lease row and the data centre row, which must come from one
  // read.
  void Observe(const std::optional<platform::Row>& aLease,
               const std::optional<platform::Row>& aDataCentre)
  {
    mLease.Observe(mContext.Now(), aLease, aDataCentre);
    DetectChange();
  }

  // Applies the data centre row alone, which this instance has written or read
  // outside of Read(), and does what is due then.
  void ObserveDataCentre(const platform::Row& aDataCentre)
  {
    mLease.ObserveDataCentre(aDataCentre);
    OnTick();
  }

  // Reads the rows, renews or acquires the lease and fences servers, as far as
  // that is due. Must be called at each tick.
  void OnTick()
  {
    DetectChange();
    if (mLease.NeedsRead()) {
      Read();
    } else if (!mWriting) {
      WriteIfDue();
    }
    if (Holds() && mContext.mOptions.mMechanisms.mFence) {
      FenceUnacknowledged();
    }
  }

  // Reads the rows now instead of at the next watch interval.
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
        OnTick();
      });
  }

  // Releases the lease in favour of aSuccessor, after a write in flight if
  // there is one. Calls aDone when the outcome is known or if no lease is held.
  void Release(const base::InstanceId& aSuccessor, std::function<void()> aDone)
  {
    if (mWriting) {
      // A release now would conflict with the write in flight.
      mContext.mPorts.After(kReleaseRetryDelay, [this, aSuccessor, aDone] {
        Release(aSuccessor, aDone);
      });
      return;
    }
    auto write = mLease.Release(aSuccessor, mContext.UniqueId());
    DetectChange();
    if (!write) {
      aDone();
      return;
    }
    CommitWrite(*write, aDone);
  }

  // Returns whether work may be started under aEpoch now.
  bool MayStart(base::Epoch aEpoch)
  {
    if (!mContext.mOptions.mMechanisms.mFence) {
      return mLease.Holds(mContext.Now()) && !mLease.IsOutOfService();
    }
    return mLease.MayStartWork(mContext.Now()) && mLease.HeldEpoch() == aEpoch;
  }

  // Returns the backend servers that may get work under the held epoch.
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
                             "this instance may not start work in " +
                               Name().Value());
    }
    base::Duration validFor =
      std::min(mContext.mOptions.mCreditValidity, mLease.HeldUntil() - now);
    std::vector<dispatch::ServerSlots> servers;
    for (const platform::Member& server : StartableServers()) {
      servers.push_back({ { base::ServerId(server.mId), server.mAddress },
                          server.mSlots - mContext.mOptions.mRecordedSlots });
    }
    auto credits = mCredits.Grant(
      now, now + validFor, aRequest.mHolder, aRequest.mWanted, servers);
    return platform::CreditGrant{
      Name(), mLease.HeldEpoch(), std::move(credits), validFor
    };
  }

  // Reports whether the newest known row of the data centre has taken effect on
  // this instance, and if not, why.
  platform::DataCentreStatus Status()
  {
    platform::DataCentreStatus status;
    status.mRowVersion = mLease.DataCentreVersion();
    status.mReason = PendingReason();
    status.mAcknowledged = status.mReason.empty();
    return status;
  }

private:
  static constexpr base::Duration kReleaseRetryDelay =
    std::chrono::milliseconds(50);
  static constexpr base::Duration kFenceRetryDelay =
    std::chrono::milliseconds(500);

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
      return "credits have not expired yet";
    }
    auto missing = mFences.Missing(mContext.mMembers.ListedServers(Name()),
                                   mLease.HeldEpoch());
    if (missing.empty() || !mContext.mOptions.mMechanisms.mFence) {
      return {};
    }
    std::string reason = "backend servers have not acknowledged the epoch:";
    for (const platform::Member& server : missing) {
      reason += " " + server.mId;
    }
    return reason;
  }

  void WriteIfDue()
  {
    ownership::TakeoverRank takeoverRank;
    const config::DataCentre* dataCentre =
      mContext.mConfig ? mContext.mConfig->FindDataCentre(Name()) : nullptr;
    if (dataCentre && !mContext.IsShuttingDown()) {
      takeoverRank = mContext.mMembers.TakeoverRankOf(
        mContext.mIdentity.mId, Name(), dataCentre->mRegion);
    }
    if (mContext.IsShuttingDown() && !Holds()) {
      return;
    }
    auto write =
      mLease.NextWrite(mContext.Now(), takeoverRank, mContext.UniqueId());
    if (!write) {
      return;
    }
    CommitWrite(*write, {});
  }

  void CommitWrite(const ownership::LeaseWrite& aWrite,
                   std::function<void()> aThen)
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
        DetectChange();
        if (aThen) {
          aThen();
        }
        OnTick();
      });
  }

  void DetectChange()
  {
    bool holds = mLease.IsOwner();
    base::Epoch epoch = mLease.HeldEpoch();
    if (epoch == mReportedEpoch) {
      return;
    }
    mReportedEpoch = epoch;
    mContext.Log({ holds ? "lease held" : "lease lost",
                   { { "dataCentre", Name().Value() },
                     { "epoch", std::to_string(epoch.Value()) },
                     { "out", mLease.IsOutOfService() ? "true" : "false" } } });
    if (holds) {
      ++mContext.mCounters.mTakeOvers;
      mHooks.mOnEpochAcquired();
    } else {
      ++mContext.mCounters.mLeasesLost;
      mHooks.mOnOwnershipLost();
    }
  }

  void FenceUnacknowledged()
  {
    base::Time now = mContext.Now();
    auto missing = mFences.Missing(mContext.mMembers.ListedServers(Name()),
                                   mLease.HeldEpoch());
    for (const platform::Member& server : missing) {
      base::Time& nextFence = mNextFenceTimes[server.mId];
      if (now >= nextFence) {
        nextFence = now + kFenceRetryDelay;
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
      [this, aServer, epoch](const base::Expected<base::Epoch>& aAcknowledged) {
        // Other errors are retried after kFenceRetryDelay.
        if (aAcknowledged) {
          mFences.OnAcknowledged(aServer.mId, std::min(*aAcknowledged, epoch));
        } else if (aAcknowledged.error().mCode ==
                   base::ErrorCode::eStaleEpoch) {
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
  std::map<std::string, base::Time> mNextFenceTimes;
  base::Epoch mReportedEpoch;
  bool mReading = false;
  bool mWriting = false;
};

} // namespace flamingoloom::control
