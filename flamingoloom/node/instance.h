// One instance of the system: applies the operators' configuration, serves
// callers, and schedules while it is the leader.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "flamingoloom/node/election.h"
#include "flamingoloom/node/job_api.h"
#include "flamingoloom/node/leader.h"
#include "flamingoloom/node/ports.h"
#include "flamingoloom/node/snapshot_replica.h"
#include "flamingoloom/node/table_watch.h"

namespace flamingoloom::node {

struct InstanceSettings
{
  // Unique among the incarnations of all instances.
  base::InstanceId mId;
  ElectionTiming mElection;
  // Delay of this instance's claims of leadership; see ClaimDelay.
  base::Duration mClaimDelay{ 0 };
  // A store that takes longer than mFarStoreLatency to respond is in another
  // region. The claims of this instance are then delayed by mFarStorePenalty,
  // so that instances nearer to the store claim first.
  base::Duration mFarStoreLatency = std::chrono::milliseconds(20);
  base::Duration mFarStorePenalty = std::chrono::milliseconds(400);
  // The instance is not ready, and does not use its configuration, if that was
  // not confirmed for this long: one wait of the watch, the response, and some
  // slack. Must be shorter than the time in which a new configuration has to
  // take effect.
  base::Duration mStoreContactTimeout = std::chrono::milliseconds(2400);
  // An instance watches the operators' table itself if the leader has not
  // confirmed a snapshot of it for this long. Longer than the leader's wait,
  // the interval of its renewals and their transit.
  base::Duration mConfirmationTimeout = std::chrono::milliseconds(1500);
  // Without a leader an instance reads that table in full if the store has
  // forgotten its changes. The delay gives a successor time to confirm the
  // snapshot instead, and spreads the reads of all instances over the links
  // that they share.
  base::Duration mMinFullReadDelay = std::chrono::milliseconds(2000);
  base::Duration mMaxFullReadDelay = std::chrono::milliseconds(6000);
  // How long the store may hold the response to the leader's watch of that
  // table. It bounds the age of the leader's confirmations.
  base::Duration mLeaderWatchWait = std::chrono::milliseconds(300);
  LeaderTiming mLeader;
  scheduler::SchedulerSettings mScheduler;
  JobApiSettings mApi;
};

class Instance
{
public:
  Instance(Ports aPorts, InstanceSettings aSettings);
  ~Instance();

  void Start();
  // Steps down as leader and never claims leadership again. Callers are still
  // served.
  void StepDown();

  // Whether callers should be routed to this instance.
  bool IsReady() const;
  JobApi& Api() { return mApi; }
  // nullptr until there is one.
  const std::shared_ptr<const Configuration>& ActiveConfiguration() const
  {
    return mOperators.mConfiguration;
  }
  // The servers as this instance knows them while it is the leader; empty
  // otherwise.
  scheduler::FleetSummary Fleet() const;
  // The memory of all jobs in bytes, by an upper estimate, while this instance
  // is the leader; 0 otherwise.
  std::int64_t JobMemory() const;
  // How long ago the active configuration was certainly the newest one.
  base::Duration ConfigurationAge() const;

private:
  void OnOperatorRows(const std::vector<Row>& aRows);
  void OnConfirmation(const std::string& aValue);
  // Uses the snapshot of the last confirmation, unless it is not held or this
  // instance knows a newer state of the operators' table.
  void ApplyConfirmation();
  // Uses aConfiguration if it is newer than the active one.
  void Activate(std::shared_ptr<const Configuration> aConfiguration,
                const char* aSource);
  // Watches the operators' table while this instance is the leader or the
  // leader confirms no snapshot of it.
  void ChooseOperatorSource();
  void WatchOperators(TableWatchTiming aTiming);
  // How long to wait for a leader before reading that table in full.
  base::Duration FullReadDelay() const;
  // Keeps the state that the watch has read.
  void DropOperatorWatch();
  // Publishes the state if it may differ from what is published, and this
  // instance has read it as the leader.
  void PublishOperators();
  bool HasLeaderRead() const;
  // The reading of which mOperators is the state. HasLeaderRead must be true.
  TableReading LeaderReading() const;
  std::set<base::DataCentreId> OutOfServiceDataCentres() const;
  // aBefore is their set before the operators' table changed.
  void OnOutOfServiceChanged(const std::set<base::DataCentreId>& aBefore);
  // When the state of the operators' table was certainly the newest one.
  base::Time ConfirmedAt() const;
  void OnLeaderRows(const std::vector<Row>& aRows);
  void OnJobMemory(const Row& aRow);
  void ScheduleClaim();
  void TryClaim();
  void Renew();
  // Adds the rows of what the leader has counted to a renewal.
  void AddCounts(Transaction& aRenewal);
  void EndLeadership();
  // Releases leadership, and leaves aBounds to the successor.
  void Release(const std::optional<LeaseBounds>& aBounds);
  // What the direct predecessor has left, as a row of this epoch: it holds for
  // the successor as long as this instance grants no lease.
  std::optional<LeaseBounds> InheritedLeaseBounds() const;
  void CheckReadiness();
  // Passes what is known of the store's availability to the API.
  void UpdateApi();
  bool IsStoreReachable() const;

  const Ports mPorts;
  const InstanceSettings mSettings;
  JobApi mApi;
  Election mElection;
  // Set while the instance watches the operators' table itself.
  std::shared_ptr<TableWatch> mOperatorWatch;
  bool mOperatorWatchIsLeaders = false;
  bool mPublicationDue = false;
  std::shared_ptr<TableWatch> mLeaderWatch;
  std::shared_ptr<SnapshotReplica> mReplica;
  std::shared_ptr<Leader> mLeader;
  // The row kJobMemoryKey that the current leader, this instance, last sent.
  std::string mSentJobMemory;
  // As observed in the leader's table. A claim is applied only if no renewal
  // has come after what was observed, so this is what the predecessor left.
  std::optional<LeaseBounds> mObservedLeaseBounds;
  // The state of the operators' table, and the version of that table.
  OperatorSnapshot mOperators;
  std::int64_t mOperatorVersion = 0;
  // The last confirmation, and its time by this instance's clock.
  std::optional<SnapshotConfirmation> mConfirmation;
  base::Time mConfirmationAt;
  // As ConfirmedAt, without the contact of mOperatorWatch.
  base::Time mOperatorsConfirmedAt;
  base::Time mStartedAt;
  base::Duration mStoreLatency{ 0 };
  bool mClaiming = false;
  bool mSteppingDown = false;
  bool mWasReady = false;
  int mRenewalsInFlight = 0;
};

} // namespace flamingoloom::node
