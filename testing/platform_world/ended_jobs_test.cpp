// What remains of jobs that have ended, in the leader, in the next one and in
// the store.
#include <doctest/doctest.h>

#include "flamingoloom/jobs/records.h"
#include "testing/platform_world/small_cluster.h"

namespace flamingoloom::testing::platform_world {
namespace {

using node::CallerStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

SmallJob ShortJob()
{
  return { 1, milliseconds(100), "key" };
}

std::size_t RowsOfJobs(SmallCluster& aCluster)
{
  const auto& store = aCluster.Store();
  std::size_t rows = 0;
  for (const char* table : { jobs::kStateTable, jobs::kStepTable }) {
    rows += store.Read(table, jobs::kSchedulerPartition, "", "").mRows.size();
  }
  for (const auto& partition : jobs::JobPartitions()) {
    rows += store.Read(jobs::kJobTable, partition, "", "").mRows.size();
  }
  return rows;
}

void ChangeLeader(SmallCluster& aCluster)
{
  const auto leader = aCluster.Leader();
  aCluster.Kill(leader);
  aCluster.RunFor(seconds(5));
  aCluster.Restart(leader);
  aCluster.RunFor(seconds(2));
}

// Guards against jobs that a new leader loses, runs again or never removes,
// since it keeps only the keys of their rows. Pages of two rows end within the
// rows of one job.
TEST_CASE(
  "A new leader takes over jobs that have ended, and removes their rows")
{
  SmallCluster cluster({});
  cluster.Store().SetMaxRowsPerPage(2);
  cluster.RunFor(seconds(3));
  constexpr int kJobs = 7;
  for (int job = 0; job < kJobs; ++job) {
    cluster.SubmitUntilAccepted(job, ShortJob());
  }
  cluster.RunFor(seconds(40));
  // The last one ends too late to be compacted.
  cluster.SubmitUntilAccepted(kJobs, ShortJob());
  cluster.Cancel(0, 0);
  cluster.Cancel(0, kJobs + 1);
  cluster.RunFor(seconds(5));
  REQUIRE(cluster.AllDone());
  const auto starts = cluster.Orders().size();
  ChangeLeader(cluster);
  CHECK(cluster.AllDone());
  cluster.SubmitUntilAccepted(kJobs + 2, ShortJob());
  cluster.RunFor(seconds(5));
  CHECK(cluster.AllDone());
  CHECK(cluster.Orders().size() > starts);
  cluster.RunFor(seconds(200));
  CHECK(RowsOfJobs(cluster) == 0);
  CHECK(cluster.Invariants().Violations().empty());
}

// Guards against rows that are removed more slowly than jobs are accepted: 8
// jobs a second were, so the leader's memory grew without a limit.
TEST_CASE("Rows of ended jobs are removed as fast as jobs end")
{
  SmallCluster cluster({});
  cluster.RunFor(seconds(3));
  constexpr int kJobs = 400;
  for (int job = 0; job < kJobs; ++job) {
    cluster.SubmitUntilAccepted(job, ShortJob());
  }
  cluster.RunFor(seconds(30));
  REQUIRE(cluster.AllDone());
  // 150 s after their ends, which may be as late as 30 s.
  cluster.RunFor(seconds(165));
  CHECK(RowsOfJobs(cluster) == 0);
}

} // namespace
} // namespace flamingoloom::testing::platform_world
