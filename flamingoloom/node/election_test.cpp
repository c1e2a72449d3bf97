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

// The rows that a holder leaves behind which renewed once, at aRenewedAt.
std::vector<Row> RowsOfHolder(Election& aHolder, Time aRenewedAt)
{
  aHolder.Observe(aRenewedAt - seconds(1), {}, kStoreMs - 1000);
  const auto claim = aHolder.Claim();
  aHolder.OnClaimed(aRenewedAt - milliseconds(500), Applied(1, kStoreMs - 500));
  const auto renewal = aHolder.Renewal(aRenewedAt);
  return { { kEpochKey, claim.mChanges[0].mValue, 1 },
           { kRenewalKey, renewal.mChanges[0].mValue, 2 } };
}

// Guards against a restart of all instances after which nobody schedules for
// a whole lease, although the holder's lease ended while they were down.
TEST_CASE("A lease that ended by the store's clock is not waited for")
{
  auto holder = MakeElection("a");
  const auto rows = RowsOfHolder(holder, Time(seconds(100)));
  auto restarted = MakeElection("b");
  const Time now(seconds(7));
  restarted.Observe(now, rows, kStoreMs + 3000);
  CHECK(restarted.ClaimAt() == now);
}

// Guards against two instances that schedule, each within its own lease.
TEST_CASE("A lease that has not ended is waited for")
{
  auto holder = MakeElection("a");
  const Time renewedAt(seconds(100));
  const auto rows = RowsOfHolder(holder, renewedAt);
  REQUIRE(holder.OnRenewed(renewedAt, Applied(2, kStoreMs)));
  auto restarted = MakeElection("b");
  const Time now(seconds(7));
  // 1.5 s after the renewal at the latest.
  restarted.Observe(now, rows, kStoreMs + 1500);
  CHECK(*restarted.ClaimAt() - now >=
        holder.ValidUntil() - (renewedAt + milliseconds(1500)));
}

// Guards against a late renewal that names an earlier end of the lease than
// the holder counts on.
TEST_CASE("A renewal fails once another one was carried out")
{
  auto holder = MakeElection("a");
  const Time renewedAt(seconds(100));
  RowsOfHolder(holder, renewedAt);
  const auto late = holder.Renewal(renewedAt);
  REQUIRE(holder.OnRenewed(renewedAt, Applied(2, kStoreMs)));
  CHECK(late.mChanges[0].mExpectedVersion <
        holder.Renewal(renewedAt).mChanges[0].mExpectedVersion);
}

// Guards against a holder that gives up because its own renewal, whose answer
// was lost, was carried out.
TEST_CASE("A holder whose unanswered renewal was carried out keeps the lead")
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
