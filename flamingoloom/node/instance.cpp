#include "flamingoloom/node/instance.h"

#include <algorithm>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::node {

using base::Time;

namespace {

// Well below the interval of 1 s at which the platform polls readiness.
constexpr auto kReadinessCheckInterval = std::chrono::milliseconds(200);
constexpr auto kClaimTimeout = std::chrono::milliseconds(1000);

} // namespace

Instance::Instance(Ports aPorts, InstanceSettings aSettings)
  : mPorts(aPorts)
  , mSettings(aSettings)
  , mApi(aPorts, aSettings.mApi)
  , mElection(aSettings.mId, aSettings.mElection, aSettings.mClaimDelay)
{
}

Instance::~Instance()
{
  EndLeadership();
}

void Instance::Start()
{
  mStartedAt = mPorts.mLoop->Now();
  mReplica = std::make_shared<SnapshotReplica>(
    mPorts, SnapshotReplicaTiming{}, [this] { ApplyConfirmation(); });
  mLeaderWatch = std::make_shared<TableWatch>(
    mPorts,
    kLeaderTable,
    std::vector<std::string>{ jobs::kSchedulerPartition },
    TableWatchTiming{},
    [this](const std::vector<Row>& aRows) { OnLeaderRows(aRows); });
  mLeaderWatch->Start();
  CheckReadiness();
}

bool Instance::IsStoreReachable() const
{
  // A failed call is detected at once, a stalled connection only by the missing
  // response.
  const auto& watch = mOperatorWatch ? mOperatorWatch : mLeaderWatch;
  return watch && watch->IsConnected() &&
         ConfigurationAge() < mSettings.mStoreContactTimeout;
}

bool Instance::IsReady() const
{
  return !mSteppingDown && mOperators.mConfiguration != nullptr &&
         IsStoreReachable();
}

scheduler::FleetSummary Instance::Fleet() const
{
  return mLeader ? mLeader->Fleet() : scheduler::FleetSummary{};
}

std::int64_t Instance::JobMemory() const
{
  const auto use = mLeader ? mLeader->Memory() : std::nullopt;
  return use ? use->Total() : 0;
}

void Instance::CheckReadiness()
{
  ChooseOperatorSource();
  UpdateApi();
  const bool ready = IsReady();
  if (ready != mWasReady) {
    mWasReady = ready;
    mPorts.mLog->Write(
      "readiness",
      { { "ready", ready ? "1" : "0" },
        { "config_age_ms",
          std::to_string(base::ToMilliseconds(ConfigurationAge())) } });
  }
  mPorts.mLoop->After(kReadinessCheckInterval, [this] { CheckReadiness(); });
}

void Instance::UpdateApi()
{
  mApi.SetStoreReachable(IsStoreReachable());
  const auto validUntil = ConfirmedAt() + mSettings.mStoreContactTimeout;
  mApi.SetConfigurationValidUntil(validUntil);
  if (mLeader) {
    mLeader->SetConfigurationValidUntil(validUntil);
  }
}

// Leadership
// ---------------------------------------------------------------------

void Instance::OnLeaderRows(const std::vector<Row>& aRows)
{
  mElection.Observe(mPorts.mLoop->Now(), aRows, mLeaderWatch->StoreNowMs());
  for (const auto& row : aRows) {
    if (row.mKey == kConfirmationKey) {
      OnConfirmation(row.mValue.value_or(""));
    }
    if (row.mKey == kLeaseBoundsKey) {
      const auto bounds = DecodeLeaseBounds(row.mValue.value_or(""));
      mObservedLeaseBounds = bounds ? std::optional(*bounds) : std::nullopt;
    }
    if (row.mKey == kJobMemoryKey) {
      OnJobMemory(row);
    }
    if (row.mKey != kQueueLengthsKey) {
      continue;
    }
    mApi.OnJobsCounted(mLeaderWatch->LastContact());
    auto lengths = jobs::DecodeQueueLengths(row.mValue.value_or(""));
    if (lengths) {
      // The rows may have waited for this process.
      mApi.SetQueueLengths(mLeaderWatch->LastContact(), std::move(*lengths));
    } else {
      mPorts.mLog->Write(
        "row_unreadable",
        { { "key", row.mKey }, { "error", lengths.error().ToString() } });
    }
  }
  if (mLeader && !mElection.IsLeading()) {
    mPorts.mLog->Write("lead_superseded",
                       { { "holder", mElection.Holder().Value() } });
    EndLeadership();
  }
  ScheduleClaim();
}

