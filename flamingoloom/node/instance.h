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
  // The instance is not ready, and does not use its configuration, if the store
  // has not responded for this long: one wait of the watch, the response, and
  // some slack. Must be shorter than the time in which a new configuration has
  // to take effect.
  base::Duration mStoreContactTimeout = std::chrono::milliseconds(2400);
  LeaderTiming mLeader;
  scheduler::SchedulerSettings mScheduler;
  JobApiTiming mApi;
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
  const std::optional<Configuration>& ActiveConfiguration() const
  {
    return mActiveConfiguration;
  }

private:
  void OnOperatorRows(const std::vector<Row>& aRows);
  void OnLeaderRows(const std::vector<Row>& aRows);
  void ScheduleClaim();
  void TryClaim();
  void Renew();
  void EndLeadership();
  void CheckReadiness();
  // Passes what is known of the store's availability to the API.
  void UpdateApi();
  bool IsStoreReachable() const;

  const Ports mPorts;
  const InstanceSettings mSettings;
  JobApi mApi;
  Election mElection;
  std::shared_ptr<TableWatch> mOperatorWatch;
  std::shared_ptr<TableWatch> mLeaderWatch;
  std::shared_ptr<Leader> mLeader;
  std::optional<Configuration> mActiveConfiguration;
  std::set<base::DataCentreId> mOutOfServiceDataCentres;
  base::Duration mStoreLatency{ 0 };
  bool mClaiming = false;
  bool mSteppingDown = false;
  bool mWasReady = false;
  int mRenewalsInFlight = 0;
};

} // namespace flamingoloom::node
