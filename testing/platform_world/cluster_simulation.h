// Simulated cluster: several instances with a store and servers under one
// virtual clock, and seeded random faults in all of them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "flamingoloom/node/instance.h"
#include "testing/fakes/virtual_clock.h"
#include "testing/platform_world/fake_servers.h"
#include "testing/platform_world/fake_store.h"
#include "testing/platform_world/invariant_checker.h"

namespace flamingoloom::testing::platform_world {

struct SimulationOptions
{
  std::uint64_t mSeed = 1;
  int mInstances = 3;
  int mServers = 6;
  int mJobs = 25;
  // Jobs are submitted and faults begin within this time; afterwards all faults
  // heal.
  base::Duration mLoadDuration = std::chrono::seconds(30);
  base::Duration mQuietDuration = std::chrono::seconds(45);
  // Tasks take between 0.3 s and this time.
  base::Duration mMaxTaskTime = std::chrono::seconds(4);
  bool mFaults = true;
  // Rows that are in the store before the first instance starts.
  std::vector<node::Transaction> mStoredRows;
  // Changes settings of the instances, for instance to show that the invariant
  // checker detects a mechanism that does not work.
  std::function<void(node::InstanceSettings&)> mAdjustSettings;
};

class ClusterSimulation
{
public:
  explicit ClusterSimulation(SimulationOptions aOptions);
  ~ClusterSimulation();

  void Run();

  // For tests that play their own course of events instead of Run.
  void RunFor(base::Duration aDuration) { mClock.RunFor(aDuration); }
  base::Time Now() const { return mClock.Now(); }
  void Submit(const jobs::JobSpec& aJob);
  // The server and all that runs there is lost for good.
  void LoseServer(const base::ServerId& aServer);
  // The server works on, but nobody reaches it, nor it the store, for
  // aDuration.
  void CutServer(const base::ServerId& aServer, base::Duration aDuration);
  // The epoch in the store.
  std::int64_t Epoch() const;
  // Ends the leader, with or without releasing its lease, and starts another
  // instance a second later. Returns false if there is no leader.
  bool EndLeader(bool aPlanned);
  const InvariantChecker& Invariants() const { return mChecker; }
  const FakeStore& Store() const { return mStore; }

private:
  class FakeRowDecoder;
  class TraceLog;
  struct Member;

  void StartInstance(Member& aMember);
  void KillInstance(Member& aMember);
  void SubmitJob(int aNumber);
  void CallSubmit(const jobs::JobSpec& aJob, int aCallAttempt);
  void CancelJob(const std::string& aId);
  void QueryStates();
  void InjectFault();
  void StoreServerList();
  // Removes the entry of the server, unless it is reachable again by then.
  void RemoveEntryLater(const base::ServerId& aServer);
  Member* RandomMember();

  const SimulationOptions mOptions;
  fakes::VirtualClock mClock;
  InvariantChecker mChecker;
  FakeStore mStore;
  FakeServers mServers;
  std::unique_ptr<FakeRowDecoder> mRowDecoder;
  std::unique_ptr<TraceLog> mLog;
  std::vector<std::unique_ptr<Member>> mMembers;
  std::map<std::string, jobs::JobSpec> mJobs;
  int mIncarnations = 0;
};

} // namespace flamingoloom::testing::platform_world
