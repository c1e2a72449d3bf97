// Instances with a common store and configuration, without servers or jobs,
// under virtual time.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "flamingoloom/node/instance.h"
#include "testing/fakes/virtual_clock.h"
#include "testing/platform_world/clock_loop.h"
#include "testing/platform_world/fake_store.h"
#include "testing/platform_world/shared_link.h"

namespace flamingoloom::testing::platform_world {

// The value of a configuration row with queues 0 to aQueues - 1, as large as
// the platform's rows. Queue N has the host "hostN" and the prefix "/q/"; all
// accept the key "key".
std::string EncodeTestConfiguration(std::int64_t aVersion, int aQueues);

class InstanceGroup
{
public:
  // Starts aNear instances and aRemote ones, of which the latter share a link
  // to the store with aLinkBytesPerSecond.
  InstanceGroup(int aNear,
                int aRemote,
                double aLinkBytesPerSecond,
                std::uint64_t aSeed = 1);
  ~InstanceGroup();

  // Writes a configuration as an operator does.
  void Configure(std::int64_t aVersion, int aQueues);
  void RunFor(base::Duration aDuration) { mClock.RunFor(aDuration); }
  void SetFault(std::size_t aInstance, StoreFault aFault);
  void SetFaults(StoreFault aFault);
  // See StoreConnection.
  void SetWatchDelay(std::size_t aInstance,
                     const std::string& aTable,
                     base::Duration aDelay);
  // Number of instances whose active configuration has the version aVersion.
  int CountWithVersion(std::int64_t aVersion) const;
  // The response to a question for the length of the queue of aHost.
  node::CallerResponse QueryLength(std::size_t aInstance,
                                   const std::string& aHost,
                                   const std::string& aKey);
  std::size_t LinkBytes() const { return mLink.BytesPassed(); }
  // The store drops its history of changes; watches then have to read anew.
  void ForgetHistory() { mStore.CompactHistory(); }
  // Number of instances that are alive and take callers.
  int CountReady() const;
  // Writes aCount entries of servers that cannot be decoded, with new versions.
  // The leader logs each version of one as "server_unreadable".
  void PutUnreadableServers(int aCount);
  // Number of log lines of the event so far, of all instances.
  int CountEvents(const std::string& aEvent) const;
  // Ends the leader at once, without releasing its lease. There must be one.
  void KillLeader();
  FakeStore& Store() { return mStore; }
  fakes::VirtualClock& Clock() { return mClock; }

private:
  class RowDecoder;
  class CountingLog;
  struct Member;

  fakes::VirtualClock mClock;
  FakeStore mStore{ mClock };
  SharedLink mLink;
  std::unique_ptr<CountingLog> mLog;
  std::unique_ptr<RowDecoder> mRowDecoder;
  std::vector<std::unique_ptr<Member>> mMembers;
};

} // namespace flamingoloom::testing::platform_world
