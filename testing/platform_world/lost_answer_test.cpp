// The answer of one call after the other is lost, in the life of a job.
#include <doctest/doctest.h>

#include <algorithm>

#include "testing/platform_world/small_cluster.h"

namespace flamingoloom::testing::platform_world {
namespace {

using node::CallerStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 2;
constexpr auto kTaskTime = milliseconds(600);

std::vector<Disturbance> LostAnswers()
{
  return {
    { base::Duration(0), false },  { milliseconds(400), false },
    { milliseconds(1500), false }, { seconds(4), false },
    { std::nullopt, false },
  };
}

std::string ToText(const Disturbance& aLoss)
{
  return aLoss.mDelay
           ? std::to_string(base::ToMilliseconds(*aLoss.mDelay)) + " ms late"
           : "never";
}

// A caller that is told that its job was not accepted must not see it run.
void CheckRefusedJobHasNotRun(SmallCluster& aCluster, int aJob)
{
  const auto& answers = aCluster.SubmitAnswers(aJob);
  const bool refused =
    std::all_of(answers.begin(), answers.end(), [](CallerStatus aStatus) {
      return aStatus == CallerStatus::eRetryLater;
    });
  if (!answers.empty() && refused) {
    CHECK_FALSE(aCluster.HasJobRow(aJob));
    CHECK(aCluster.Invariants().Starts() == 0);
  }
}

bool WritesJob(const node::Transaction& aTransaction)
{
  return aTransaction.mPartition != jobs::kSchedulerPartition;
}

// Loses the answer of the commit aIndex, counted from now on over all
// instances. Returns the number of commits.
int RunWithLostCommit(int aIndex, const Disturbance& aLoss, bool aCancelled)
{
  SmallCluster cluster({});
  cluster.RunFor(seconds(2));
  int commits = 0;
  for (std::size_t i = 0; i < kInstances; ++i) {
    cluster.StoreOf(i).SetDisturbance(
      [&](const auto&) -> std::optional<Disturbance> {
        return commits++ == aIndex ? std::make_optional(aLoss) : std::nullopt;
      });
  }
  cluster.SubmitUntilAccepted(0, { 3, kTaskTime });
  cluster.RunFor(milliseconds(200));
  if (aCancelled) {
    cluster.Cancel(1, 0);
  }
  cluster.RunFor(seconds(2));
  const int commitsOfJob = commits;
  cluster.RunFor(seconds(8));
  CHECK(cluster.Invariants().Violations() == std::vector<std::string>());
  CHECK((aCancelled || cluster.AllDone()));
  if (!aCancelled) {
    CHECK(cluster.Invariants().Starts() == 3);
  }
  return commitsOfJob;
}

TEST_CASE("Work does not run again after the answer of a commit was lost")
{
  for (const bool cancelled : { false, true }) {
    for (const auto& loss : LostAnswers()) {
      int commits = 1;
      for (int index = 0; index < commits; ++index) {
        INFO("commit " << index << ", " << ToText(loss) << ", cancelled "
                       << cancelled);
        commits = std::max(commits, RunWithLostCommit(index, loss, cancelled));
      }
      CHECK(commits > 5);
    }
  }
}

// Loses the answers of aLost calls of a kind in a row, from the call aIndex on.
void RunWithLostCalls(OrderKind aKind,
                      int aIndex,
                      int aLost,
                      const Disturbance& aLoss,
                      bool aCancelled)
{
  SmallCluster cluster({});
  cluster.RunFor(seconds(2));
  int calls = 0;
  for (std::size_t i = 0; i < kInstances; ++i) {
    cluster.ServersOf(i).SetDisturbance(
      [&](OrderKind aOrder) -> std::optional<Disturbance> {
        if (aOrder != aKind) {
          return std::nullopt;
        }
        const int call = calls++;
        return call >= aIndex && call < aIndex + aLost
                 ? std::make_optional(aLoss)
                 : std::nullopt;
      });
  }
  cluster.SubmitUntilAccepted(0, { 3, kTaskTime });
  cluster.RunFor(milliseconds(200));
  if (aCancelled) {
    cluster.Cancel(1, 0);
  }
  // Three attempts of a task may be lost, 4.5 s each.
  cluster.RunFor(seconds(20));
  CHECK(cluster.Invariants().Violations() == std::vector<std::string>());
  CHECK((aCancelled || cluster.AllDone()));
}

// A server may have taken a start although no answer arrived; it may take it
// seconds later.
TEST_CASE("Work does not run again after the answer of a server was lost")
{
  constexpr int kLastIndex = 3;
  // A start is sent three times before it is given up; there are three of them.
  constexpr int kLongestLoss = 9;
  for (const auto kind :
       { OrderKind::eStart, OrderKind::eStop, OrderKind::eReport }) {
    for (const bool cancelled : { false, true }) {
      for (const auto& loss : LostAnswers()) {
        for (int index = 0; index <= kLastIndex; ++index) {
          for (const int lost : { 1, kLongestLoss }) {
            INFO("call " << index << " of kind " << static_cast<int>(kind)
                         << ", " << lost << " lost, " << ToText(loss)
                         << ", cancelled " << cancelled);
            RunWithLostCalls(kind, index, lost, loss, cancelled);
          }
        }
      }
    }
  }
}

// The calls after the lost one are rejected, so that nothing tells whether it
// was applied.
TEST_CASE("A caller whose job may have been stored is not told that it was not")
{
  for (const auto& loss : LostAnswers()) {
    for (const bool rejectedAfter : { false, true }) {
      INFO(ToText(loss) << ", rejected after " << rejectedAfter);
      SmallCluster cluster({});
      cluster.RunFor(seconds(2));
      bool lost = false;
      cluster.StoreOf(0).SetDisturbance(
        [&](const auto& aTransaction) -> std::optional<Disturbance> {
          if (lost || !WritesJob(aTransaction)) {
            return std::nullopt;
          }
          lost = true;
          if (rejectedAfter) {
            cluster.Clock().After(milliseconds(5), [&] {
              cluster.Connection(0).SetFault(StoreFault::eRejectsCalls);
            });
          }
          return loss;
        });
      cluster.Submit(0, 0, { 1, kTaskTime });
      cluster.RunFor(seconds(10));
      REQUIRE(cluster.Answer(0).has_value());
      CheckRefusedJobHasNotRun(cluster, 0);
      CHECK(cluster.Invariants().Violations() == std::vector<std::string>());
    }
  }
}

TEST_CASE(
  "A caller whose cancellation may be stored is not told that it was not")
{
  for (const auto& loss : LostAnswers()) {
    INFO(ToText(loss));
    SmallCluster cluster({});
    cluster.RunFor(seconds(2));
    cluster.Submit(0, 0, { 1, seconds(5) });
    cluster.RunFor(milliseconds(500));
    REQUIRE(cluster.Answer(0) == CallerStatus::eAccepted);
    bool lost = false;
    cluster.StoreOf(1).SetDisturbance(
      [&](const auto& aTransaction) -> std::optional<Disturbance> {
        if (lost || !WritesJob(aTransaction)) {
          return std::nullopt;
        }
        lost = true;
        cluster.Clock().After(milliseconds(5), [&] {
          cluster.Connection(1).SetFault(StoreFault::eRejectsCalls);
        });
        return loss;
      });
    cluster.Cancel(1, 0);
    cluster.RunFor(seconds(8));
    REQUIRE(lost);
    CHECK(cluster.Answer(0) == CallerStatus::eUnknown);
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
