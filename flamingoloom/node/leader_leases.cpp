// What a leader knows of the leases of its predecessors, and tells its
// successor of its own.
#include "flamingoloom/node/leader.h"

#include <utility>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

using base::Time;

namespace {

constexpr auto kReadRetryDelay = std::chrono::milliseconds(150);
// Keeps the row below the store's limit of 64 KiB, with ids of 200 bytes.
constexpr std::size_t kMaxServers = 200;

} // namespace

Time Leader::EarlierLeasesExpireBy() const
{
  // A lease lasts longer by this instance's clock if the server's clock is
  // slow, which may be by 2%.
  const auto bound = std::chrono::duration_cast<base::Duration>(
    mTiming.mLeaseBeyondLeadership / mTiming.mSession.mMinClockRate);
  return mStartedAt + bound;
}

void Leader::LoadLeaseBounds()
{
  const std::string key = kLeaseBoundsKey;
  mPorts.mStore->Read(
    kLeaderTable,
    jobs::kSchedulerPartition,
    key,
    key + '\0',
    mTiming.mReadTimeout,
    [self = shared_from_this()](const base::Expected<Rows>& aRows) {
      if (self->mPhase != Phase::eLoading) {
        return;
      }
      if (!aRows) {
        self->mPorts.mLoop->After(kReadRetryDelay, [self] {
          if (self->mPhase == Phase::eLoading) {
            self->LoadLeaseBounds();
          }
        });
        return;
      }
      for (const auto& row : aRows->mRows) {
        const auto bounds = DecodeLeaseBounds(row.mValue.value_or(""));
        if (!bounds) {
          self->mPorts.mLog->Write(
            "row_unreadable",
            { { "key", row.mKey }, { "error", bounds.error().ToString() } });
          continue;
        }
        self->mEarlierLeases = ToEarlierLeases(*bounds,
                                               self->mEpoch,
                                               aRows->mStoreNowMs,
                                               self->mPorts.mLoop->Now(),
                                               self->EarlierLeasesExpireBy());
        self->mPorts.mLog->Write(
          "lease_bounds",
          { { "epoch", std::to_string(bounds->mEpoch) },
            { "released", bounds->mOthersMs ? "1" : "0" },
            { "servers", std::to_string(bounds->mServersMs.size()) } });
      }
      self->mLeaseBoundsLoaded = true;
      self->Load(0, "");
    });
}

std::optional<LeaseBounds> Leader::ChangedLeaseBounds(
  const ToStoreMs& aToStoreMs)
{
  if (mPhase != Phase::eScheduling) {
    return std::nullopt;
  }
  LeaseBounds bounds{ mEpoch, std::nullopt, {} };
  for (const auto& [id, server] : mScheduler.ServerFleet().Servers()) {
    // The leases of a server that has responded to this leader end soon, and
    // are to be renewed at once when it comes back.
    if (server.mAttempts.empty() || server.mListed || server.mFenced ||
        bounds.mServersMs.size() >= kMaxServers) {
      continue;
    }
    // A server that is listed already gets no lease meanwhile, so its bound
    // does not change.
    const auto stored = mStoredLeaseBounds
                          ? mStoredLeaseBounds->mServersMs.find(id)
                          : bounds.mServersMs.end();
    if (mStoredLeaseBounds && stored != mStoredLeaseBounds->mServersMs.end()) {
      bounds.mServersMs.insert(*stored);
    } else if (const auto ms = aToStoreMs(mScheduler.AttemptsEndBy(server))) {
      bounds.mServersMs.emplace(id, *ms);
    }
  }
  if (mStoredLeaseBounds == bounds) {
    return std::nullopt;
  }
  return bounds;
}

void Leader::OnLeaseBoundsSent(const LeaseBounds& aBounds)
{
  // Until the row is stored, either one may be.
  mStoredLeaseBounds.reset();
  for (const auto& [id, ms] : aBounds.mServersMs) {
    mServersWithoutLease.insert(id);
  }
}

void Leader::OnLeaseBoundsStored(const LeaseBounds& aBounds)
{
  mStoredLeaseBounds = aBounds;
  const auto before = std::exchange(mServersWithoutLease, {});
  for (const auto& [id, ms] : aBounds.mServersMs) {
    mServersWithoutLease.insert(id);
  }
  for (const auto& id : before) {
    const auto session = mSessions.find(id);
    if (mServersWithoutLease.count(id) == 0 && session != mSessions.end()) {
      session->second->RequestLease();
    }
  }
}

std::optional<LeaseBounds> Leader::FinalLeaseBounds(
  const ToStoreMs& aToStoreMs,
  const std::optional<LeaseBounds>& aInherited) const
{
  if (!mLeaseBoundsLoaded) {
    return aInherited;
  }
  // Before the jobs are restored no lease is granted.
  if (mRowsUnreadable) {
    // Attempts that are not known may hold leases.
    return std::nullopt;
  }
  const auto leases =
    mRestored ? mScheduler.LeasesAtRelease(mPorts.mLoop->Now(), kMaxServers)
              : mEarlierLeases;
  LeaseBounds bounds{ mEpoch, aToStoreMs(leases.Default()), {} };
  if (!bounds.mOthersMs) {
    return std::nullopt;
  }
  for (const auto& [id, time] : leases.ByServer()) {
    bounds.mServersMs.emplace(id, *aToStoreMs(time));
  }
  return bounds;
}

} // namespace flamingoloom::node
