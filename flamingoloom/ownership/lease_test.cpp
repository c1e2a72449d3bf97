#include "flamingoloom/ownership/lease.h"

#include <doctest/doctest.h>

namespace flamingoloom::ownership {
namespace {

using namespace std::chrono_literals;
using base::Epoch;
using base::ErrorCode;
using base::InstanceId;
using base::MakeError;
using base::Time;
using platform::Row;
using platform::TransactionResult;

const base::DataCentreId kDataCentre("dc1");
constexpr TakeoverRank kFirstRank{ true, 0 };

Time At(base::Duration aSinceStart)
{
  return Time(aSinceStart);
}

Lease MakeLease(const std::string& aSelf)
{
  return Lease(kDataCentre, InstanceId(aSelf), "127.0.0.1:1", LeaseTiming{});
}

// Commits the write that is due at aNow, and returns it. The row gets version
// aVersion.
LeaseWrite CommitNext(Lease& aLease, Time aNow, std::uint64_t aVersion)
{
  auto write =
    aLease.NextWrite(aNow, kFirstRank, "nonce" + std::to_string(aVersion));
  REQUIRE(write);
  aLease.OnOutcome(
    *write,
    aNow,
    TransactionResult{ { { LeaseKey(kDataCentre), aVersion } }, {} });
  return *write;
}

Row RowOf(const LeaseWrite& aWrite, std::uint64_t aVersion)
{
  return Row{ LeaseKey(kDataCentre), aVersion, Encode(aWrite.mRecord) };
}

Row DataCentreRow(bool aOutOfService, std::uint64_t aVersion)
{
  return Row{ DataCentreKey(kDataCentre),
              aVersion,
              Encode(DataCentreRecord{ aOutOfService, "operator", "n" }) };
}

} // namespace

// Guards against a holder that starts work after its process was paused for
// longer than its lease.
TEST_CASE("a lease expires, counted from before the write was sent")
{
  Lease lease = MakeLease("a");
  lease.Observe(At(0s), std::nullopt, std::nullopt);
  CommitNext(lease, At(0s), 1);
  CHECK(lease.MayStartWork(At(3999ms)));
  CHECK_FALSE(lease.MayStartWork(At(4s)));
}

// Guards against two owners at the same time: the successor must wait until the
// lease has also expired by the holder's clock, and must raise the epoch.
TEST_CASE("a successor takes over only after the duration and the margin")
{
  Lease first = MakeLease("a");
  first.Observe(At(0s), std::nullopt, std::nullopt);
  Row row = RowOf(CommitNext(first, At(0s), 1), 1);

  Lease second = MakeLease("b");
  second.Observe(At(1s), row, std::nullopt);
  CHECK_FALSE(second.NextWrite(At(5499ms), kFirstRank, "x"));
  CHECK_FALSE(second.NextWrite(At(5500ms), TakeoverRank{ true, 1 }, "x"));
  CHECK_FALSE(second.NextWrite(At(5500ms), TakeoverRank{ false, 0 }, "x"));
  LeaseWrite write = CommitNext(second, At(5500ms), 2);
  CHECK(write.mRecord.mEpoch == Epoch(2));
  CHECK(second.Holds(At(6s)));
}

// Guards against an owner that lost the notification that its data centre is
// out of service, renews its lease and keeps starting work.
TEST_CASE(
  "a renewal checks the data centre's row and a change raises the epoch")
{
  Lease lease = MakeLease("a");
  lease.Observe(At(0s), std::nullopt, std::nullopt);
  CommitNext(lease, At(0s), 1);

  auto renewal = lease.NextWrite(At(1s), kFirstRank, "n2");
  REQUIRE(renewal);
  CHECK(renewal->mTransaction.mChecks.at(0).mExpectedVersion == 0);
  lease.OnOutcome(
    *renewal, At(1s), TransactionResult{ {}, { { "datacentre/dc1", 7 } } });
  CHECK(lease.NeedsRead());

  Row row = RowOf(*renewal, 1);
  row.mValue = Encode(*lease.Current());
  lease.Observe(At(1100ms), row, DataCentreRow(true, 7));
  CHECK(lease.Holds(At(1100ms)));
  CHECK_FALSE(lease.MayStartWork(At(1100ms)));
  CommitNext(lease, At(1100ms), 8);
  CHECK(lease.HeldEpoch() == Epoch(2));
  CHECK(lease.HeldDataCentreVersion() == 7);
}

// Guards against losing a lease whose write took effect although its response
// was lost, and against counting its duration from the read instead of from the
// write.
TEST_CASE("a write whose response was lost is recognised when read back")
{
  Lease lease = MakeLease("a");
  lease.Observe(At(0s), std::nullopt, std::nullopt);
  auto write = lease.NextWrite(At(0s), kFirstRank, "n1");
  REQUIRE(write);
  lease.OnOutcome(
    *write,
    At(0s),
    MakeError(ErrorCode::eOutcomeUnknown, "commit", "table", "no answer"));
  CHECK_FALSE(lease.Holds(At(1s)));
  lease.Observe(At(2s), RowOf(*write, 5), std::nullopt);
  CHECK(lease.Holds(At(3999ms)));
  CHECK_FALSE(lease.Holds(At(4s)));
}

// Guards against abandoning work in progress, and against a needless new epoch,
// when the store responds so slowly that the lease expires before its renewal.
TEST_CASE("an expired lease is renewed when no instance has taken over")
{
  Lease lease = MakeLease("a");
  lease.Observe(At(0s), std::nullopt, std::nullopt);
  CommitNext(lease, At(0s), 1);
  CHECK_FALSE(lease.Holds(At(6s)));
  CHECK(lease.IsOwner());
  LeaseWrite write = CommitNext(lease, At(6s), 2);
  CHECK(write.mTransaction.mWrites.at(0).mExpectedVersion == 1);
  CHECK(lease.HeldEpoch() == Epoch(1));
  CHECK(lease.MayStartWork(At(7s)));
}

// Guards against dropping the lease, and with it the work in progress, when a
// read returns the renewed row before the response to the renewal arrives.
TEST_CASE("a row with the renewal in flight is recognised as own write")
{
  Lease lease = MakeLease("a");
  lease.Observe(At(0s), std::nullopt, std::nullopt);
  CommitNext(lease, At(0s), 1);
  auto renewal = lease.NextWrite(At(1s), kFirstRank, "n2");
  REQUIRE(renewal);
  lease.Observe(At(1001ms), RowOf(*renewal, 2), std::nullopt);
  CHECK(lease.Holds(At(4999ms)));
  CHECK_FALSE(lease.Holds(At(5s)));
  lease.OnOutcome(*renewal,
                  At(1s),
                  TransactionResult{ { { LeaseKey(kDataCentre), 2 } }, {} });
  CHECK(lease.Holds(At(4999ms)));
}

// Guards against a holder that does not detect that another instance has taken
// over.
TEST_CASE("a row written by another instance ends the lease")
{
  Lease lease = MakeLease("a");
  lease.Observe(At(0s), std::nullopt, std::nullopt);
  LeaseWrite write = CommitNext(lease, At(0s), 1);
  write.mRecord.mOwner = InstanceId("b");
  write.mRecord.mNonce = "other";
  lease.Observe(At(1s), RowOf(write, 2), std::nullopt);
  CHECK_FALSE(lease.Holds(At(1s)));
}

// Guards against a response that arrives after a newer one and brings back an
// old state.
TEST_CASE("a row of an older version is ignored")
{
  Lease lease = MakeLease("a");
  lease.Observe(At(0s), std::nullopt, DataCentreRow(true, 9));
  lease.Observe(At(1s), std::nullopt, DataCentreRow(false, 3));
  CHECK(lease.IsOutOfService());
}

// Guards against a planned shutdown that leaves the data centre without an
// owner until the lease expires.
TEST_CASE("a released lease passes to the named successor at once")
{
  Lease first = MakeLease("a");
  first.Observe(At(0s), std::nullopt, std::nullopt);
  CommitNext(first, At(0s), 1);
  auto release = first.Release(InstanceId("b"), "r");
  REQUIRE(release);
  CHECK_FALSE(first.Holds(At(1s)));

  Lease second = MakeLease("b");
  second.Observe(At(1s), RowOf(*release, 2), std::nullopt);
  CHECK(second.NextWrite(At(1s), TakeoverRank{ true, 3 }, "x"));
  Lease third = MakeLease("c");
  third.Observe(At(1s), RowOf(*release, 2), std::nullopt);
  CHECK_FALSE(third.NextWrite(At(1400ms), kFirstRank, "x"));
}

// Guards against work that is started in a data centre that may be out of
// service, because its row cannot be decoded.
TEST_CASE("an unreadable data centre row stops the start of work")
{
  Lease lease = MakeLease("a");
  lease.Observe(
    At(0s), std::nullopt, Row{ DataCentreKey(kDataCentre), 2, "not json" });
  CommitNext(lease, At(0s), 3);
  CHECK_FALSE(lease.MayStartWork(At(1s)));
}

} // namespace flamingoloom::ownership
