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
  mOperatorWatch = std::make_shared<TableWatch>(
    mPorts,
    mPorts.mRowDecoder->OperatorTable(),
    std::vector<std::string>{ "" },
    TableWatchTiming{},
    [this](const std::vector<Row>& aRows) { OnOperatorRows(aRows); });
  mOperatorWatch->Start();
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
  return mOperatorWatch && mOperatorWatch->IsComplete() &&
         mOperatorWatch->IsConnected() &&
         mPorts.mLoop->Now() - mOperatorWatch->LastContact() <
           mSettings.mStoreContactTimeout;
}

bool Instance::IsReady() const
{
  return !mSteppingDown && mActiveConfiguration.has_value() &&
         IsStoreReachable();
}

void Instance::CheckReadiness()
{
  const bool ready = IsReady();
  UpdateApi();
  if (ready != mWasReady) {
    mWasReady = ready;
    mPorts.mLog->Write("readiness", { { "ready", ready ? "1" : "0" } });
  }
  mPorts.mLoop->After(kReadinessCheckInterval, [this] { CheckReadiness(); });
}

void Instance::UpdateApi()
{
  mApi.SetStoreReachable(IsStoreReachable());
  mApi.SetConfigurationValidUntil(mOperatorWatch->LastContact() +
                                  mSettings.mStoreContactTimeout);
}

void Instance::OnOperatorRows(const std::vector<Row>& aRows)
{
  bool outOfServiceChanged = false;
  for (const auto& row : aRows) {
    if (row.mKey == mPorts.mRowDecoder->ConfigurationKey()) {
      auto read = row.mValue
                    ? mPorts.mRowDecoder->ReadConfiguration(*row.mValue)
                    : base::MakeError(base::ErrorCode::eNotFound,
                                      "read configuration",
                                      "store",
                                      "the row was removed");
      if (!read) {
        mPorts.mLog->Write("config_unreadable",
                           { { "error", read.error().ToString() } });
        continue;
      }
      if (mActiveConfiguration &&
          read->mVersion <= mActiveConfiguration->mVersion) {
        continue;
      }
      mActiveConfiguration = std::move(*read);
      mPorts.mLog->Write(
        "config_in_force",
        { { "version", std::to_string(mActiveConfiguration->mVersion) },
          { "queues", std::to_string(mActiveConfiguration->mQueues.size()) } });
      mApi.SetConfiguration(*mActiveConfiguration);
      if (mLeader) {
        mLeader->SetConfiguration(*mActiveConfiguration);
      }
      continue;
    }
    if (const auto dataCentre =
          mPorts.mRowDecoder->OutOfServiceDataCentre(row.mKey)) {
      outOfServiceChanged = true;
      if (row.mValue) {
        mOutOfServiceDataCentres.insert(*dataCentre);
      } else {
        mOutOfServiceDataCentres.erase(*dataCentre);
      }
      mPorts.mLog->Write(
        "data_centre",
        { { "name", dataCentre->Value() }, { "out", row.mValue ? "1" : "0" } });
    }
  }
  if (outOfServiceChanged && mLeader) {
    mLeader->SetOutOfServiceDataCentres(mOutOfServiceDataCentres);
  }
  UpdateApi();
}

// Leadership
// ---------------------------------------------------------------------

void Instance::OnLeaderRows(const std::vector<Row>& aRows)
{
  mElection.Observe(mPorts.mLoop->Now(), aRows, mLeaderWatch->StoreNowMs());
  for (const auto& row : aRows) {
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
      if (mActiveConfiguration) {
        mLeader->SetConfiguration(*mActiveConfiguration);
      }
      mLeader->SetOutOfServiceDataCentres(mOutOfServiceDataCentres);
      mLeader->Start();
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
