// Everything around the instances of one run: store, member list, backend
// servers, network, and the faults of all of them.
//
// The name of an instance or backend server says its data centre: "a2" and
// "a-s1" are in data centre "a". The store and the member list are in the
// region of the first data centre and are cut off under the name "store".
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
  // A member's arrival or new state is listed so much later, its death after
  // mListExpiry.
  base::Duration mListLag = std::chrono::seconds(1);
  base::Duration mListExpiry = std::chrono::seconds(4);
  int mSlots = 8;
  int mConnections = 64;
  int mAccelerators = 8;
};

// One instance, from its start to its end.
struct InstanceProcess
{
  Endpoint mEndpoint;
  control::InstanceIdentity mIdentity;
  // Clocks of different processes have nothing in common.
  base::Duration mClockOffset{};
  bool mAlive = true;
  bool mFrozen = false;
  bool mFreezeAtStart = false;
  // It has been told which peers there are.
  bool mHasMemberList = false;
  // Dies before its n-th message from now on; 0 means never.
  int mKillAtMessage = 0;
  // Events and messages held back until the instance is thawed.
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
  // Appends an event of now.
  void Record(Event aEvent);

  // --- Instances and backend servers. Names are never used twice. ---
  InstanceProcess& StartInstance(const std::string& aName);
  // Null when there is no such name.
  InstanceProcess* FindInstance(const std::string& aName);
  const std::map<std::string, std::unique_ptr<InstanceProcess>>& Instances()
    const
  {
    return mProcesses;
  }
  // Runs aAction at the instance: now, at its thaw, or never when it is dead.
  void DeliverTo(InstanceProcess& aProcess, std::function<void()> aAction);
  FakeServer& AddServer(const std::string& aName, int aRack = 0);
  FakeServer* FindServer(const std::string& aName);
  platform::MemberList Members() const;

  // --- Faults; an unknown name is ignored. ---
  void Kill(const std::string& aInstance);
  // The instance dies instead of sending its aCount-th message from now on.
  void KillAtMessage(const std::string& aInstance, int aCount);
  void Freeze(const std::string& aInstance);
  // Freezes the instance when it next starts or commits a task; that message
  // leaves at the thaw.
  void FreezeAtStart(const std::string& aInstance);
  void Thaw(const std::string& aInstance);
  // Each side is an instance, a backend server, "store" or a region.
  void PartitionNetwork(const std::string& aLeft, const std::string& aRight);
  void HealPartition(const std::string& aLeft, const std::string& aRight);
  void SetStore(StoreMode aMode, double aLossProbability = 0.3);
  void KillServer(const std::string& aServer);
  void DrainBackendServer(const std::string& aServer, bool aRefuses = true);
  void SetServerFaulty(const std::string& aServer, bool aBroken);
  void MisrouteAnswers(const std::string& aServer, double aProbability);
  // Thaws, heals and repairs everything that can be.
  void HealAll();
  // Asks the instance to leave and ends it when it says that it may.
  void StopInstance(const std::string& aInstance);

  // --- Network ---
  bool IsConnected(const Endpoint& aLeft, const Endpoint& aRight) const;
  base::Duration Latency(const Endpoint& aFrom, const Endpoint& aTo);
  void CountBytes(const Endpoint& aFrom,
                  const Endpoint& aTo,
                  std::size_t aBytes);
  // Bytes to and from an instance by kind of the other side. The sizes are
  // estimates of FakePorts.
  std::uint64_t InstanceBytes(const std::string& aInstance,
                              PeerKind aPeers) const;
  const Endpoint& StoreEndpoint() const { return mStoreEndpoint; }
  StoreMode Mode() const { return mStoreMode; }
  double LossProbability() const { return mLossProbability; }
  Endpoint EndpointOf(const std::string& aName) const;
  // Ends the process at once; its object goes when no call is on the stack.
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
  std::vector<std::pair<std::string, std::string>> mCuts;
  std::vector<std::string> mFaults;
  std::uint64_t mCrossRegionBytes = 0;
  std::map<std::pair<std::string, PeerKind>, std::uint64_t> mInstanceBytes;
};

} // namespace flamingoloom::testing::fakes
