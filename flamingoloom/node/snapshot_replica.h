// An instance's copy of the operators' snapshot that the leader keeps in the
// store.
//
// The operators' table is read by the leader, which publishes a compressed
// snapshot of it. The other instances learn from the leader's renewals which
// snapshot is current, and read the parts that they do not have. That costs a
// small fraction of the bytes of the table, and a change of few queues costs
// few parts. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flamingoloom/base/time.h"
#include "flamingoloom/node/operator_snapshot.h"
#include "flamingoloom/node/ports.h"

namespace flamingoloom::node {

// Rows of jobs::kSchedulerPartition.
inline constexpr const char* kSnapshotTable = "snapshot";
// The leader writes this row of kLeaderTable with its renewals.
inline constexpr const char* kConfirmationKey = "operators";

// When the leader has read the operators' table: its version, and the store's
// clock in milliseconds.
struct TableReading
{
  std::int64_t mVersion = 0;
  std::int64_t mStoreMs = 0;

  friend bool operator==(const TableReading&, const TableReading&) = default;
};

// The leader's statement that a snapshot was the state of the operators' table.
struct SnapshotConfirmation
{
  std::string mSnapshotId;
  TableReading mReading;

  friend bool operator==(const SnapshotConfirmation&,
                         const SnapshotConfirmation&) = default;
};

std::string EncodeConfirmation(const SnapshotConfirmation& aConfirmation);
// Any input gives a confirmation or an error. Thread-safe.
base::Expected<SnapshotConfirmation> DecodeConfirmation(
  const std::string& aValue);

struct SnapshotReplicaTiming
{
  base::Duration mReadTimeout = std::chrono::milliseconds(1000);
  // A transaction carries up to 0.5 MB.
  base::Duration mCommitTimeout = std::chrono::milliseconds(2000);
  // Delay after a failed call.
  base::Duration mRetryDelay = std::chrono::milliseconds(150);
};

class SnapshotReplica : public std::enable_shared_from_this<SnapshotReplica>
{
public:
  // Called when another snapshot is held after a read.
  using OnSnapshot = std::function<void()>;

  SnapshotReplica(Ports aPorts,
                  SnapshotReplicaTiming aTiming,
                  OnSnapshot aOnSnapshot);

  // Reads the snapshot aId, unless it is held already.
  void Fetch(const std::string& aId);
  // The id of the snapshot that was read or published last.
  const std::string& HeldId() const { return mHeldId; }
  // The snapshot aId if it is held, else nullptr. Valid until the next one is
  // held.
  const OperatorSnapshot* FindHeld(const std::string& aId) const;
  // Whether rows are being read.
  bool IsReading() const { return mReading; }
  // Whether the snapshot that was requested last cannot be decoded.
  bool HasFailed() const { return !mWantedId.empty() && mWantedId == mBadId; }

  // Stores aSnapshot, on the condition aEpoch, and with it the confirmation
  // that it was the state at aReading. If another snapshot is being stored,
  // that is completed first. aSnapshot must have a configuration.
  void Publish(OperatorSnapshot aSnapshot,
               RowCondition aEpoch,
               TableReading aReading);
  // Publishes nothing more; called when leadership ends.
  void StopPublishing();
  // The id of the snapshot that is stored, if it is the one that was passed to
  // Publish last.
  std::optional<std::string> PublishedId() const;

  // No callback runs after this call.
  void Stop() { mStopped = true; }

private:
  // A snapshot on its way to the store.
  struct Publication
  {
    OperatorSnapshot mState;
    EncodedSnapshot mSnapshot;
    RowCondition mEpoch;
    TableReading mReading;
    std::vector<Transaction> mTransactions;
    std::size_t mNext = 0;
  };

  // Reads the rows that changed since the last call.
  void ReadChanges();
  void ReadPage(const std::string& aFrom,
                std::vector<Row> aEarlierPages,
                std::int64_t aFirstPageVersion);
  void OnReadFailed(const base::Error& aError);
  void OnRead(const std::vector<Row>& aRows, std::int64_t aVersion);
  // Decodes the rows if they are those of the wanted snapshot.
  void Assemble();
  void BeginNextPublication();
  // Stores what differs from the rows in the store, in transactions of which
  // the last one has the head.
  void StorePublication();
  // Returns false if a row of aPublication is larger than the store accepts.
  bool AddTransactions(Publication& aPublication) const;
  void CommitNext();
  void OnCommit(const base::Expected<CommitResult>& aResult);
  // Reads the rows again and stores what differs from them.
  void RestartPublication();
  // Gives up what is being stored. The other instances then watch the
  // operators' table themselves.
  void AbandonPublication();
  void OnPublished();

  const Ports mPorts;
  const SnapshotReplicaTiming mTiming;
  const OnSnapshot mOnSnapshot;
  // The rows of kSnapshotTable as they were read last, and the digests of the
  // parts as they were read or written last.
  std::map<std::string, std::string> mRows;
  std::map<std::string, std::string> mPartDigests;
  PartCache mPartCache;
  // Version of the head's row. Each transaction fails if it has changed, and
  // the last one of a snapshot changes it, so that one which is applied late
  // cannot undo a later snapshot.
  std::int64_t mHeadVersion = 0;
  std::int64_t mVersion = 0;
  std::string mWantedId;
  std::string mHeldId;
  OperatorSnapshot mHeld;
  std::string mBadId;
  bool mReading = false;
  // Whether that read began after the publication.
  bool mReadingForPublication = false;
  std::shared_ptr<Publication> mPublication;
  std::shared_ptr<Publication> mNextPublication;
  std::string mPublishedId;
  // Whether the rows were read since publishing began. From then on nobody else
  // can write them in this epoch.
  bool mRowsKnown = false;
  bool mStopped = false;
};

} // namespace flamingoloom::node
