#include "flamingoloom/node/snapshot_replica.h"

#include <doctest/doctest.h>

#include "flamingoloom/jobs/records.h"
#include "flamingoloom/node/election.h"
#include "testing/platform_world/clock_loop.h"
#include "testing/platform_world/fake_store.h"
#include "testing/platform_world/silent_log.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A connection to the store whose next transaction may get no response and be
// applied later.
class LateStore : public node::Store
{
public:
  LateStore(FakeStore& aStore, fakes::VirtualClock& aClock)
    : mStore(aStore)
    , mClock(aClock)
    , mConnection(aStore, aClock)
  {
  }

  void DelayNextCommit(base::Duration aDelay) { mDelay = aDelay; }

  void Commit(
    const node::Transaction& aTransaction,
    base::Duration aTimeout,
    std::function<void(base::Expected<node::CommitResult>)> aThen) override
  {
    if (mDelay == base::Duration(0)) {
      mConnection.Commit(aTransaction, aTimeout, std::move(aThen));
      return;
    }
    mClock.After(mDelay, [this, aTransaction] { mStore.Apply(aTransaction); });
    mDelay = base::Duration(0);
    mClock.After(aTimeout, [then = std::move(aThen)] {
      then(base::MakeError(
        base::ErrorCode::eOutcomeUnknown, "commit", "store", "timed out"));
    });
  }
  void Read(const std::string& aTable,
            const std::string& aPartition,
            const std::string& aFrom,
            const std::string& aTo,
            base::Duration aTimeout,
            std::function<void(base::Expected<node::Rows>)> aThen) override
  {
    mConnection.Read(
      aTable, aPartition, aFrom, aTo, aTimeout, std::move(aThen));
  }
  void Watch(const std::string& aTable,
             std::int64_t aVersion,
             base::Duration aWait,
             std::function<void(base::Expected<node::Rows>)> aThen) override
  {
    mConnection.Watch(aTable, aVersion, aWait, std::move(aThen));
  }

private:
  FakeStore& mStore;
  fakes::VirtualClock& mClock;
  StoreConnection mConnection;
  base::Duration mDelay{ 0 };
};

node::OperatorSnapshot MakeSnapshot(std::int64_t aVersion)
{
  auto configuration = std::make_shared<node::Configuration>();
  configuration->mVersion = aVersion;
  configuration->mQueues.resize(1);
  configuration->mQueues[0].mHost = "host" + std::to_string(aVersion);
  return { {}, configuration };
}

struct Fixture
{
  Fixture()
    : mEpoch{ node::kLeaderTable, node::kEpochKey, WriteEpoch() }
  {
  }

  std::shared_ptr<node::SnapshotReplica> MakeReplica()
  {
    return std::make_shared<node::SnapshotReplica>(
      node::Ports{ &mLoop, &mLateStore, nullptr, nullptr, &mLog },
      node::SnapshotReplicaTiming{},
      [] {});
  }

  void Publish(std::int64_t aVersion)
  {
    mPublisher->Publish(MakeSnapshot(aVersion), mEpoch, { aVersion, 1 });
  }

  // The confirmation in the store, if there is one.
  std::optional<node::SnapshotConfirmation> StoredConfirmation() const
  {
    const auto rows = mStore.Read(node::kLeaderTable,
                                  jobs::kSchedulerPartition,
                                  node::kConfirmationKey,
                                  std::string(node::kConfirmationKey) + '\0');
    if (rows.mRows.empty()) {
      return std::nullopt;
    }
    return node::DecodeConfirmation(rows.mRows[0].mValue.value()).value();
  }

  std::int64_t WriteEpoch()
  {
    return mStore
      .Apply({ jobs::kSchedulerPartition,
               {},
               { { node::kLeaderTable, node::kEpochKey, "1 a", {} } } })
      .mVersion;
  }

  fakes::VirtualClock mClock{ 1 };
  FakeStore mStore{ mClock };
  LateStore mLateStore{ mStore, mClock };
  ClockLoop mLoop{ mClock };
  SilentLog mLog;
  node::RowCondition mEpoch;
  std::shared_ptr<node::SnapshotReplica> mPublisher = MakeReplica();
};

// Otherwise no instance could read the snapshot that the leader confirms.
TEST_CASE("A late transaction does not undo a later snapshot")
{
  Fixture fixture;
  fixture.mLateStore.DelayNextCommit(seconds(5));
  fixture.Publish(1);
  fixture.mClock.RunFor(seconds(4));
  REQUIRE(fixture.mPublisher->PublishedId());
  fixture.Publish(2);
  fixture.mClock.RunFor(seconds(4));
  const auto published = fixture.mPublisher->PublishedId();
  REQUIRE(published);
  const auto reader = fixture.MakeReplica();
  reader->Fetch(*published);
  fixture.mClock.RunFor(seconds(1));
  const auto* held = reader->FindHeld(*published);
  REQUIRE(held != nullptr);
  CHECK(held->mConfiguration->mVersion == 2);
}

TEST_CASE("A snapshot that was stored without a response is published")
{
  Fixture fixture;
  fixture.mLateStore.DelayNextCommit(milliseconds(5));
  fixture.Publish(1);
  fixture.mClock.RunFor(seconds(4));
  CHECK(fixture.mPublisher->PublishedId());
}

// The publication of a snapshot may take long, and a newer version come
// meanwhile. Guards against an old snapshot that is taken for the newer
// version: if the leader stops before the next publication, nobody reads that
// version.
TEST_CASE("A snapshot is confirmed only for the version that it is of")
{
  Fixture fixture;
  const auto first = node::EncodeSnapshot(MakeSnapshot(1)).mId;
  fixture.mLateStore.DelayNextCommit(seconds(30));
  fixture.Publish(1);
  fixture.mClock.RunFor(milliseconds(500));
  fixture.Publish(2);
  bool firstWasConfirmed = false;
  for (int ms = 0; ms < 4000; ++ms) {
    fixture.mClock.RunFor(milliseconds(1));
    const auto confirmation = fixture.StoredConfirmation();
    if (confirmation && confirmation->mSnapshotId == first) {
      firstWasConfirmed = true;
      CHECK(confirmation->mReading.mVersion == 1);
    }
  }
  CHECK(firstWasConfirmed);
  REQUIRE(fixture.StoredConfirmation());
  CHECK(fixture.StoredConfirmation()->mReading.mVersion == 2);
}

TEST_CASE("A leader of an earlier epoch publishes nothing")
{
  Fixture fixture;
  fixture.WriteEpoch();
  fixture.Publish(1);
  fixture.mClock.RunFor(seconds(4));
  CHECK_FALSE(fixture.mPublisher->PublishedId());
}

} // namespace
} // namespace flamingoloom::testing::platform_world
