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
    mPorts,
    SnapshotReplicaTiming{},
    [this](const std::string& aId, const OperatorSnapshot& aSnapshot) {
      OnSnapshot(aId, aSnapshot);
    });
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
  mApi.SetConfigurationValidUntil(ConfirmedAt() +
                                  mSettings.mStoreContactTimeout);
}

// The operators' table
// ---------------------------------------------------------------

base::Time Instance::ConfirmedAt() const
{
  return mOperatorWatch && mOperatorWatch->IsComplete()
           ? std::max(mOperatorsConfirmedAt, mOperatorWatch->LastContact())
           : mOperatorsConfirmedAt;
}

base::Duration Instance::ConfigurationAge() const
{
  return mPorts.mLoop->Now() - ConfirmedAt();
}

void Instance::ChooseOperatorSource()
{
  const auto now = mPorts.mLoop->Now();
  if (mLeader) {
    if (!mOperatorWatchIsLeaders) {
      TableWatchTiming timing;
      timing.mWait = mSettings.mLeaderWatchWait;
      WatchOperators(timing);
      mOperatorWatchIsLeaders = true;
    }
    return;
  }
  mOperatorWatchIsLeaders = false;
  // The first read of the leader's table shows whether there is a snapshot.
  const bool starting = !mLeaderWatch->IsComplete() &&
                        now - mStartedAt < mSettings.mConfirmationTimeout;
  // Reading the whole table beside a snapshot would only delay both.
  const auto timeout = mReplica->IsReading()
                         ? 2 * mSettings.mConfirmationTimeout
                         : mSettings.mConfirmationTimeout;
  const bool confirmed =
    mConfirmation && !mReplica->HasFailed() && now - mConfirmationAt < timeout;
  if (!starting && !confirmed && !mOperatorWatch) {
    TableWatchTiming timing;
    timing.mForgottenDelay = FullReadDelay();
    WatchOperators(timing);
  } else if (confirmed && mOperatorWatch) {
    DropOperatorWatch();
    mPorts.mLog->Write("operators_source", { { "source", "leader" } });
  }
}

void Instance::DropOperatorWatch()
{
  if (!mOperatorWatch) {
    return;
  }
  mOperatorsConfirmedAt = ConfirmedAt();
  if (mOperatorWatch->IsComplete()) {
    mOperatorVersion = std::max(mOperatorVersion, mOperatorWatch->Version());
  }
  mOperatorWatch->Stop();
  mOperatorWatch.reset();
}

base::Duration Instance::FullReadDelay() const
{
  // FNV-1a of the id, which spreads ids that differ in one character.
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char c : mSettings.mId.Value()) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3U;
  }
  const auto range = mSettings.mMaxFullReadDelay - mSettings.mMinFullReadDelay;
  return mSettings.mMinFullReadDelay +
         base::Duration(static_cast<std::int64_t>(
           hash % static_cast<std::uint64_t>(
                    std::max<std::int64_t>(1, range.count()))));
}

void Instance::WatchOperators(TableWatchTiming aTiming)
{
  DropOperatorWatch();
  mOperatorWatch = std::make_shared<TableWatch>(
    mPorts,
    mPorts.mRowDecoder->OperatorTable(),
    std::vector<std::string>{ "" },
    aTiming,
    [this](const std::vector<Row>& aRows) { OnOperatorRows(aRows); });
  mPorts.mLog->Write(
    "operators_source",
    { { "source", "table" }, { "after", std::to_string(mOperatorVersion) } });
  if (mOperatorVersion > 0) {
    mOperatorWatch->Resume(mOperatorVersion, mOperators.mRowVersions);
  } else {
    mOperatorWatch->Start();
  }
}

