#include "flamingoloom/ledger/record.h"

#include <doctest/doctest.h>

namespace flamingoloom::ledger {
namespace {

Record Accepted()
{
  Record record;
  record.mRequest = { base::AccountId("acme"), "k1" };
  record.mKind = base::KindId("invoice");
  record.mDataCentre = base::DataCentreId("dc1");
  record.mPayload = "{}";
  record.mNonce = "n";
  return record;
}

Attempt MakeAttempt()
{
  return { base::AttemptId("a1"),
           base::Epoch(3),
           { { { base::ServerId("s1"), "127.0.0.1:9" }, { 0, 1 } } } };
}

Record Starting()
{
  return Start(Accepted(), MakeAttempt()).value();
}

} // namespace

// Guards against a second run of an invoice batch or a booking.
TEST_CASE(
  "a non-idempotent request is repeated only if it certainly did not run")
{
  Requeue uncertain;
  CHECK_FALSE(Apply(Starting(), uncertain));
  Requeue refused;
  refused.mCertainlyNotRun = true;
  auto again = Apply(Starting(), refused);
  REQUIRE(again);
  CHECK(again->mState == RecordState::eAccepted);
  CHECK_FALSE(again->mMayHaveRun);
}

// Guards against "not run" for a request that may have run.
TEST_CASE("a request that may have run cannot be refused")
{
  CHECK_FALSE(Refuse(Starting(), "late"));
  Requeue lost;
  lost.mIdempotent = true;
  auto again = Apply(Starting(), lost);
  REQUIRE(again);
  CHECK_FALSE(Refuse(*again, "late"));
  CHECK(Refuse(Accepted(), "late"));
}

// Guards against a late answer or cancellation that changes what the caller
// was told.
TEST_CASE("terminal states never change")
{
  for (const Record& ended : { Finish(Starting(), "done").value(),
                               Fail(Starting(), "broken").value(),
                               MarkUnknown(Starting(), "lost").value(),
                               Refuse(Accepted(), "late").value(),
                               Cancel(Accepted(), "caller").value() }) {
    CHECK(ended.IsTerminal());
    CHECK_FALSE(Start(ended, MakeAttempt()));
    CHECK_FALSE(Finish(ended, "x"));
    CHECK_FALSE(Fail(ended, "x"));
    CHECK_FALSE(MarkUnknown(ended, "x"));
    CHECK_FALSE(Refuse(ended, "x"));
    CHECK_FALSE(Cancel(ended, "x"));
    CHECK_FALSE(Relocate(ended, base::DataCentreId("dc2")));
  }
}

// Guards against a take-over that reads something else than was written.
TEST_CASE("a record survives the table service unchanged")
{
  Record record = Starting();
  record.mFailedServers.emplace_back("s2");
  CHECK(Decode(Encode(record)).value() == record);
  CHECK_FALSE(Decode("{}"));
  CHECK_FALSE(Decode("nonsense"));
}

// Guards against tasks of one gang that share an attempt id at a server.
TEST_CASE("each task of a gang has an id of its own")
{
  Attempt attempt = MakeAttempt();
  CHECK(attempt.TaskId(0) == attempt.mId);
  attempt.mPlacements.push_back(attempt.mPlacements.front());
  CHECK(attempt.TaskId(0) != attempt.TaskId(1));
}

} // namespace flamingoloom::ledger
