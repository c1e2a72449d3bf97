// The platform's store with its faults, under virtual time.
//
// Rows, one version counter, conditions, feeds with a bounded history. Each
// instance has a client of its own, since the store may refuse some instances
// while it serves others.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "flamingoloom/node/ports.h"
#include "testing/fakes/virtual_clock.h"

namespace flamingoloom::testing::platform_world {

enum class StoreFault
{
  eNone,
  // Calls are refused; nothing is done.
  eRejectsCalls,
  // Calls are never answered and nothing is done.
  eUnresponsive,
  // Writes are done and not answered, at once or seconds later.
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
  // Changes after aVersion; false if they are forgotten.
  bool ReadChanges(const std::string& aTable,
                   std::int64_t aVersion,
                   node::Rows& aRows) const;
  // Writes to the empty part without a condition, as operators and servers do.
  void Put(const std::string& aTable,
           const std::string& aKey,
           std::optional<std::string> aValue);
  void CompactHistory();
  // What a transaction takes; those of one part wait for each other.
  void SetTransactionTime(base::Duration aTime) { mTransactionTime = aTime; }
  // Puts a transaction into its part's queue; returns its wait until it is
  // done.
  base::Duration Enqueue(const std::string& aPartition);
  std::int64_t NowMs() const;
  std::int64_t Version() const { return mVersion; }

private:
  // Table, part and key.
  using Key = std::tuple<std::string, std::string, std::string>;

  void Write(const Key& aKey, std::optional<std::string> aValue);

  fakes::VirtualClock& mClock;
  std::map<Key, node::Row> mRows;
  std::deque<std::pair<std::string, node::Row>> mHistory;
  base::Duration mTransactionTime{ 0 };
  // Until when the queued transactions of a part take.
  std::map<std::string, base::Time> mBusyUntil;
  std::int64_t mCompactedVersion = 0;
  std::int64_t mVersion = 0;
};

// One instance's way to the store.
class StoreConnection : public node::Store
{
public:
  StoreConnection(FakeStore& aStore, fakes::VirtualClock& aClock)
    : mStore(aStore)
    , mClock(aClock)
  {
  }

  void SetFault(StoreFault aFault) { mFault = aFault; }
  // Answers that are under way are dropped: the instance is gone.
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
  void Poll(const std::string& aTable,
            std::int64_t aVersion,
            base::Time aUntil,
            std::function<void(base::Expected<node::Rows>)> aThen);

  FakeStore& mStore;
  fakes::VirtualClock& mClock;
  StoreFault mFault = StoreFault::eNone;
  int mIncarnation = 0;
};

} // namespace flamingoloom::testing::platform_world
