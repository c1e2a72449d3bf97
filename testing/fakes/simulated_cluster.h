// Simulates the environment of the instances in one run: the store, the member
// list, the backend servers, the network, and faults in each of them.
//
// The first character of the name of an instance or backend server is its data
// centre: "a2" and "a-s1" are in data centre "a". The store and the member list
// are in the region of the first data centre; network partitions refer to both
// of them by the name "store".
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/platform/ports.h"
#include "testing/fakes/fake_ports.h"
#include "testing/fakes/fake_server.h"
#include "testing/fakes/fake_store.h"
#include "testing/fakes/history.h"
#include "testing/fakes/system_under_test.h"
#include "testing/fakes/virtual_clock.h"

namespace flamingoloom::testing::fakes {

struct Endpoint
{
  std::string mName;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;
};

enum class PeerKind
{
  // The store and the member list.
  ePlatform,
  eInstance,
  eServer,
};

struct SimulationOptions
{
  std::uint64_t mSeed = 1;
  std::vector<config::DataCentre> mDataCentres;
  InstanceFactory mFactory;
  RunTime mRunTime;
  // A new member or a new state of a member appears in the member list after
  // this delay.
  base::Duration mMemberListDelay = std::chrono::seconds(1);
  // A member that crashed is removed from the member list after this time.
  base::Duration mMemberListExpiry = std::chrono::seconds(4);
  int mSlots = 8;
  int mConnections = 64;
  int mAccelerators = 8;
};

// One instance process, from its start until it exits or crashes.
struct InstanceProcess
{
  Endpoint mEndpoint;
  control::InstanceIdentity mIdentity;
  // Added to virtual time, because the monotonic clocks of different processes
  // have unrelated origins.
  base::Duration mClockOffset{};
  bool mAlive = true;
  bool mFrozen = false;
  bool mFreezeAtStart = false;
  // The process has received a member list and thus knows its peers.
  bool mHasMemberList = false;
  // Number of messages until the process crashes, in place of sending the last
  // of them; 0 disables the crash.
  int mKillAtMessage = 0;
  // Incoming events and outgoing messages, held back while the process is
  // frozen.
  std::vector<std::function<void()>> mHeldEvents;
  std::vector<std::function<void()>> mHeldMessages;
  platform::Member mMember;
  base::Time mListedFrom;
  base::Time mListedUntil = base::Time::max();
  base::Time mDrainingFrom = base::Time::max();
  std::unique_ptr<FakePorts> mPorts;
  std::unique_ptr<InstanceApi> mInstance;
};

class SimulatedCluster
{
public:
  explicit SimulatedCluster(SimulationOptions aOptions);

  VirtualClock& Clock() { return mClock; }
  History& Log() { return mHistory; }
  FakeStore& Store() { return mStore; }
  std::uint64_t CrossRegionBytes() const { return mCrossRegionBytes; }
  // Appends aEvent to the history with the current virtual time.
  void Record(Event aEvent);

  // --- Instances and backend servers. A name is never reused. ---
  // Returns the existing process if the name was used before.
  InstanceProcess& StartInstance(const std::string& aName);
  // Returns null when no instance has this name.
  InstanceProcess* FindInstance(const std::string& aName);
  const std::map<std::string, std::unique_ptr<InstanceProcess>>& Instances()
    const
  {
    return mProcesses;
  }
  // Runs aAction at the instance: at once, at the thaw when the process is
  // frozen, or never when it has exited.
  void DeliverTo(InstanceProcess& aProcess, std::function<void()> aAction);
  FakeServer& AddServer(const std::string& aName, int aRack = 0);
  FakeServer* FindServer(const std::string& aName);
  platform::MemberList Members() const;

  // --- Faults. An unknown name is ignored. ---
  void Kill(const std::string& aInstance);
  // Crashes the instance in place of sending its aCount-th message from now on.
  void KillAtMessage(const std::string& aInstance, int aCount);
  void Freeze(const std::string& aInstance);
  // Freezes the instance just before it sends the next start or commit of a
  // task. That message is sent at the thaw.
  void FreezeAtStart(const std::string& aInstance);
  void Thaw(const std::string& aInstance);
  // Each side is the name of an instance, of a backend server or of a region,
  // or "store".
  void PartitionNetwork(const std::string& aLeft, const std::string& aRight);
  void HealPartition(const std::string& aLeft, const std::string& aRight);
  void SetStore(StoreMode aMode, double aLossProbability = 0.3);
  void KillServer(const std::string& aServer);
  // With aRejectsWork false the server announces that it is draining, but still
  // accepts tasks.
  void DrainBackendServer(const std::string& aServer, bool aRejectsWork = true);
  void SetServerFaulty(const std::string& aServer, bool aFaulty);
  void MisrouteAnswers(const std::string& aServer, double aProbability);
  // Ends all faults except crashes: thaws the instances, heals the network
  // partitions, and repairs the store and the backend servers.
  void HealAll();
  // Starts a planned stop. The process exits when the instance reports that its
  // shutdown is complete.
  void StopInstance(const std::string& aInstance);

  // --- Network ---
  bool IsConnected(const Endpoint& aLeft, const Endpoint& aRight) const;
  base::Duration Latency(const Endpoint& aFrom, const Endpoint& aTo);
  void CountBytes(const Endpoint& aFrom,
                  const Endpoint& aTo,
                  std::size_t aBytes);
  // Returns the bytes that an instance has exchanged with peers of one kind.
  // The sizes are estimates by FakePorts.
  std::uint64_t InstanceBytes(const std::string& aInstance,
                              PeerKind aPeers) const;
  const Endpoint& StoreEndpoint() const { return mStoreEndpoint; }
  StoreMode Mode() const { return mStoreMode; }
  double LossProbability() const { return mLossProbability; }
  Endpoint EndpointOf(const std::string& aName) const;
  // Ends the process at once and keeps it in the member list for aListedFor.
  // The instance is destroyed by a later event, because one of its calls may be
  // on the stack.
  void End(InstanceProcess& aProcess, base::Duration aListedFor);

private:
  PeerKind KindOf(const Endpoint& aEndpoint) const;
  void BeginFault(std::string aName);
  void EndFault(const std::string& aName);

  struct ListedServer
  {
    std::unique_ptr<FakeServer> mServer;
    base::Time mListedFrom;
    base::Time mListedUntil = base::Time::max();
    base::Time mDrainingFrom = base::Time::max();
  };

  SimulationOptions mOptions;
  VirtualClock mClock;
  History mHistory;
  FakeStore mStore;
  Endpoint mStoreEndpoint;
  StoreMode mStoreMode = StoreMode::eUp;
  double mLossProbability = 0;
  std::map<std::string, std::unique_ptr<InstanceProcess>> mProcesses;
  std::map<std::string, ListedServer> mServers;
  std::vector<std::pair<std::string, std::string>> mPartitions;
  std::vector<std::string> mFaults;
  std::uint64_t mCrossRegionBytes = 0;
  std::map<std::pair<std::string, PeerKind>, std::uint64_t> mInstanceBytes;
};

} // namespace flamingoloom::testing::fakes
