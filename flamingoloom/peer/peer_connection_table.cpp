#include "flamingoloom/peer/peer_connection_table.h"

#include <algorithm>
#include <utility>

#include "flamingoloom/peer/socket_address.h"

namespace flamingoloom::peer::internal {

using base::ErrorCode;
using base::Expected;

PeerConnectionTable::PeerConnectionTable(kj::Network& aNetwork,
                                         const PeerSettings& aSettings,
                                         CounterTable& aCounters)
  : mNetwork(aNetwork)
  , mSettings(aSettings)
  , mCounters(aCounters)
  , mTasks(*this)
{
}

Expected<PeerConnectionTable::Entry*> PeerConnectionTable::Acquire(
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

void PeerConnectionTable::Release(Entry& aEntry)
{
  aEntry.mCalls -= 1;
  if (aEntry.mRetired && aEntry.mCalls == 0) {
    ScheduleClose();
  }
}

void PeerConnectionTable::Retire(Entry& aEntry)
{
  if (aEntry.mRetired) {
    return;
  }
  aEntry.mRetired = true;
  mCurrent.erase(aEntry.mAddress);
  if (aEntry.mCalls == 0) {
    ScheduleClose();
  }
}

Expected<PeerConnectionTable::Entry*> PeerConnectionTable::Open(
  const platform::PeerAddress& aPeer)
{
  Expected<SocketAddress> address = ParseSocketAddress(aPeer.mAddress);
  if (!address) {
    return base::MakeError(ErrorCode::eUnavailable,
                           "connect",
                           aPeer.mId.Value(),
                           address.error().ToString());
  }
  if (!EvictIfFull()) {
    return base::MakeError(ErrorCode::eUnavailable,
                           "connect",
                           aPeer.mId.Value(),
                           "too many connections to peers are in use");
  }
  Entry& entry = mEntries.emplace_back();
  entry.mAddress = aPeer.mAddress;
  mCurrent[aPeer.mAddress] = &entry;
  entry.mConnection = std::make_unique<PeerConnection>(
    mNetwork.getSockaddr(&address->mStorage, address->mLength),
    mSettings.mMaxMessageBytes,
    MakeObserver(aPeer.mId),
    [this, &entry]() { Retire(entry); });
  return &entry;
}

// When the table is full, retires the least recently used connection without
// calls in progress. Returns false when there is none.
bool PeerConnectionTable::EvictIfFull()
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

TrafficObserver PeerConnectionTable::MakeObserver(const base::InstanceId& aPeer)
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

// A connection must not be destroyed from within its own promises, so it is
// destroyed in a later turn of the event loop.
void PeerConnectionTable::ScheduleClose()
{
  if (!mCloseScheduled) {
    mCloseScheduled = true;
    mTasks.add(kj::evalLater([this]() { CloseUnused(); }));
  }
}

void PeerConnectionTable::CloseUnused()
{
  mCloseScheduled = false;
  std::erase_if(mEntries, [](const Entry& aEntry) {
    return aEntry.mRetired && aEntry.mCalls == 0;
  });
}

void PeerConnectionTable::taskFailed(kj::Exception&&) {}

} // namespace flamingoloom::peer::internal
