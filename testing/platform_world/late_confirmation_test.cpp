// An instance beside a leader whose writes the test orders.
#include <doctest/doctest.h>

#include "flamingoloom/jobs/records.h"
#include "flamingoloom/node/election.h"
#include "flamingoloom/node/snapshot_replica.h"
#include "testing/platform_world/instance_group.h"
#include "testing/platform_world/silent_log.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;

constexpr double kFastLink = 1e9;

// Writes the rows of a leader to the store of an instance group.
class ScriptedLeader
{
public:
  explicit ScriptedLeader(InstanceGroup& aGroup)
    : mGroup(aGroup)
    , mConnection(aGroup.Store(), aGroup.Clock())
    , mLoop(aGroup.Clock())
    , mEpoch{ node::kLeaderTable,
              node::kEpochKey,
              Write(node::kEpochKey, "1 leader") }
    , mReplica(std::make_shared<node::SnapshotReplica>(
        node::Ports{ &mLoop, &mConnection, nullptr, nullptr, &mLog },
        node::SnapshotReplicaTiming{},
        [] {}))
  {
  }

  // Returns once the snapshot is stored and confirmed.
  std::string Publish(std::int64_t aConfigurationVersion,
                      std::int64_t aTableVersion)
  {
    auto configuration = std::make_shared<node::Configuration>();
    configuration->mVersion = aConfigurationVersion;
    configuration->mQueues.resize(1);
    mReplica->Publish(
      { { { "configuration", aTableVersion } }, std::move(configuration) },
      mEpoch,
      { aTableVersion, mGroup.Store().NowMs() });
    while (!mReplica->PublishedId()) {
      mGroup.RunFor(milliseconds(1));
    }
    return *mReplica->PublishedId();
  }

  // A renewal that says that a snapshot is the state of a version of the
  // operators' table.
  void Confirm(const std::string& aSnapshot, std::int64_t aTableVersion)
  {
    Write(node::kRenewalKey, "leader");
    Write(node::kConfirmationKey,
          node::EncodeConfirmation(
            { aSnapshot, { aTableVersion, mGroup.Store().NowMs() } }));
  }

private:
  std::int64_t Write(const char* aKey, const std::string& aValue)
  {
    return mGroup.Store()
      .Apply({ jobs::kSchedulerPartition,
               {},
               { { node::kLeaderTable, aKey, aValue, std::nullopt } } })
      .mVersion;
  }

  InstanceGroup& mGroup;
  StoreConnection mConnection;
  ClockLoop mLoop;
  SilentLog mLog;
  node::RowCondition mEpoch;
  std::shared_ptr<node::SnapshotReplica> mReplica;
};

// A renewal that is held up on its connection is applied after the next
// snapshot. Guards against an instance that keeps the old configuration, as it
// dropped a snapshot that it later counts as in use.
TEST_CASE("A late confirmation does not keep a snapshot from being used")
{
  for (int delayMs = 0; delayMs < 20; ++delayMs) {
    INFO("late by " << delayMs << " ms");
    InstanceGroup group(1, 0, kFastLink);
    group.SetWatchDelay(0, node::kSnapshotTable, milliseconds(10));
    ScriptedLeader leader(group);
    const auto first = leader.Publish(1, 10);
    group.RunFor(milliseconds(100));
    REQUIRE(group.CountWithVersion(1) == 1);
    const auto second = leader.Publish(2, 20);
    group.RunFor(milliseconds(delayMs));
    leader.Confirm(first, 15);
    group.RunFor(milliseconds(100));
    leader.Confirm(second, 30);
    group.RunFor(milliseconds(100));
    CHECK(group.CountWithVersion(2) == 1);
    CHECK(group.CountWithVersion(1) == 0);
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
