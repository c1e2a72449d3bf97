#include "testing/fakes/simulated_cluster.h"

#include <algorithm>

#include <fmt/format.h>

namespace flamingoloom::testing::fakes {

using namespace std::chrono_literals;

namespace {

std::string PartitionFaultName(const std::string& aLeft,
                               const std::string& aRight)
{
  return fmt::format(
    "cut {} {}", std::min(aLeft, aRight), std::max(aLeft, aRight));
}

bool Matches(const std::string& aName, const Endpoint& aEndpoint)
{
  return aName == aEndpoint.mName || aName == aEndpoint.mRegion.Value();
}

} // namespace

SimulatedCluster::SimulatedCluster(SimulationOptions aOptions)
  : mOptions(std::move(aOptions))
  , mClock(mOptions.mSeed)
{
  mStoreEndpoint = { "store",
                     base::DataCentreId("store"),
                     mOptions.mDataCentres.front().mRegion };
}

void SimulatedCluster::Record(Event aEvent)
{
  aEvent.mTime = mClock.Now();
  mHistory.mEvents.push_back(std::move(aEvent));
}

Endpoint SimulatedCluster::EndpointOf(const std::string& aName) const
{
  std::string dataCentre = aName.substr(0, 1);
  for (const config::DataCentre& entry : mOptions.mDataCentres) {
    if (entry.mId.Value() == dataCentre) {
      return { aName, entry.mId, entry.mRegion };
    }
  }
  return { aName, base::DataCentreId(dataCentre), base::RegionId() };
}

// --- Instances and backend servers -----------------------------------------

InstanceProcess& SimulatedCluster::StartInstance(const std::string& aName)
{
  std::unique_ptr<InstanceProcess>& slot = mProcesses[aName];
  if (slot) {
    return *slot;
  }
  slot = std::make_unique<InstanceProcess>();
  InstanceProcess& process = *slot;
  std::string host = fmt::format("10.0.0.{}", mProcesses.size());
  process.mEndpoint = EndpointOf(aName);
  process.mIdentity.mId = base::InstanceId(aName);
  process.mIdentity.mDataCentre = process.mEndpoint.mDataCentre;
  process.mIdentity.mRegion = process.mEndpoint.mRegion;
  process.mIdentity.mAddress = host + ":8080";
  process.mIdentity.mPeerAddress = host + ":8081";
  process.mClockOffset = mClock.Between(0s, 100000s);
  process.mMember.mId = aName;
  process.mMember.mKind = platform::MemberKind::eInstance;
  process.mMember.mDataCentre = process.mEndpoint.mDataCentre;
  process.mMember.mRegion = process.mEndpoint.mRegion;
  process.mMember.mAddress = process.mIdentity.mAddress;
  process.mMember.mPeerAddress = process.mIdentity.mPeerAddress;
  process.mListedFrom = mClock.Now() + mOptions.mMemberListDelay;
  process.mPorts = std::make_unique<FakePorts>(*this, process);
  process.mInstance = mOptions.mFactory(*process.mPorts, process.mIdentity);
  process.mInstance->Start();
  return process;
}

InstanceProcess* SimulatedCluster::FindInstance(const std::string& aName)
{
  auto found = mProcesses.find(aName);
  return found == mProcesses.end() ? nullptr : found->second.get();
}

void SimulatedCluster::DeliverTo(InstanceProcess& aProcess,
                                 std::function<void()> aAction)
{
  if (!aProcess.mAlive) {
    return;
  }
  if (aProcess.mFrozen) {
    aProcess.mHeldEvents.push_back(std::move(aAction));
  } else {
    aAction();
  }
}

void SimulatedCluster::End(InstanceProcess& aProcess, base::Duration aListedFor)
{
  aProcess.mAlive = false;
  aProcess.mHeldEvents.clear();
  aProcess.mHeldMessages.clear();
  aProcess.mListedUntil = mClock.Now() + aListedFor;
  Event event;
  event.mKind = EventKind::eInstanceEnded;
  event.mInstance = aProcess.mEndpoint.mName;
  Record(std::move(event));
  mClock.After(0s, [&aProcess] { aProcess.mInstance.reset(); });
}

FakeServer& SimulatedCluster::AddServer(const std::string& aName, int aRack)
{
  ListedServer& entry = mServers[aName];
  if (!entry.mServer) {
    Endpoint endpoint = EndpointOf(aName);
    platform::Member member;
    member.mId = aName;
    member.mKind = platform::MemberKind::eServer;
    member.mDataCentre = endpoint.mDataCentre;
    member.mRegion = endpoint.mRegion;
    member.mAddress = fmt::format("10.0.1.{}:8080", mServers.size());
    member.mRack = aRack;
    member.mSlots = mOptions.mSlots;
    member.mConnections = mOptions.mConnections;
    member.mAccelerators = mOptions.mAccelerators;
    entry.mServer = std::make_unique<FakeServer>(
      mClock, mHistory, mOptions.mRunTime, std::move(member));
    entry.mListedFrom = mClock.Now() + mOptions.mMemberListDelay;
  }
  return *entry.mServer;
}

FakeServer* SimulatedCluster::FindServer(const std::string& aName)
{
  auto found = mServers.find(aName);
  return found == mServers.end() ? nullptr : found->second.mServer.get();
}

platform::MemberList SimulatedCluster::Members() const
{
  platform::MemberList list;
  list.mAge = mOptions.mMemberListDelay;
  auto add = [&](platform::Member aMember, const auto& aEntry) {
    base::Time now = mClock.Now();
    if (aEntry.mListedFrom <= now && now < aEntry.mListedUntil) {
      aMember.mState = aEntry.mDrainingFrom <= now
                         ? platform::MemberState::eDraining
                         : platform::MemberState::eLive;
      list.mMembers.push_back(std::move(aMember));
    }
  };
  for (const auto& [name, process] : mProcesses) {
    add(process->mMember, *process);
  }
  for (const auto& [name, entry] : mServers) {
    add(entry.mServer->Description(), entry);
  }
  return list;
}

// --- Faults ------------------------------------------------------------------

void SimulatedCluster::BeginFault(std::string aName)
{
  if (std::ranges::find(mFaults, aName) != mFaults.end()) {
    return;
  }
  Event event;
  event.mKind = EventKind::eFaultBegan;
  event.mDetail = aName;
  Record(std::move(event));
  mFaults.push_back(std::move(aName));
}

void SimulatedCluster::EndFault(const std::string& aName)
{
  if (std::erase(mFaults, aName) > 0) {
    Event event;
    event.mKind = EventKind::eFaultEnded;
    event.mDetail = aName;
    Record(std::move(event));
  }
}

void SimulatedCluster::Kill(const std::string& aInstance)
{
  InstanceProcess* process = FindInstance(aInstance);
  if (process == nullptr || !process->mAlive) {
    return;
  }
  EndFault("freeze " + aInstance);
  BeginFault("kill " + aInstance);
  End(*process, mOptions.mMemberListExpiry);
  EndFault("kill " + aInstance);
}

void SimulatedCluster::KillAtMessage(const std::string& aInstance, int aCount)
{
  if (InstanceProcess* process = FindInstance(aInstance)) {
    process->mKillAtMessage = aCount;
  }
}

void SimulatedCluster::Freeze(const std::string& aInstance)
{
  InstanceProcess* process = FindInstance(aInstance);
  if (process != nullptr && process->mAlive && !process->mFrozen) {
    process->mFreezeAtStart = false;
    process->mFrozen = true;
    BeginFault("freeze " + aInstance);
  }
}

void SimulatedCluster::FreezeAtStart(const std::string& aInstance)
{
  if (InstanceProcess* process = FindInstance(aInstance)) {
    process->mFreezeAtStart = true;
  }
}

void SimulatedCluster::Thaw(const std::string& aInstance)
{
  InstanceProcess* process = FindInstance(aInstance);
  if (process == nullptr) {
    return;
  }
  process->mFreezeAtStart = false;
  if (!process->mFrozen) {
    return;
  }
  process->mFrozen = false;
  EndFault("freeze " + aInstance);
  // Messages that were about to be sent go out before the instance handles any
  // event.
  for (auto& message : std::exchange(process->mHeldMessages, {})) {
    message();
  }
  for (auto& event : std::exchange(process->mHeldEvents, {})) {
    DeliverTo(*process, std::move(event));
  }
}

void SimulatedCluster::PartitionNetwork(const std::string& aLeft,
                                        const std::string& aRight)
{
  mPartitions.emplace_back(aLeft, aRight);
  BeginFault(PartitionFaultName(aLeft, aRight));
}

void SimulatedCluster::HealPartition(const std::string& aLeft,
                                     const std::string& aRight)
{
  std::string name = PartitionFaultName(aLeft, aRight);
  std::erase_if(mPartitions, [&](const auto& aPartition) {
    return PartitionFaultName(aPartition.first, aPartition.second) == name;
  });
  EndFault(name);
}

void SimulatedCluster::SetStore(StoreMode aMode, double aLossProbability)
{
  mStoreMode = aMode;
  mLossProbability = aLossProbability;
  EndFault("store");
  if (aMode != StoreMode::eUp) {
    BeginFault("store");
  }
}

void SimulatedCluster::KillServer(const std::string& aServer)
{
  auto found = mServers.find(aServer);
  if (found == mServers.end() || !found->second.mServer->IsAlive()) {
    return;
  }
  BeginFault("kill " + aServer);
  EndFault("break " + aServer);
  EndFault("mix " + aServer);
  found->second.mServer->Kill();
  found->second.mListedUntil = mClock.Now() + mOptions.mMemberListExpiry;
  EndFault("kill " + aServer);
}

void SimulatedCluster::DrainBackendServer(const std::string& aServer,
                                          bool aRejectsWork)
{
  auto found = mServers.find(aServer);
  if (found != mServers.end() && found->second.mServer->IsAlive()) {
    found->second.mServer->Drain(aRejectsWork);
    found->second.mDrainingFrom = mClock.Now() + mOptions.mMemberListDelay;
  }
}

void SimulatedCluster::SetServerFaulty(const std::string& aServer, bool aFaulty)
{
  FakeServer* server = FindServer(aServer);
  if (server != nullptr && server->IsAlive()) {
    server->SetFaulty(aFaulty);
    aFaulty ? BeginFault("break " + aServer) : EndFault("break " + aServer);
  }
}

void SimulatedCluster::MisrouteAnswers(const std::string& aServer,
                                       double aProbability)
{
  FakeServer* server = FindServer(aServer);
  if (server != nullptr && server->IsAlive()) {
    server->SetMisrouteProbability(aProbability);
    aProbability > 0 ? BeginFault("mix " + aServer)
                     : EndFault("mix " + aServer);
  }
}

void SimulatedCluster::HealAll()
{
  SetStore(StoreMode::eUp);
  for (const auto& [left, right] : std::vector(mPartitions)) {
    HealPartition(left, right);
  }
  for (const auto& [name, process] : mProcesses) {
    process->mKillAtMessage = 0;
    Thaw(name);
  }
  for (const auto& [name, entry] : mServers) {
    SetServerFaulty(name, false);
    MisrouteAnswers(name, 0);
  }
}

void SimulatedCluster::StopInstance(const std::string& aInstance)
{
  InstanceProcess* process = FindInstance(aInstance);
  if (process == nullptr || !process->mAlive) {
    return;
  }
  Event began;
  began.mKind = EventKind::eStopBegan;
  began.mInstance = aInstance;
  Record(began);
  process->mDrainingFrom = mClock.Now() + mOptions.mMemberListDelay;
  DeliverTo(*process, [this, process] {
    process->mInstance->Shutdown([this, process] {
      mClock.After(0s, [this, process] {
        if (process->mAlive) {
          Event ended;
          ended.mKind = EventKind::eStopEnded;
          ended.mInstance = process->mEndpoint.mName;
          Record(std::move(ended));
          EndFault("freeze " + process->mEndpoint.mName);
          End(*process, mOptions.mMemberListDelay);
        }
      });
    });
  });
}

// --- Network -----------------------------------------------------------------

bool SimulatedCluster::IsConnected(const Endpoint& aLeft,
                                   const Endpoint& aRight) const
{
  return std::ranges::none_of(mPartitions, [&](const auto& aPartition) {
    return (Matches(aPartition.first, aLeft) &&
            Matches(aPartition.second, aRight)) ||
           (Matches(aPartition.first, aRight) &&
            Matches(aPartition.second, aLeft));
  });
}

base::Duration SimulatedCluster::Latency(const Endpoint& aFrom,
                                         const Endpoint& aTo)
{
  base::Duration latency = aFrom.mRegion != aTo.mRegion           ? 20ms
                           : aFrom.mDataCentre != aTo.mDataCentre ? 1ms
                                                                  : 100us;
  // Add up to 10%, so that messages can overtake each other.
  return mClock.Between(latency, latency + latency / 10);
}

void SimulatedCluster::CountBytes(const Endpoint& aFrom,
                                  const Endpoint& aTo,
                                  std::size_t aBytes)
{
  if (aFrom.mRegion != aTo.mRegion) {
    mCrossRegionBytes += aBytes;
  }
  if (mProcesses.contains(aFrom.mName)) {
    mInstanceBytes[{ aFrom.mName, KindOf(aTo) }] += aBytes;
  }
  if (mProcesses.contains(aTo.mName)) {
    mInstanceBytes[{ aTo.mName, KindOf(aFrom) }] += aBytes;
  }
}

PeerKind SimulatedCluster::KindOf(const Endpoint& aEndpoint) const
{
  return mProcesses.contains(aEndpoint.mName) ? PeerKind::eInstance
         : mServers.contains(aEndpoint.mName) ? PeerKind::eServer
                                              : PeerKind::ePlatform;
}

std::uint64_t SimulatedCluster::InstanceBytes(const std::string& aInstance,
                                              PeerKind aPeers) const
{
  auto found = mInstanceBytes.find({ aInstance, aPeers });
  return found == mInstanceBytes.end() ? 0 : found->second;
}

} // namespace flamingoloom::testing::fakes
