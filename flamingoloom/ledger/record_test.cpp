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

// Guards against a second execution of a request that must not run twice, such
// as an invoice batch, when the outcome of its attempt is unknown.
TEST_CASE(
  "a non-idempotent request is requeued only if it certainly did not run")
{
  Requeue uncertain;
  CHECK_FALSE(Apply(Starting(), uncertain));
  Requeue refused;
  refused.mCertainlyNotRun = true;
  auto requeued = Apply(Starting(), refused);
  REQUIRE(requeued);
  CHECK(requeued->mState == RecordState::eAccepted);
  CHECK_FALSE(requeued->mMayHaveRun);
}

// Guards against the response that a request did not run although one of its
// attempts may have run.
TEST_CASE("a request that may have run cannot be refused")
{
  CHECK_FALSE(Refuse(Starting(), "late"));
  Requeue lost;
  lost.mIdempotent = true;
  auto requeued = Apply(Starting(), lost);
  REQUIRE(requeued);
  CHECK_FALSE(Refuse(*requeued, "late"));
  CHECK(Refuse(Accepted(), "late"));
}

// Guards against a late answer or cancellation that changes a state which the
// caller has already received.
TEST_CASE("terminal states never change")
{
  for (const Record& terminal : { Finish(Starting(), "done").value(),
                                  Fail(Starting(), "broken").value(),
                                  MarkUnknown(Starting(), "lost").value(),
                                  Refuse(Accepted(), "late").value(),
                                  Cancel(Accepted(), "caller").value() }) {
    CHECK(terminal.IsTerminal());
    CHECK_FALSE(Start(terminal, MakeAttempt()));
    CHECK_FALSE(Finish(terminal, "x"));
    CHECK_FALSE(Fail(terminal, "x"));
    CHECK_FALSE(MarkUnknown(terminal, "x"));
    CHECK_FALSE(Refuse(terminal, "x"));
    CHECK_FALSE(Cancel(terminal, "x"));
    CHECK_FALSE(Relocate(terminal, base::DataCentreId("dc2")));
  }
}

// Guards against a new owner that decodes a record differently from what the
// previous owner stored.
TEST_CASE("an encoded record decodes to an equal record")
{
  Record record = Starting();
  record.mFailedServers.emplace_back("s2");
  CHECK(Decode(Encode(record)).value() == record);
  CHECK_FALSE(Decode("{}"));
  CHECK_FALSE(Decode("nonsense"));
}

// Guards against tasks of one gang that share an attempt id, so that a server
// takes one for the other.
TEST_CASE("each task of a gang has an id of its own")
{
  Attempt attempt = MakeAttempt();
  CHECK(attempt.TaskId(0) == attempt.mId);
  attempt.mPlacements.push_back(attempt.mPlacements.front());
  CHECK(attempt.TaskId(0) != attempt.TaskId(1));
}

} // namespace flamingoloom::ledger
