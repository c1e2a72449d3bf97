// The connections to all peers, one per address.
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
#include "flamingoloom/peer/link.h"
#include "flamingoloom/peer/settings.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::peer::internal {

// Used on the event loop's thread only.
class LinkTable : private kj::TaskSet::ErrorHandler
{
public:
  // A link with the number of calls that use it.
  struct Entry
  {
    std::string mAddress;
    std::size_t mCalls = 0;
    std::uint64_t mLastUse = 0;
    bool mRetired = false;
    std::unique_ptr<Link> mLink;
  };

  LinkTable(kj::Network& aNetwork,
            const PeerSettings& aSettings,
            CounterTable& aCounters);

  // The link to aPeer, made when there is none. The caller must release it.
  base::Expected<Entry*> Acquire(const platform::PeerAddress& aPeer);

  void Release(Entry& aEntry);

  // Makes the next Acquire connect anew. Calls in progress keep the link;
  // it is closed after the last of them.
  void Retire(Entry& aEntry);

private:
  using Entries = std::list<Entry>;

  base::Expected<Entry*> Open(const platform::PeerAddress& aPeer);
  bool MakeRoom();
  TrafficObserver Observer(const base::InstanceId& aPeer);
  void CloseLater();
  void CloseUnused();
  void taskFailed(kj::Exception&& aException) override;

  kj::Network& mNetwork;
  const PeerSettings& mSettings;
  CounterTable& mCounters;
  std::uint64_t mUses = 0;
  // Includes retired ones that still have calls in progress.
  Entries mEntries;
  std::map<std::string, Entry*> mCurrent;
  bool mClosePlanned = false;
  kj::TaskSet mTasks;
};

} // namespace flamingoloom::peer::internal