void Instance::OnJobMemory(const Row& aRow)
{
  auto use = admission::DecodeMemoryUse(aRow.mValue.value_or(""));
  if (!use) {
    mPorts.mLog->Write(
      "row_unreadable",
      { { "key", aRow.mKey }, { "error", use.error().ToString() } });
    return;
  }
  mApi.SetJobMemory(std::move(*use));
  mApi.OnJobsCounted(mLeaderWatch->LastContact());
}

void Instance::ScheduleClaim()
{
  const auto at = mElection.ClaimAt();
  if (!at || mSteppingDown) {
    return;
  }
  auto claimAt = *at;
  if (mStoreLatency > mSettings.mFarStoreLatency) {
    claimAt += mSettings.mFarStorePenalty;
  }
  const auto wait =
    std::max<base::Duration>(base::Duration(0), claimAt - mPorts.mLoop->Now());
  mPorts.mLoop->After(wait, [this, expected = *at] {
    // Claims only if the election has not changed meanwhile.
    if (mElection.ClaimAt() == expected) {
      TryClaim();
    }
  });
}

void Instance::TryClaim()
{
  if (mClaiming || mSteppingDown || mLeader) {
    return;
  }
  // There is no check that the store is reachable: if this instance has missed
  // the renewals of a live holder, the conditions of its claim fail, so a check
  // would only save the call.
  mClaiming = true;
  const Time sentAt = mPorts.mLoop->Now();
  mPorts.mStore->Commit(
    mElection.Claim(),
    kClaimTimeout,
    [this, sentAt, previousHolder = mElection.Holder()](
      base::Expected<CommitResult> aResult) {
      mClaiming = false;
      if (aResult && aResult->mApplied) {
        mElection.OnClaimed(sentAt, *aResult);
      }
      if (mSteppingDown) {
        if (mElection.IsLeading()) {
          // No lease was granted.
          Release(InheritedLeaseBounds());
        }
        return;
      }
      if (!mElection.IsLeading()) {
        // Another claim was applied first, or the outcome is unknown and the
        // watch will show it. If the watch reports no change, the claim is
        // retried.
        mPorts.mLoop->After(mSettings.mElection.mRenewInterval, [this] {
          if (!mLeader) {
            ScheduleClaim();
          }
        });
        return;
      }
      mPorts.mLog->Write("lead_taken",
                         { { "epoch", std::to_string(mElection.Epoch()) },
                           { "before", previousHolder.Value() } });
      mLeader = std::make_shared<Leader>(
        mPorts,
        mSettings.mLeader,
        mSettings.mScheduler,
        mElection.EpochCondition(),
        mElection.Epoch(),
        [this] { return mElection.ValidUntil(); },
        [this] {
          mElection.OnLost();
          // Leader calls this from one of its own functions, which has to
          // return before the object is destroyed.
          mPorts.mLoop->After(base::Duration(0), [this] { EndLeadership(); });
        });
      mSentJobMemory.clear();
      if (mOperators.mConfiguration) {
        mLeader->SetConfiguration(*mOperators.mConfiguration);
      }
      UpdateApi();
      mLeader->SetOutOfServiceDataCentres(OutOfServiceDataCentres());
      mLeader->Start();
      mPublicationDue = true;
      ChooseOperatorSource();
      mPorts.mLoop->After(mSettings.mElection.mRenewInterval,
                          [this] { Renew(); });
    });
}

void Instance::AddCounts(Transaction& aRenewal)
{
  const auto lengths = mLeader->QueueLengths();
  const auto memory = mLeader->Memory();
  if (!lengths || !memory) {
    return;
  }
  auto value = jobs::EncodeQueueLengths(*lengths);
  // The store would reject the whole renewal. Callers who ask for a length are
  // asked to come back instead.
  const bool fits = value.size() <= jobs::kMaxValueBytes;
  if (fits) {
    aRenewal.mChanges.push_back(
      { kLeaderTable, kQueueLengthsKey, std::move(value), std::nullopt });
  } else {
    mPorts.mLog->Write("queue_lengths_too_large",
                       { { "queues", std::to_string(lengths->size()) },
                         { "bytes", std::to_string(value.size()) } });
  }
  auto use =
    admission::EncodeMemoryUse(*memory, mSettings.mApi.mAdmission.mLimit);
  // Either row tells the other instances that the leader counts.
  if (use != mSentJobMemory || !fits) {
    mSentJobMemory = use;
    aRenewal.mChanges.push_back(
      { kLeaderTable, kJobMemoryKey, std::move(use), std::nullopt });
  }
}