void Instance::OnOperatorRows(const std::vector<Row>& aRows)
{
  if (mOperatorWatch->Version() < mOperatorVersion) {
    // A snapshot of the leader has brought a newer state.
    return;
  }
  const auto outOfService = OutOfServiceDataCentres();
  for (const auto& row : aRows) {
    if (row.mValue) {
      mOperators.mRowVersions[row.mKey] = row.mVersion;
    } else {
      mOperators.mRowVersions.erase(row.mKey);
    }
    if (row.mKey != mPorts.mRowDecoder->ConfigurationKey()) {
      continue;
    }
    auto read = row.mValue ? mPorts.mRowDecoder->ReadConfiguration(*row.mValue)
                           : base::MakeError(base::ErrorCode::eNotFound,
                                             "read configuration",
                                             "store",
                                             "the row was removed");
    if (!read) {
      mPorts.mLog->Write("config_unreadable",
                         { { "error", read.error().ToString() } });
      continue;
    }
    Activate(std::make_shared<const Configuration>(std::move(*read)), "table");
  }
  mOperatorVersion = mOperatorWatch->Version();
  OnOutOfServiceChanged(outOfService);
  mPublicationDue = true;
  PublishOperators();
  UpdateApi();
}

void Instance::Activate(std::shared_ptr<const Configuration> aConfiguration,
                        const char* aSource)
{
  auto& active = mOperators.mConfiguration;
  if (active && aConfiguration->mVersion <= active->mVersion) {
    return;
  }
  active = std::move(aConfiguration);
  mPorts.mLog->Write("config_in_force",
                     { { "version", std::to_string(active->mVersion) },
                       { "queues", std::to_string(active->mQueues.size()) },
                       { "source", aSource } });
  mApi.SetConfiguration(active);
  if (mLeader) {
    mLeader->SetConfiguration(*active);
  }
}

std::set<base::DataCentreId> Instance::OutOfServiceDataCentres() const
{
  std::set<base::DataCentreId> dataCentres;
  for (const auto& [key, version] : mOperators.mRowVersions) {
    if (const auto dataCentre =
          mPorts.mRowDecoder->OutOfServiceDataCentre(key)) {
      dataCentres.insert(*dataCentre);
    }
  }
  return dataCentres;
}

void Instance::OnOutOfServiceChanged(
  const std::set<base::DataCentreId>& aBefore)
{
  const auto outOfService = OutOfServiceDataCentres();
  if (outOfService == aBefore) {
    return;
  }
  const auto logDifference =
    [this](const auto& aFrom, const auto& aOther, const char* aOut) {
      for (const auto& dataCentre : aFrom) {
        if (aOther.count(dataCentre) == 0) {
          mPorts.mLog->Write(
            "data_centre", { { "name", dataCentre.Value() }, { "out", aOut } });
        }
      }
    };
  logDifference(outOfService, aBefore, "1");
  logDifference(aBefore, outOfService, "0");
  if (mLeader) {
    mLeader->SetOutOfServiceDataCentres(outOfService);
  }
}

void Instance::PublishOperators()
{
  if (!mPublicationDue || !HasLeaderRead() || !mOperators.mConfiguration) {
    return;
  }
  mPublicationDue = false;
  mReplica->Publish(
    mOperators, mElection.EpochCondition(), [this](std::string aId) {
      return MakeConfirmation(std::move(aId));
    });
}

bool Instance::HasLeaderRead() const
{
  return mLeader && mOperatorWatchIsLeaders && mOperatorWatch->IsComplete() &&
         mOperatorWatch->LastContact() != base::Time();
}

SnapshotConfirmation Instance::MakeConfirmation(std::string aSnapshotId) const
{
  return { std::move(aSnapshotId),
           mOperatorWatch->Version(),
           mOperatorWatch->StoreNowMs() };
}

