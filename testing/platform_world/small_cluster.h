// A few instances with a store and backend servers under virtual time, whose
// faults a test places one by one.
//
//   SmallCluster cluster({});
//   cluster.RunFor(seconds(3));
//   cluster.Submit(0, 1, { 1, milliseconds(800) });
//   cluster.Loop(cluster.Leader()).Pause();
//
// Instances, servers and jobs are numbered from 0. Not thread-safe.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/node/instance.h"
#include "testing/fakes/virtual_clock.h"
#include "testing/platform_world/disturbed_ports.h"
#include "testing/platform_world/fake_servers.h"
#include "testing/platform_world/fake_store.h"
#include "testing/platform_world/invariant_checker.h"
#include "testing/platform_world/pausable_loop.h"

namespace flamingoloom::testing::platform_world {

struct SmallClusterOptions
{
  int mInstances = 2;
  int mServers = 2;
};

// A job of one step with tasks that work for mTaskTime.
struct SmallJob
{
  int mTasks = 1;
  base::Duration mTaskTime = std::chrono::milliseconds(800);
  std::string mKey = "key";
};

class SmallCluster
{
public:
  explicit SmallCluster(SmallClusterOptions aOptions);
  ~SmallCluster();

  void RunFor(base::Duration aDuration) { mClock.RunFor(aDuration); }
  fakes::VirtualClock& Clock() { return mClock; }
  FakeStore& Store() { return mStore; }
  FakeServers& Servers() { return mServers; }
  const InvariantChecker& Invariants() const { return mChecker; }
  const std::vector<Order>& Orders() const { return mOrders; }
  // Whether every job that was accepted is done, as the store tells.
  bool AllDone();

  // The holder of the lease of leadership. There must be one.
  std::size_t Leader() const;
  std::int64_t Epoch() const;
  node::Instance& Instance(std::size_t aInstance);
  PausableLoop& Loop(std::size_t aInstance);
  StoreConnection& Connection(std::size_t aInstance);
  DisturbedStore& StoreOf(std::size_t aInstance);
  DisturbedServers& ServersOf(std::size_t aInstance);
  // Ends the instance at once.
  void Kill(std::size_t aInstance);
  // Starts the instance again. It must have been killed.
  void Restart(std::size_t aInstance);

  // Writes a configuration with one queue, "host" and "/q/".
  void Configure(std::int64_t aVersion, const std::vector<std::string>& aKeys);
  // Writes or removes the entry of a server.
  void ListServer(int aServer, const std::string& aAddress);
  void UnlistServer(int aServer);
  static base::ServerId ServerId(int aServer);
  // aServer is from now on the one at aAddress.
  void SetServerAt(const std::string& aAddress, int aServer)
  {
    mAddresses.insert_or_assign(aAddress, ServerId(aServer));
  }

  // Sends one call; see Answer. A job is the same at each call.
  void Submit(std::size_t aInstance, int aJob, const SmallJob& aSpec = {});
  // Sends the same until the job is accepted, to one instance after the other.
  void SubmitUntilAccepted(int aJob, const SmallJob& aSpec = {});
  void Cancel(std::size_t aInstance, int aJob);
  // The answer to a question for the queue's length.
  node::CallerResponse QueryLength(std::size_t aInstance);
  // The answer to the last call for the job; nullopt while there is none.
  std::optional<node::CallerStatus> Answer(int aJob) const;
  // The answers to all calls that handed the job in.
  const std::vector<node::CallerStatus>& SubmitAnswers(int aJob)
  {
    return mSubmitAnswers[aJob];
  }
  bool HasJobRow(int aJob) const;
  static std::string JobId(int aJob);

private:
  class RowDecoder;
  class TraceLog;
  struct Member;

  void StartInstance(Member& aMember);
  void SubmitAgain(std::size_t aInstance, int aJob, SmallJob aSpec);

  fakes::VirtualClock mClock{ 1 };
  InvariantChecker mChecker;
  FakeStore mStore{ mClock };
  FakeServers mServers;
  std::unique_ptr<RowDecoder> mRowDecoder;
  std::unique_ptr<TraceLog> mLog;
  std::vector<Order> mOrders;
  DisturbedServers::Addresses mAddresses;
  std::vector<std::unique_ptr<Member>> mMembers;
  // Members that were killed: pending actions refer to them.
  std::vector<std::unique_ptr<Member>> mKilled;
  std::map<std::string, SmallJob> mJobs;
  std::map<int, node::CallerStatus> mAnswers;
  std::map<int, std::vector<node::CallerStatus>> mSubmitAnswers;
  int mIncarnations = 0;
};

} // namespace flamingoloom::testing::platform_world
