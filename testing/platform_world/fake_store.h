// In-process fake of the platform's store with its faults, under virtual time.
//
// It has rows, one version counter, conditional transactions, and a bounded
// change history. Each instance has a connection of its own, since the store
// may reject calls of some instances while it serves others.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "flamingoloom/node/ports.h"
#include "testing/fakes/virtual_clock.h"
#include "testing/platform_world/shared_link.h"

namespace flamingoloom::testing::platform_world {

enum class StoreFault
{
  eNone,
  // Calls are rejected and have no effect.
  eRejectsCalls,
  // Calls get no response and have no effect.
  eUnresponsive,
  // Writes are applied, at once or seconds later, but their responses are lost.
  eLosesResponses,
};

class FakeStore
{
public:
  explicit FakeStore(fakes::VirtualClock& aClock)
    : mClock(aClock)
  {
  }

  node::CommitResult Apply(const node::Transaction& aTransaction);
  node::Rows Read(const std::string& aTable,
                  const std::string& aPartition,
                  const std::string& aFrom,
                  const std::string& aTo) const;
  // Reads the changes after aVersion; returns false if they were compacted.
  bool ReadChanges(const std::string& aTable,
                   std::int64_t aVersion,
                   node::Rows& aRows) const;
  // Writes to the empty partition without a condition, as operators and servers
  // do.
  void Put(const std::string& aTable,
           const std::string& aKey,
           std::optional<std::string> aValue);
  void CompactHistory();
  // Reads return at most this many rows at once.
  void SetMaxRowsPerPage(std::size_t aRows) { mMaxRowsPerPage = aRows; }
  // Duration of a transaction; transactions of one partition wait for each
  // other.
  void SetTransactionTime(base::Duration aTime) { mTransactionTime = aTime; }
  // Adds a transaction to the queue of its partition; returns the time until it
  // is applied, or nothing if too many wait there, as the platform's store
  // does.
  std::optional<base::Duration> Enqueue(const std::string& aPartition);
  std::int64_t NowMs() const;
  std::int64_t Version() const { return mVersion; }

private:
  // Table, partition and key.
  using Key = std::tuple<std::string, std::string, std::string>;

  void Write(const Key& aKey, std::optional<std::string> aValue);

  fakes::VirtualClock& mClock;
  std::map<Key, node::Row> mRows;
  std::deque<std::pair<std::string, node::Row>> mHistory;
  base::Duration mTransactionTime{ 0 };
  std::optional<std::size_t> mMaxRowsPerPage;
  // When the last queued transaction of each partition is applied.
  std::map<std::string, base::Time> mBusyUntil;
  std::int64_t mCompactedVersion = 0;
  std::int64_t mVersion = 0;
};

// One instance's connection to the store.
class StoreConnection : public node::Store
{
public:
  StoreConnection(FakeStore& aStore, fakes::VirtualClock& aClock)
    : mStore(aStore)
    , mClock(aClock)
  {
  }

  void SetFault(StoreFault aFault) { mFault = aFault; }
  // Rows that are read pass aLink; by default they take no time. aLink must
  // outlive the connection.
  void SetLink(SharedLink& aLink) { mLink = &aLink; }
  // The responses to watches of aTable take aDelay longer.
  void SetWatchDelay(const std::string& aTable, base::Duration aDelay)
  {
    mWatchDelays[aTable] = aDelay;
  }
  // Drops responses in flight, since the instance was killed.
  void Disconnect() { ++mIncarnation; }

  void Commit(
    const node::Transaction& aTransaction,
    base::Duration aTimeout,
    std::function<void(base::Expected<node::CommitResult>)> aThen) override;
  void Read(const std::string& aTable,
            const std::string& aPartition,
            const std::string& aFrom,
            const std::string& aTo,
            base::Duration aTimeout,
            std::function<void(base::Expected<node::Rows>)> aThen) override;
  void Watch(const std::string& aTable,
             std::int64_t aVersion,
             base::Duration aWait,
             std::function<void(base::Expected<node::Rows>)> aThen) override;

private:
  void CallLater(base::Duration aDelay, std::function<void()> aThen);
  // Passes aRows to aThen once they have passed the link.
  void Deliver(node::Rows aRows,
               std::function<void(base::Expected<node::Rows>)> aThen);
  void Poll(const std::string& aTable,
            std::int64_t aVersion,
            base::Time aUntil,
            std::function<void(base::Expected<node::Rows>)> aThen);

  FakeStore& mStore;
  fakes::VirtualClock& mClock;
  SharedLink* mLink = nullptr;
  std::map<std::string, base::Duration> mWatchDelays;
  StoreFault mFault = StoreFault::eNone;
  int mIncarnation = 0;
};

} // namespace flamingoloom::testing::platform_world
