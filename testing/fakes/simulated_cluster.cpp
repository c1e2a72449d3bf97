#include "testing/fakes/fake_world.h"

#include <algorithm>

#include <fmt/format.h>

namespace flamingoloom::testing::fakes {

using namespace std::chrono_literals;

namespace {

std::string CutName(const std::string& aLeft, const std::string& aRight)
{
  return fmt::format(
    "cut {} {}", std::min(aLeft, aRight), std::max(aLeft, aRight));
}

bool Matches(const std::string& aName, const Endpoint& aEndpoint)
{
  return aName == aEndpoint.mName || aName == aEndpoint.mRegion.Value();
}

} // namespace

FakeWorld::FakeWorld(WorldOptions aOptions)
  : mOptions(std::move(aOptions))
  , mClock(mOptions.mSeed)
{
  mStoreEndpoint = { "store",
                     base::DataCentreId("store"),
                     mOptions.mDataCentres.front().mRegion };
}

void FakeWorld::Record(Event aEvent)
{
  aEvent.mTime = mClock.Now();
  mHistory.mEvents.push_back(std::move(aEvent));
}

Endpoint FakeWorld::EndpointOf(const std::string& aName) const
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

Node& FakeWorld::StartInstance(const std::string& aName)
{
  std::unique_ptr<Node>& slot = mNodes[aName];
  if (slot) {
    return *slot;
  }
  slot = std::make_unique<Node>();
  Node& node = *slot;
  std::string host = fmt::format("10.0.0.{}", mNodes.size());
  node.mEndpoint = EndpointOf(aName);
  node.mIdentity.mId = base::InstanceId(aName);
  node.mIdentity.mDataCentre = node.mEndpoint.mDataCentre;
  node.mIdentity.mRegion = node.mEndpoint.mRegion;
  node.mIdentity.mAddress = host + ":8080";
  node.mIdentity.mPeerAddress = host + ":8081";
  node.mClockOffset = mClock.Between(0s, 100000s);
  node.mMember.mId = aName;
  node.mMember.mKind = platform::MemberKind::eInstance;
  node.mMember.mDataCentre = node.mEndpoint.mDataCentre;
  node.mMember.mRegion = node.mEndpoint.mRegion;
  node.mMember.mAddress = node.mIdentity.mAddress;
  node.mMember.mPeerAddress = node.mIdentity.mPeerAddress;
  node.mListedFrom = mClock.Now() + mOptions.mListLag;
  node.mPorts = std::make_unique<FakePorts>(*this, node);
  node.mInstance = mOptions.mFactory(*node.mPorts, node.mIdentity);
  node.mInstance->Start();
  return node;
}

Node* FakeWorld::FindInstance(const std::string& aName)
{
  auto found = mNodes.find(aName);
  return found == mNodes.end() ? nullptr : found->second.get();
}

void FakeWorld::DeliverTo(Node& aNode, std::function<void()> aAction)
{
  if (!aNode.mAlive) {
    return;
  }
  if (aNode.mFrozen) {
    aNode.mHeldEvents.push_back(std::move(aAction));
  } else {
    aAction();
  }
}

void FakeWorld::End(Node& aNode, base::Duration aListedFor)
{
  aNode.mAlive = false;
  aNode.mHeldEvents.clear();
  aNode.mHeldMessages.clear();
  aNode.mListedUntil = mClock.Now() + aListedFor;
  Event event;
  event.mKind = EventKind::eInstanceEnded;
  event.mInstance = aNode.mEndpoint.mName;
  Record(std::move(event));
  mClock.After(0s, [&aNode] { aNode.mInstance.reset(); });
}

FakeServer& FakeWorld::AddServer(const std::string& aName, int aRack)
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
    entry.mListedFrom = mClock.Now() + mOptions.mListLag;
  }
  return *entry.mServer;
}

FakeServer* FakeWorld::FindServer(const std::string& aName)
{
  auto found = mServers.find(aName);
  return found == mServers.end() ? nullptr : found->second.mServer.get();
}

