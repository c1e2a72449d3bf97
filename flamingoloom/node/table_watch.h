// Watches a table of the store: reads a full snapshot, then waits for changes,
// and reads a full snapshot again if the change history was compacted in
// between.
//
// Each wait is bounded, so that a stalled connection costs at most one wait.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "flamingoloom/node/ports.h"

namespace flamingoloom::node {

struct TableWatchTiming
{
  // How long the store may hold the response to one call back. A stalled
  // connection is detected after this time, which must be well below the
  // platform's time limit for a change of configuration to take effect.
  base::Duration mWait = std::chrono::milliseconds(1500);
  // Delay after a failed call.
  base::Duration mRetryDelay = std::chrono::milliseconds(150);
  // Timeout for reading one page.
  base::Duration mReadTimeout = std::chrono::milliseconds(1000);
};

class TableWatch : public std::enable_shared_from_this<TableWatch>
{
public:
  // Called with the changed rows; removed rows have no value.
  using OnChange = std::function<void(const std::vector<Row>&)>;

  // aPartitions are all partitions that hold rows of the table.
  TableWatch(Ports aPorts,
             std::string aTable,
             std::vector<std::string> aPartitions,
             TableWatchTiming aTiming,
             OnChange aOnChange);

  void Start();
  // No callback runs after this call.
  void Stop() { mStopped = true; }

  // Whether a full snapshot was read at least once.
  bool IsComplete() const { return mComplete; }
  // When the store last responded.
  base::Time LastContact() const { return mLastContact; }
  bool IsConnected() const { return mConnected; }
  // The store's clock in milliseconds, from the response that brought the last
  // changes.
  std::int64_t StoreNowMs() const { return mStoreNowMs; }

private:
  void ReadPage(std::size_t aPartitionIndex,
                const std::string& aFrom,
                std::vector<Row> aEarlierPages);
  void ApplySnapshot(const std::vector<Row>& aRows);
  void WaitForChanges();
  void Retry();
  void RecordContact();
  void RecordFailure(const base::Error& aError);

  const Ports mPorts;
  const std::string mTable;
  const std::vector<std::string> mPartitions;
  const TableWatchTiming mTiming;
  const OnChange mOnChange;
  std::map<std::string, std::int64_t> mVersions;
  std::int64_t mVersion = 0;
  base::Time mLastContact;
  std::int64_t mStoreNowMs = 0;
  bool mConnected = false;
  bool mComplete = false;
  bool mStopped = false;
  // Whether the next call reads a full snapshot.
  bool mSnapshotNeeded = true;
};

} // namespace flamingoloom::node
