#include "flamingoloom/node/election.h"

#include <doctest/doctest.h>

namespace flamingoloom::node {
namespace {

using base::InstanceId;
using base::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kStoreMs = 50000;

Election MakeElection(const char* aName)
{
  return Election(InstanceId(aName), ElectionTiming{}, base::Duration(0));
}

CommitResult Applied(std::int64_t aVersion, std::int64_t aStoreNowMs)
{
  return { true, aVersion, aStoreNowMs, {} };
}

// The rows that aHolder leaves in the store after it claimed leadership and
// renewed its lease once, at aRenewedAt.
std::vector<Row> RowsOfHolder(Election& aHolder, Time aRenewedAt)
{
  aHolder.Observe(aRenewedAt - seconds(1), {}, kStoreMs - 1000);
  const auto claim = aHolder.Claim();
  aHolder.OnClaimed(aRenewedAt - milliseconds(500), Applied(1, kStoreMs - 500));
  const auto renewal = aHolder.Renewal(aRenewedAt);
  return { { kEpochKey, claim.mChanges[0].mValue, 1 },
           { kRenewalKey, renewal.mChanges[0].mValue, 2 } };
}

// Guards against a restart of all instances after which there is no leader for
// a whole lease, although the previous leader's lease expired while they were
// down.
TEST_CASE("A lease that expired by the store's clock does not delay a claim")
{
  auto holder = MakeElection("a");
  const auto rows = RowsOfHolder(holder, Time(seconds(100)));
  auto restarted = MakeElection("b");
  const Time now(seconds(7));
  restarted.Observe(now, rows, kStoreMs + 3000);
  CHECK(restarted.ClaimAt() == now);
}

// Guards against two leaders at the same time, each within its own lease.
TEST_CASE("A claim waits for a lease that has not expired")
{
  auto holder = MakeElection("a");
  const Time renewedAt(seconds(100));
  const auto rows = RowsOfHolder(holder, renewedAt);
  REQUIRE(holder.OnRenewed(renewedAt, Applied(2, kStoreMs)));
  auto restarted = MakeElection("b");
  const Time now(seconds(7));
  // The rows are observed at most 1.5 s after the renewal.
  restarted.Observe(now, rows, kStoreMs + 1500);
  CHECK(*restarted.ClaimAt() - now >=
        holder.ValidUntil() - (renewedAt + milliseconds(1500)));
}

// Guards against a delayed renewal that names an earlier expiry than the one
// that the holder counts on, so that another instance claims too early.
TEST_CASE("A renewal fails once another one was applied")
{
  auto holder = MakeElection("a");
  const Time renewedAt(seconds(100));
  RowsOfHolder(holder, renewedAt);
  const auto late = holder.Renewal(renewedAt);
  REQUIRE(holder.OnRenewed(renewedAt, Applied(2, kStoreMs)));
  CHECK(late.mChanges[0].mExpectedVersion <
        holder.Renewal(renewedAt).mChanges[0].mExpectedVersion);
}

// Guards against a leader that steps down because its own renewal, whose
// response was lost, was applied and makes the next renewal fail.
TEST_CASE("A leader whose timed-out renewal was applied stays the leader")
{
  auto holder = MakeElection("a");
  const Time renewedAt(seconds(100));
  const auto rows = RowsOfHolder(holder, renewedAt);
  const CommitResult rejected{
    false, 3, kStoreMs, { { kLeaderTable, rows[0] }, { kLeaderTable, rows[1] } }
  };
  CHECK(holder.OnRenewed(renewedAt, rejected));
  CHECK(holder.Renewal(renewedAt).mChanges[0].mExpectedVersion == 2);
  const CommitResult superseded{
    false, 9, kStoreMs, { { kLeaderTable, { kEpochKey, "2 c", 9 } } }
  };
  CHECK_FALSE(holder.OnRenewed(renewedAt, superseded));
}

} // namespace
} // namespace flamingoloom::node