platform::MemberList FakeWorld::Members() const
{
  platform::MemberList list;
  list.mAge = mOptions.mListLag;
  auto add = [&](platform::Member aMember, const auto& aEntry) {
    base::Time now = mClock.Now();
    if (aEntry.mListedFrom <= now && now < aEntry.mListedUntil) {
      aMember.mState = aEntry.mLeavingFrom <= now
                         ? platform::MemberState::eLeaving
                         : platform::MemberState::eLive;
      list.mMembers.push_back(std::move(aMember));
    }
  };
  for (const auto& [name, node] : mNodes) {
    add(node->mMember, *node);
  }
  for (const auto& [name, entry] : mServers) {
    add(entry.mServer->Description(), entry);
  }
  return list;
}

// --- Faults ------------------------------------------------------------------

void FakeWorld::BeginFault(std::string aName)
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

void FakeWorld::EndFault(const std::string& aName)
{
  if (std::erase(mFaults, aName) > 0) {
    Event event;
    event.mKind = EventKind::eFaultEnded;
    event.mDetail = aName;
    Record(std::move(event));
  }
}

void FakeWorld::Kill(const std::string& aInstance)
{
  Node* node = FindInstance(aInstance);
  if (node == nullptr || !node->mAlive) {
    return;
  }
  EndFault("freeze " + aInstance);
  BeginFault("kill " + aInstance);
  End(*node, mOptions.mListExpiry);
  EndFault("kill " + aInstance);
}

void FakeWorld::KillAtMessage(const std::string& aInstance, int aCount)
{
  if (Node* node = FindInstance(aInstance)) {
    node->mKillAtMessage = aCount;
  }
}

void FakeWorld::Freeze(const std::string& aInstance)
{
  Node* node = FindInstance(aInstance);
  if (node != nullptr && node->mAlive && !node->mFrozen) {
    node->mFreezeAtStart = false;
    node->mFrozen = true;
    BeginFault("freeze " + aInstance);
  }
}

void FakeWorld::FreezeAtStart(const std::string& aInstance)
{
  if (Node* node = FindInstance(aInstance)) {
    node->mFreezeAtStart = true;
  }
}

void FakeWorld::Thaw(const std::string& aInstance)
{
  Node* node = FindInstance(aInstance);
  if (node == nullptr) {
    return;
  }
  node->mFreezeAtStart = false;
  if (!node->mFrozen) {
    return;
  }
  node->mFrozen = false;
  EndFault("freeze " + aInstance);
  // What was about to be sent leaves before the instance handles anything.
  for (auto& message : std::exchange(node->mHeldMessages, {})) {
    message();
  }
  for (auto& event : std::exchange(node->mHeldEvents, {})) {
    DeliverTo(*node, std::move(event));
  }
}

void FakeWorld::Cut(const std::string& aLeft, const std::string& aRight)
{
  mCuts.emplace_back(aLeft, aRight);
  BeginFault(CutName(aLeft, aRight));
}

void FakeWorld::Heal(const std::string& aLeft, const std::string& aRight)
{
  std::string name = CutName(aLeft, aRight);
  std::erase_if(mCuts, [&](const auto& aCut) {
    return CutName(aCut.first, aCut.second) == name;
  });
  EndFault(name);
}

void FakeWorld::SetStore(StoreMode aMode, double aLossProbability)
{
  mStoreMode = aMode;
  mLossProbability = aLossProbability;
  EndFault("store");
  if (aMode != StoreMode::eUp) {
    BeginFault("store");
  }
}

void FakeWorld::KillServer(const std::string& aServer)
{
  auto found = mServers.find(aServer);
  if (found == mServers.end() || !found->second.mServer->IsAlive()) {
    return;
  }
  BeginFault("kill " + aServer);
  EndFault("break " + aServer);
  EndFault("mix " + aServer);
  found->second.mServer->Kill();
  found->second.mListedUntil = mClock.Now() + mOptions.mListExpiry;
  EndFault("kill " + aServer);
}

void FakeWorld::LeaveServer(const std::string& aServer, bool aRefuses)
{
  auto found = mServers.find(aServer);
  if (found != mServers.end() && found->second.mServer->IsAlive()) {
    found->second.mServer->Leave(aRefuses);
    found->second.mLeavingFrom = mClock.Now() + mOptions.mListLag;
  }
}

