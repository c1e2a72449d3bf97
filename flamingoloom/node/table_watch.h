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
  // Bound of the ratio of the rates of two machines' clocks.
  static constexpr double kMaxClockRatio = 1.02;
  // How long the store may hold the response to one call back. A stalled
  // connection is detected after this time, which must be well below the
  // platform's time limit for a change of configuration to take effect.
  base::Duration mWait = std::chrono::milliseconds(1500);
  // Delay after a call has failed twice in a row. The first retry is immediate:
  // a connection that was cut says nothing about the store.
  base::Duration mRetryDelay = std::chrono::milliseconds(150);
  // Delay of the full read after the store has forgotten the changes that were
  // waited for.
  base::Duration mForgottenDelay = std::chrono::milliseconds(150);
  // Timeout for reading one page.
  base::Duration mReadTimeout = std::chrono::milliseconds(1000);
};

class TableWatch : public std::enable_shared_from_this<TableWatch>
{
public:
  // Called with the changed rows; removed rows have no value.
  using OnChange = std::function<void(std::vector<Row>)>;
  // Called with each row of a full snapshot as its page is read, which may be
  // more than once. It may replace the value by one that takes less memory.
  using OnRead = std::function<void(Row&)>;

  // aPartitions are all partitions that hold rows of the table.
  TableWatch(Ports aPorts,
             std::string aTable,
             std::vector<std::string> aPartitions,
             TableWatchTiming aTiming,
             OnChange aOnChange,
             OnRead aOnRead = {});

  // Reads a full snapshot first.
  void Start();
  // Continues from a state of the table that is known: aRowVersions are the
  // versions of its rows at the version aVersion.
  void Resume(std::int64_t aVersion,
              std::map<std::string, std::int64_t> aRowVersions);
  // No callback runs after this call.
  void Stop() { mStopped = true; }

  // Whether the state of the table is known.
  bool IsComplete() const { return mComplete; }
  // When the store last responded. The state is that of this time or newer; a
  // response that was long in transit counts from when the store sent it.
  base::Time LastContact() const { return mLastContact; }
  // False from the second failed call in a row until the next response.
  bool IsConnected() const { return mConnected; }
  // The store's clock in milliseconds in its last response.
  std::int64_t StoreNowMs() const { return mStoreNowMs; }
  // The version of the table's state.
  std::int64_t Version() const { return mVersion; }

private:
  // A snapshot that is being read, page by page. Until it is complete, the
  // state, its version and its time remain those from before.
  struct Snapshot
  {
    std::vector<Row> mRows;
    // Of the first page: changes after it are watched.
    std::int64_t mVersion = 0;
    std::int64_t mStoreNowMs = 0;
    base::Time mReceivedAt;
  };

  void ReadPage(std::size_t aPartitionIndex,
                const std::string& aFrom,
                Snapshot aEarlierPages);
  void ApplySnapshot(Snapshot aSnapshot);
  void WaitForChanges();
  void RetryAfter(base::Duration aDelay);
  // Retries a failed call.
  void OnFailure(const base::Error& aError);
  void RecordContact(std::int64_t aStoreNowMs, base::Time aReceivedAt);
  void LogUnreadableRows(const Rows& aResponse);

  const Ports mPorts;
  const std::string mTable;
  const std::vector<std::string> mPartitions;
  const TableWatchTiming mTiming;
  const OnChange mOnChange;
  const OnRead mOnRead;
  std::map<std::string, std::int64_t> mVersions;
  std::int64_t mVersion = 0;
  base::Time mLastContact;
  std::int64_t mStoreNowMs = 0;
  bool mConnected = false;
  int mFailures = 0;
  bool mComplete = false;
  bool mStopped = false;
  // Whether the next call reads a full snapshot.
  bool mSnapshotNeeded = true;
};

} // namespace flamingoloom::node