void Instance::OnConfirmation(const std::string& aValue)
{
  auto confirmation = DecodeConfirmation(aValue);
  if (!confirmation) {
    mPorts.mLog->Write("row_unreadable",
                       { { "key", kConfirmationKey },
                         { "error", confirmation.error().ToString() } });
    return;
  }
  if (confirmation->mTableVersion < mOperatorVersion) {
    // It was overtaken by a newer state.
    return;
  }
  mConfirmation = std::move(*confirmation);
  const std::chrono::milliseconds age(std::max<std::int64_t>(
    0, mLeaderWatch->StoreNowMs() - mConfirmation->mStoreMs));
  mConfirmationAt = mLeaderWatch->LastContact() - age;
  if (mLeader) {
    return;
  }
  if (mReplica->HeldId() == mConfirmation->mSnapshotId) {
    ApplyConfirmation();
  } else {
    mReplica->Fetch(mConfirmation->mSnapshotId);
  }
}

void Instance::OnSnapshot(const std::string& aId,
                          const OperatorSnapshot& aSnapshot)
{
  if (mLeader || !mConfirmation || mConfirmation->mSnapshotId != aId ||
      mConfirmation->mTableVersion < mOperatorVersion) {
    return;
  }
  const auto outOfService = OutOfServiceDataCentres();
  mOperators.mRowVersions = aSnapshot.mRowVersions;
  Activate(aSnapshot.mConfiguration, "leader");
  mOperatorVersion = mConfirmation->mTableVersion;
  OnOutOfServiceChanged(outOfService);
  ApplyConfirmation();
}

void Instance::ApplyConfirmation()
{
  mOperatorVersion = std::max(mOperatorVersion, mConfirmation->mTableVersion);
  mOperatorsConfirmedAt = std::max(mOperatorsConfirmedAt, mConfirmationAt);
  UpdateApi();
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
    if (row.mKey != kQueueLengthsKey) {
      continue;
    }
    auto lengths = jobs::DecodeQueueLengths(row.mValue.value_or(""));
    if (lengths) {
      mApi.SetQueueLengths(mPorts.mLoop->Now(), std::move(*lengths));
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
      if (mSteppingDown || !mElection.IsLeading()) {
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
      if (mOperators.mConfiguration) {
        mLeader->SetConfiguration(*mOperators.mConfiguration);
      }
      mLeader->SetOutOfServiceDataCentres(OutOfServiceDataCentres());
      mLeader->Start();
      mPublicationDue = true;
      ChooseOperatorSource();
      mPorts.mLoop->After(mSettings.mElection.mRenewInterval,
                          [this] { Renew(); });
    });
}

void Instance::Renew()
{
  if (!mLeader || !mElection.IsLeading() || mRenewalsInFlight > 0) {
    return;
  }
  ++mRenewalsInFlight;
  const Time sentAt = mPorts.mLoop->Now();
  auto renewal = mElection.Renewal(sentAt);
  if (const auto lengths = mLeader->QueueLengths()) {
    renewal.mChanges.push_back({ kLeaderTable,
                                 kQueueLengthsKey,
                                 jobs::EncodeQueueLengths(*lengths),
                                 std::nullopt });
  }
  PublishOperators();
  const auto snapshot = mReplica->PublishedId();
  if (snapshot && HasLeaderRead()) {
    renewal.mChanges.push_back(
      { kLeaderTable,
        kConfirmationKey,
        EncodeConfirmation(MakeConfirmation(*snapshot)),
        std::nullopt });
  }
  mPorts.mStore->Commit(
    renewal,
    kClaimTimeout,
    [this, sentAt](base::Expected<CommitResult> aResult) {
      --mRenewalsInFlight;
      if (!mLeader) {
        return;
      }
      if (aResult && !mElection.OnRenewed(sentAt, *aResult)) {
        EndLeadership();
        return;
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
  mPorts.mLog->Write("lead_released", {});
  mLeader->Stop();
  mLeader.reset();
  mReplica->StopPublishing();
  mElection.OnLost();
  mPorts.mStore->Commit(
    mElection.Release(),
    kClaimTimeout,
    [log = mPorts.mLog](const base::Expected<CommitResult>& aResult) {
      if (!aResult) {
        log->Write("release_failed",
                   { { "error", aResult.error().ToString() } });
      }
    });
}

} // namespace flamingoloom::node