void FakeWorld::BreakServer(const std::string& aServer, bool aBroken)
{
  FakeServer* server = FindServer(aServer);
  if (server != nullptr && server->IsAlive()) {
    server->SetBroken(aBroken);
    aBroken ? BeginFault("break " + aServer) : EndFault("break " + aServer);
  }
}

void FakeWorld::MixAnswers(const std::string& aServer, double aProbability)
{
  FakeServer* server = FindServer(aServer);
  if (server != nullptr && server->IsAlive()) {
    server->SetMixedAnswers(aProbability);
    aProbability > 0 ? BeginFault("mix " + aServer)
                     : EndFault("mix " + aServer);
  }
}

void FakeWorld::HealAll()
{
  SetStore(StoreMode::eUp);
  for (const auto& [left, right] : std::vector(mCuts)) {
    Heal(left, right);
  }
  for (const auto& [name, node] : mNodes) {
    node->mKillAtMessage = 0;
    Thaw(name);
  }
  for (const auto& [name, entry] : mServers) {
    BreakServer(name, false);
    MixAnswers(name, 0);
  }
}

void FakeWorld::StopInstance(const std::string& aInstance)
{
  Node* node = FindInstance(aInstance);
  if (node == nullptr || !node->mAlive) {
    return;
  }
  Event began;
  began.mKind = EventKind::eStopBegan;
  began.mInstance = aInstance;
  Record(began);
  node->mLeavingFrom = mClock.Now() + mOptions.mListLag;
  DeliverTo(*node, [this, node] {
    node->mInstance->Leave([this, node] {
      mClock.After(0s, [this, node] {
        if (node->mAlive) {
          Event ended;
          ended.mKind = EventKind::eStopEnded;
          ended.mInstance = node->mEndpoint.mName;
          Record(std::move(ended));
          EndFault("freeze " + node->mEndpoint.mName);
          End(*node, mOptions.mListLag);
        }
      });
    });
  });
}

// --- Network
// -------------------------------------------------------------------

bool FakeWorld::IsConnected(const Endpoint& aLeft, const Endpoint& aRight) const
{
  return std::ranges::none_of(mCuts, [&](const auto& aCut) {
    return (Matches(aCut.first, aLeft) && Matches(aCut.second, aRight)) ||
           (Matches(aCut.first, aRight) && Matches(aCut.second, aLeft));
  });
}

base::Duration FakeWorld::Latency(const Endpoint& aFrom, const Endpoint& aTo)
{
  base::Duration latency = aFrom.mRegion != aTo.mRegion           ? 20ms
                           : aFrom.mDataCentre != aTo.mDataCentre ? 1ms
                                                                  : 100us;
  // Up to a tenth more, so that messages overtake each other.
  return mClock.Between(latency, latency + latency / 10);
}

void FakeWorld::CountBytes(const Endpoint& aFrom,
                           const Endpoint& aTo,
                           std::size_t aBytes)
{
  if (aFrom.mRegion != aTo.mRegion) {
    mCrossRegionBytes += aBytes;
  }
  if (mNodes.contains(aFrom.mName)) {
    mInstanceBytes[{ aFrom.mName, KindOf(aTo) }] += aBytes;
  }
  if (mNodes.contains(aTo.mName)) {
    mInstanceBytes[{ aTo.mName, KindOf(aFrom) }] += aBytes;
  }
}

PeerKind FakeWorld::KindOf(const Endpoint& aEndpoint) const
{
  return mNodes.contains(aEndpoint.mName)     ? PeerKind::eInstance
         : mServers.contains(aEndpoint.mName) ? PeerKind::eServer
                                              : PeerKind::ePlatform;
}

std::uint64_t FakeWorld::InstanceBytes(const std::string& aInstance,
                                       PeerKind aPeers) const
{
  auto found = mInstanceBytes.find({ aInstance, aPeers });
  return found == mInstanceBytes.end() ? 0 : found->second;
}

} // namespace flamingoloom::testing::fakes
