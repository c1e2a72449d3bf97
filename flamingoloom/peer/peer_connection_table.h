// The connections to all peers, one for each address.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include <kj/async-io.h>
#include <kj/async.h>

#include "flamingoloom/base/error.h"
#include "flamingoloom/peer/counter_table.h"
#include "flamingoloom/peer/peer_connection.h"
#include "flamingoloom/peer/settings.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::peer::internal {

// Must be used on the event loop's thread only.
class PeerConnectionTable : private kj::TaskSet::ErrorHandler
{
public:
  // A connection with the number of calls that use it.
  struct Entry
  {
    std::string mAddress;
    std::size_t mCalls = 0;
    std::uint64_t mLastUse = 0;
    bool mRetired = false;
    std::unique_ptr<PeerConnection> mConnection;
  };

  PeerConnectionTable(kj::Network& aNetwork,
                      const PeerSettings& aSettings,
                      CounterTable& aCounters);

  // Returns the connection to aPeer, and opens it when there is none. The
  // caller must release it with Release. Returns eUnavailable when the address
  // is invalid or when the table is full and each connection is in use.
  base::Expected<Entry*> Acquire(const platform::PeerAddress& aPeer);

  // Ends the use of an entry that Acquire returned.
  void Release(Entry& aEntry);

  // Makes the next Acquire open a new connection. Calls in progress continue on
  // the retired one, which is closed after the last of them.
  void Retire(Entry& aEntry);

private:
  using Entries = std::list<Entry>;

  base::Expected<Entry*> Open(const platform::PeerAddress& aPeer);
  bool EvictIfFull();
  TrafficObserver MakeObserver(const base::InstanceId& aPeer);
  void ScheduleClose();
  void CloseUnused();
  void taskFailed(kj::Exception&& aException) override;

  kj::Network& mNetwork;
  const PeerSettings& mSettings;
  CounterTable& mCounters;
  std::uint64_t mUses = 0;
  // All open connections, including retired ones with calls in progress.
  Entries mEntries;
  // The connections that are not retired, by address.
  std::map<std::string, Entry*> mCurrent;
  bool mCloseScheduled = false;
  kj::TaskSet mTasks;
};

} // namespace flamingoloom::peer::internal
