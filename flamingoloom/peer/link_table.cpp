#include "flamingoloom/peer/link_table.h"

#include <algorithm>
#include <utility>

#include "flamingoloom/peer/socket_address.h"

namespace flamingoloom::peer::internal {

using base::ErrorCode;
using base::Expected;

LinkTable::LinkTable(kj::Network& aNetwork,
                     const PeerSettings& aSettings,
                     CounterTable& aCounters)
  : mNetwork(aNetwork)
  , mSettings(aSettings)
  , mCounters(aCounters)
  , mTasks(*this)
{
}

Expected<LinkTable::Entry*> LinkTable::Acquire(
  const platform::PeerAddress& aPeer)
{
  auto found = mCurrent.find(aPeer.mAddress);
  Expected<Entry*> entry =
    found == mCurrent.end() ? Open(aPeer) : Expected<Entry*>(found->second);
  if (entry) {
    (*entry)->mCalls += 1;
    (*entry)->mLastUse = ++mUses;
  }
  return entry;
}

void LinkTable::Release(Entry& aEntry)
{
  aEntry.mCalls -= 1;
  if (aEntry.mRetired && aEntry.mCalls == 0) {
    CloseLater();
  }
}

void LinkTable::Retire(Entry& aEntry)
{
  if (aEntry.mRetired) {
    return;
  }
  aEntry.mRetired = true;
  mCurrent.erase(aEntry.mAddress);
  if (aEntry.mCalls == 0) {
    CloseLater();
  }
}

Expected<LinkTable::Entry*> LinkTable::Open(const platform::PeerAddress& aPeer)
{
  Expected<SocketAddress> address = ParseSocketAddress(aPeer.mAddress);
  if (!address) {
    return base::MakeError(ErrorCode::eUnavailable,
                           "connect",
                           aPeer.mId.Value(),
                           address.error().ToString());
  }
  if (!MakeRoom()) {
    return base::MakeError(ErrorCode::eUnavailable,
                           "connect",
                           aPeer.mId.Value(),
                           "too many connections to peers are in use");
  }
  Entry& entry = mEntries.emplace_back();
  entry.mAddress = aPeer.mAddress;
  mCurrent[aPeer.mAddress] = &entry;
  entry.mLink = std::make_unique<Link>(
    mNetwork.getSockaddr(&address->mStorage, address->mLength),
    mSettings.mMaxMessageBytes,
    Observer(aPeer.mId),
    [this, &entry]() { Retire(entry); });
  return &entry;
}

// Retires the unused link that was used least recently when the table is full.
bool LinkTable::MakeRoom()
{
  if (mEntries.size() < mSettings.mMaxPeers) {
    return true;
  }
  Entry* oldest = nullptr;
  for (const auto& [address, entry] : mCurrent) {
    if (entry->mCalls == 0 &&
        (oldest == nullptr || entry->mLastUse < oldest->mLastUse)) {
      oldest = entry;
    }
  }
  if (oldest != nullptr) {
    Retire(*oldest);
  }
  return oldest != nullptr;
}

TrafficObserver LinkTable::Observer(const base::InstanceId& aPeer)
{
  TrafficObserver observer;
  observer.mSent = [this, aPeer](std::size_t aBytes) {
    mCounters.UpdatePeer(
      aPeer, [aBytes](PeerCounters& aPeer) { aPeer.mBytesSent += aBytes; });
  };
  observer.mReceived = [this, aPeer](std::size_t aBytes) {
    mCounters.UpdatePeer(
      aPeer, [aBytes](PeerCounters& aPeer) { aPeer.mBytesReceived += aBytes; });
  };
  observer.mProtocolError = [this]() {
    mCounters.Update([](NodeCounters& aAll) { aAll.mProtocolErrors += 1; });
  };
  return observer;
}

// A link cannot be destroyed from within its own promises, so that it is
// destroyed in a later turn of the event loop.
void LinkTable::CloseLater()
{
  if (!mClosePlanned) {
    mClosePlanned = true;
    mTasks.add(kj::evalLater([this]() { CloseUnused(); }));
  }
}

void LinkTable::CloseUnused()
{
  mClosePlanned = false;
  std::erase_if(mEntries, [](const Entry& aEntry) {
    return aEntry.mRetired && aEntry.mCalls == 0;
  });
}

void LinkTable::taskFailed(kj::Exception&&) {}

} // namespace flamingoloom::peer::internal