void Instance::Renew()
{
  if (!mLeader || !mElection.IsLeading() || mRenewalsInFlight > 0) {
    return;
  }
  ++mRenewalsInFlight;
  const Time sentAt = mPorts.mLoop->Now();
  auto renewal = mElection.Renewal(sentAt);
  AddCounts(renewal);
  PublishOperators();
  const auto snapshot = mReplica->PublishedId();
  if (snapshot && HasLeaderRead()) {
    renewal.mChanges.push_back(
      { kLeaderTable,
        kConfirmationKey,
        EncodeConfirmation({ *snapshot, LeaderReading() }),
        std::nullopt });
  }
  const auto bounds = mLeader->ChangedLeaseBounds(
    [this](Time aTime) { return mElection.StoreMsAtLatest(aTime); });
  if (bounds) {
    mLeader->OnLeaseBoundsSent(*bounds);
    renewal.mChanges.push_back({ kLeaderTable,
                                 kLeaseBoundsKey,
                                 EncodeLeaseBounds(*bounds),
                                 std::nullopt });
  }
  mPorts.mStore->Commit(
    renewal,
    kClaimTimeout,
    [this, sentAt, bounds](base::Expected<CommitResult> aResult) {
      --mRenewalsInFlight;
      if (!mLeader) {
        return;
      }
      if (!aResult || !aResult->mApplied) {
        mSentJobMemory.clear();
      }
      if (aResult && aResult->mApplied && bounds) {
        mLeader->OnLeaseBoundsStored(*bounds);
      }
      if (aResult && !mElection.OnRenewed(sentAt, *aResult)) {
        EndLeadership();
        return;
      }
      if (aResult && aResult->mApplied) {
        mLeader->OnLeadershipRenewed();
      }
      const auto& timing = mSettings.mElection;
      base::Duration wait = timing.mRenewRetryDelay;
      if (aResult) {
        mStoreLatency = mPorts.mLoop->Now() - sentAt;
        wait = aResult->mApplied ? timing.mRenewInterval : base::Duration(0);
      }
      mPorts.mLoop->After(wait, [this] { Renew(); });
    });
}

void Instance::EndLeadership()
{
  if (mLeader) {
    mLeader->Stop();
    mLeader.reset();
    mReplica->StopPublishing();
    ScheduleClaim();
  }
}

void Instance::StepDown()
{
  mSteppingDown = true;
  if (!mLeader) {
    return;
  }
  mLeader->Stop();
  const auto bounds = mLeader->FinalLeaseBounds(
    [this](Time aTime) { return mElection.StoreMsAtLatest(aTime); },
    InheritedLeaseBounds());
  mLeader.reset();
  mReplica->StopPublishing();
  Release(bounds);
}

std::optional<LeaseBounds> Instance::InheritedLeaseBounds() const
{
  auto bounds = mObservedLeaseBounds;
  if (!bounds || bounds->mEpoch != mElection.Epoch() - 1) {
    return std::nullopt;
  }
  bounds->mEpoch = mElection.Epoch();
  return bounds;
}

void Instance::Release(const std::optional<LeaseBounds>& aBounds)
{
  mPorts.mLog->Write("lead_released", {});
  auto release = mElection.Release();
  if (aBounds) {
    release.mChanges.push_back({ kLeaderTable,
                                 kLeaseBoundsKey,
                                 EncodeLeaseBounds(*aBounds),
                                 std::nullopt });
  }
  mElection.OnLost();
  mPorts.mStore->Commit(
    release,
    kClaimTimeout,
    [log = mPorts.mLog](const base::Expected<CommitResult>& aResult) {
      if (!aResult) {
        log->Write("release_failed",
                   { { "error", aResult.error().ToString() } });
      }
    });
}

} // namespace flamingoloom::node
