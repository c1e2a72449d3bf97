#include <doctest/doctest.h>

#include "testing/standins/task_table.h"

namespace flamingoloom::standins {
namespace {

using base::ErrorCode;
using platform::TaskAction;
using platform::TaskState;
using std::chrono::milliseconds;

constexpr base::Time kStart(std::chrono::hours(1));

platform::TaskStart MakeStart(const char* aAttempt)
{
  platform::TaskStart start;
  start.mAttempt = base::AttemptId(aAttempt);
  start.mRequest = { base::AccountId("account"), "key" };
  start.mDataCentre = base::DataCentreId("dc");
  start.mEpoch = base::Epoch(5);
  start.mPayload = R"({"runMs":100})";
  return start;
}

platform::TaskStart MakeGangStart(const char* aAttempt)
{
  auto start = MakeStart(aAttempt);
  start.mGang = "gang";
  start.mGangSize = 2;
  start.mLease = milliseconds(5000);
  return start;
}

TaskTable MakeTable()
{
  return TaskTable({ .mDataCentre = base::DataCentreId("dc"),
                     .mSlots = 2,
                     .mAccelerators = 4 });
}

} // namespace

// Guards against a fenced owner that still starts tasks because the server
// accepts an epoch lower than the highest one it has seen.
TEST_CASE("lower epochs are rejected for each data centre separately")
{
  TaskTable table = MakeTable();
  const base::DataCentreId dataCentre("dc");
  REQUIRE(table.Fence(dataCentre, base::Epoch(6)));
  CHECK(table.Fence(dataCentre, base::Epoch(5)).error().mCode ==
        ErrorCode::eStaleEpoch);
  CHECK(table.Start(kStart, MakeStart("a")).error().mCode ==
        ErrorCode::eStaleEpoch);
  CHECK(table.History().empty());
  CHECK(table.Fence(base::DataCentreId("other"), base::Epoch(5)));

  auto start = MakeStart("b");
  start.mEpoch = base::Epoch(7);
  REQUIRE(table.Start(kStart, start));
  CHECK(table.Fence(dataCentre, base::Epoch(6)).error().mCode ==
        ErrorCode::eStaleEpoch);
}

// Guards against an invoice batch that runs twice because its start command was
// sent again, while it runs or after it has finished.
TEST_CASE("a repeated attempt id never runs twice")
{
  TaskTable table = MakeTable();
  REQUIRE(table.Start(kStart, MakeStart("a")));
  CHECK(table.Start(kStart, MakeStart("a")).error().mCode ==
        ErrorCode::eDuplicate);
  table.Advance(kStart + milliseconds(100));
  CHECK(table.Status(base::AttemptId("a")).mState == TaskState::eFinished);
  CHECK(table.Start(kStart + milliseconds(200), MakeStart("a")).error().mCode ==
        ErrorCode::eDuplicate);
  REQUIRE(table.History().size() == 2);
  CHECK(table.History()[0].mIsStart);
  CHECK(table.History()[1].mAt == kStart + milliseconds(100));
}

// Guards against a busy server that records the id of a rejected attempt, so
// that the retry is rejected as a duplicate although no task ran.
TEST_CASE("an attempt that was rejected as busy can be sent again")
{
  TaskTable table = MakeTable();
  auto first = MakeStart("a");
  first.mAccelerators = { 1 };
  auto second = MakeStart("b");
  second.mAccelerators = { 0, 1 };
  REQUIRE(table.Start(kStart, first));
  CHECK(table.Start(kStart, second).error().mCode == ErrorCode::eBusy);
  CHECK(table.Start(kStart + milliseconds(100), second));
  REQUIRE(table.Start(kStart + milliseconds(100), MakeStart("c")));
  CHECK(table.Start(kStart + milliseconds(100), MakeStart("d")).error().mCode ==
        ErrorCode::eBusy);
}

// Guards against reservations that are never released when the owner crashes
// between the preparation and the commit of a gang.
TEST_CASE("a prepared task without a commit expires and never runs")
{
  TaskTable table = MakeTable();
  const base::AttemptId attempt("a");
  REQUIRE(table.Start(kStart, MakeGangStart("a")));
  CHECK(table.CurrentUsage().mSlots == 1);
  REQUIRE(table.ApplyAction(kStart + milliseconds(4000),
                            attempt,
                            TaskAction::eRenew,
                            milliseconds(5000)));
  table.Advance(kStart + milliseconds(8999));
  CHECK(table.Status(attempt).mState == TaskState::ePrepared);
  const base::Time expiry = kStart + milliseconds(9000);
  CHECK(table.ApplyAction(expiry, attempt, TaskAction::eCommit).error().mCode ==
        ErrorCode::eConflict);
  CHECK(table.CurrentUsage() == Usage{});
  CHECK(table.History().empty());
}

// Guards against a gang's task that starts twice when its commit is repeated,
// or that a previous owner still starts after a new owner has fenced the
// server.
TEST_CASE("a commit runs a task once, and not under a fenced epoch")
{
  TaskTable table = MakeTable();
  const base::AttemptId attempt("a");
  REQUIRE(table.Start(kStart, MakeGangStart("a")));
  REQUIRE(table.Start(kStart, MakeGangStart("b")));
  REQUIRE(table.ApplyAction(kStart, attempt, TaskAction::eCommit));
  CHECK(table.ApplyAction(kStart, attempt, TaskAction::eCommit)->mState ==
        TaskState::eRunning);
  CHECK(table.History().size() == 1);

  REQUIRE(table.Fence(base::DataCentreId("dc"), base::Epoch(6)));
  CHECK(table.ApplyAction(kStart, base::AttemptId("b"), TaskAction::eCommit)
          .error()
          .mCode == ErrorCode::eStaleEpoch);
  CHECK(table.Status(attempt).mState == TaskState::eRunning);
}

// Guards against actions that do not free the task's slot or do not record its
// end in the history.
TEST_CASE("release, stop, checkpoint and throttle")
{
  TaskTable table = MakeTable();
  const auto act = [&](const char* aAttempt, TaskAction aAction) {
    return table.ApplyAction(
      kStart + milliseconds(50), base::AttemptId(aAttempt), aAction);
  };
  REQUIRE(table.Start(kStart, MakeGangStart("a")));
  REQUIRE(table.Start(kStart, MakeStart("b")));
  CHECK(act("b", TaskAction::eRelease)->mState == TaskState::eRunning);
  CHECK(act("a", TaskAction::eRelease)->mState == TaskState::eStopped);
  CHECK(act("b", TaskAction::eThrottle)->mState == TaskState::eRunning);
  CHECK(table.NextDeadline() == kStart + milliseconds(150));
  CHECK(act("b", TaskAction::eCheckpoint)->mState == TaskState::eCheckpointed);
  REQUIRE(table.Start(kStart + milliseconds(50), MakeStart("c")));
  CHECK(act("c", TaskAction::eStop)->mState == TaskState::eStopped);
  CHECK(act("d", TaskAction::eStop).error().mCode == ErrorCode::eNotFound);
  CHECK(table.IsIdle());
  CHECK(table.History().size() == 4);
}

// Guards against a draining server that accepts new tasks or aborts running
// ones.
TEST_CASE("a draining server finishes its tasks and rejects new ones")
{
  TaskTable table = MakeTable();
  REQUIRE(table.Start(kStart, MakeStart("a")));
  table.Drain();
  CHECK(table.Start(kStart, MakeStart("b")).error().mCode ==
        ErrorCode::eShuttingDown);
  CHECK_FALSE(table.IsIdle());
  table.Advance(kStart + milliseconds(100));
  CHECK(table.Status(base::AttemptId("a")).mState == TaskState::eFinished);
  CHECK(table.IsIdle());
}

// Guards against tasks that fail at once and are missing in the history, so
// that checkers do not see that they ran.
TEST_CASE("a failing server records start and end of each task")
{
  TaskTable table = MakeTable();
  table.SetFailTasks(true);
  CHECK(table.Start(kStart, MakeStart("a"))->mState == TaskState::eFailed);
  CHECK(table.History().size() == 2);
  table.SetFailTasks(false);
  auto start = MakeStart("b");
  start.mPayload = R"({"runMs":0,"fail":true})";
  CHECK(table.Start(kStart, start)->mState == TaskState::eFailed);
}

} // namespace flamingoloom::standins
