// Follows a table of the store: reads it whole, then waits for changes, and
// reads it whole again when the store has forgotten the changes between.
//
// Each wait is bounded, so that a connection that went silent costs one wait.
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
  // How long the store may hold one call back while it answers. A silent
  // connection is noticed after it, which must be well below the platform's
  // bound for configuration.
  base::Duration mWait = std::chrono::milliseconds(1500);
  // Pause after a call that failed.
  base::Duration mRetryDelay = std::chrono::milliseconds(150);
  // Time for reading a page.
  base::Duration mReadTimeout = std::chrono::milliseconds(1000);
};

class TableWatch : public std::enable_shared_from_this<TableWatch>
{
public:
  // Rows that changed, with no value for those that are gone.
  using OnChange = std::function<void(const std::vector<Row>&)>;

  // aPartitions are all parts that hold rows of the table.
  TableWatch(Ports aPorts,
             std::string aTable,
             std::vector<std::string> aPartitions,
             TableWatchTiming aTiming,
             OnChange aOnChange);

  void Start();
  // No callback after this.
  void Stop() { mStopped = true; }

  // The table was read whole at least once.
  bool IsComplete() const { return mComplete; }
  // When the store last answered.
  base::Time LastContact() const { return mLastContact; }
  bool IsConnected() const { return mConnected; }
  // The store's clock in the answer that brought the last changes.
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
  // The next call reads the table whole.
  bool mSnapshotNeeded = true;
};

} // namespace flamingoloom::node
