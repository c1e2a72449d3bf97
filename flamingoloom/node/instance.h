// One instance of the system: follows the operators' configuration, answers
// callers, and schedules while it holds the lead.
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
  // Unique among the lives of all instances.
  base::InstanceId mId;
  ElectionTiming mElection;
  // This instance's place in the order of claims; see ClaimDelay.
  base::Duration mClaimDelay{ 0 };
  // A store that takes longer than mFarStore to answer is in another region:
  // instances that are nearer to it claim first.
  base::Duration mFarStoreLatency = std::chrono::milliseconds(20);
  base::Duration mFarStorePenalty = std::chrono::milliseconds(400);
  // Not ready without an answer of the store for this long: one wait of the
  // watch, an answer, and some slack.
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
  // Gives the lead up and never takes it again. Callers are still answered.
  void StepDown();

  // Whether callers should be sent here.
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
