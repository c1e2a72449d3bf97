// Where an instance has the operators' table from: the leader's snapshots,
// while the leader confirms them, or the table itself.
#include "flamingoloom/node/instance.h"

#include <algorithm>

namespace flamingoloom::node {

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
  mReplica->Publish(mOperators, mElection.EpochCondition(), LeaderReading());
}

bool Instance::HasLeaderRead() const
{
  return mLeader && mOperatorWatchIsLeaders && mOperatorWatch->IsComplete() &&
         mOperatorWatch->LastContact() != base::Time();
}

TableReading Instance::LeaderReading() const
{
  return { mOperatorWatch->Version(), mOperatorWatch->StoreNowMs() };
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
  const bool otherSnapshot =
    !mConfirmation || mConfirmation->mSnapshotId != confirmation->mSnapshotId;
  const bool overtaken = confirmation->mReading.mVersion < mOperatorVersion;
  if (otherSnapshot) {
    mPorts.mLog->Write(
      "snapshot_confirmed",
      { { "snapshot", confirmation->mSnapshotId },
        { "table_version", std::to_string(confirmation->mReading.mVersion) },
        { "known_version", std::to_string(mOperatorVersion) },
        { "held", mReplica->HeldId() },
        { "overtaken", overtaken ? "1" : "0" } });
  }
  if (overtaken) {
    // It was overtaken by a newer state.
    return;
  }
  mConfirmation = std::move(*confirmation);
  const std::chrono::milliseconds age(std::max<std::int64_t>(
    0, mLeaderWatch->StoreNowMs() - mConfirmation->mReading.mStoreMs));
  mConfirmationAt = mLeaderWatch->LastContact() - age;
  if (mLeader) {
    return;
  }
  mReplica->Fetch(mConfirmation->mSnapshotId);
  ApplyConfirmation();
}

void Instance::ApplyConfirmation()
{
  if (mLeader || !mConfirmation ||
      mConfirmation->mReading.mVersion < mOperatorVersion) {
    return;
  }
  const auto* snapshot = mReplica->FindHeld(mConfirmation->mSnapshotId);
  if (snapshot == nullptr) {
    return;
  }
  const auto outOfService = OutOfServiceDataCentres();
  mOperators.mRowVersions = snapshot->mRowVersions;
  Activate(snapshot->mConfiguration, "leader");
  mOperatorVersion = mConfirmation->mReading.mVersion;
  mOperatorsConfirmedAt = std::max(mOperatorsConfirmedAt, mConfirmationAt);
  OnOutOfServiceChanged(outOfService);
  UpdateApi();
}

} // namespace flamingoloom::node
