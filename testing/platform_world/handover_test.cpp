// Two instances around a hand-over of leadership, with work that is handed in
// all the while.
#include <doctest/doctest.h>

#include <algorithm>

#include "testing/platform_world/small_cluster.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kSweepStep = milliseconds(5);
// Of a call to a server, one way.
constexpr auto kNetworkDelay = milliseconds(2);
constexpr auto kJobInterval = milliseconds(40);
constexpr auto kTaskTime = milliseconds(300);

// Hands in a job each kJobInterval for aDuration.
void SubmitJobs(SmallCluster& aCluster, base::Duration aDuration)
{
  int job = 0;
  for (base::Duration at{ 0 }; at < aDuration; at += kJobInterval) {
    aCluster.Clock().After(at, [&aCluster, job] {
      aCluster.SubmitUntilAccepted(job, { 1, kTaskTime });
    });
    ++job;
  }
}

void CheckNothingTwice(SmallCluster& aCluster)
{
  CHECK(aCluster.AllDone());
  CHECK(aCluster.Invariants().Violations() == std::vector<std::string>());
}

// The orders of an epoch that leave for a server after the first order of a
// higher epoch for it has reached it; the server rejects them.
std::vector<Order> FindLateOrders(const SmallCluster& aCluster)
{
  std::map<base::ServerId, std::map<std::int64_t, base::Time>> first;
  for (const auto& order : aCluster.Orders()) {
    first[order.mServer].try_emplace(order.mEpoch, order.mSentAt);
  }
  std::vector<Order> late;
  for (const auto& order : aCluster.Orders()) {
    const auto& epochs = first[order.mServer];
    const auto higher = epochs.upper_bound(order.mEpoch);
    if (higher != epochs.end() &&
        order.mSentAt >= higher->second + kNetworkDelay) {
      late.push_back(order);
    }
  }
  return late;
}

// The first order that is rejected ends the old leader.
void CheckLateOrders(const SmallCluster& aCluster)
{
  const auto late = FindLateOrders(aCluster);
  for (const auto& order : late) {
    CHECK(order.mSentAt <= late.front().mSentAt + 2 * kNetworkDelay);
  }
}

bool IsClaim(const node::Transaction& aTransaction)
{
  return std::any_of(
    aTransaction.mChanges.begin(),
    aTransaction.mChanges.end(),
    [](const auto& aChange) { return aChange.mKey == node::kEpochKey; });
}

bool IsRenewal(const node::Transaction& aTransaction)
{
  return !IsClaim(aTransaction) &&
         std::any_of(aTransaction.mChanges.begin(),
                     aTransaction.mChanges.end(),
                     [](const auto& aChange) {
                       return aChange.mKey == node::kRenewalKey;
                     });
}

TEST_CASE("An instance that has released its leadership sends no orders")
{
  for (auto offset = milliseconds(0); offset < milliseconds(500);
       offset += kSweepStep) {
    INFO("stepped down after " << offset.count() << " ms");
    SmallCluster cluster({});
    cluster.RunFor(seconds(2));
    SubmitJobs(cluster, seconds(2));
    cluster.RunFor(seconds(1) + offset);
    const auto epoch = cluster.Epoch();
    const auto releasedAt = cluster.Clock().Now();
    cluster.Instance(cluster.Leader()).StepDown();
    cluster.RunFor(seconds(4));
    CHECK(cluster.Epoch() > epoch);
    for (const auto& order : cluster.Orders()) {
      CHECK((order.mEpoch > epoch || order.mSentAt <= releasedAt));
    }
    CheckNothingTwice(cluster);
  }
}

TEST_CASE("A leader that loses its lease unseen does not start work twice")
{
  for (auto offset = milliseconds(0); offset < milliseconds(500);
       offset += kSweepStep) {
    INFO("cut off after " << offset.count() << " ms");
    SmallCluster cluster({});
    cluster.RunFor(seconds(2));
    SubmitJobs(cluster, seconds(2));
    cluster.RunFor(seconds(1) + offset);
    const auto epoch = cluster.Epoch();
    const auto leader = cluster.Leader();
    cluster.Connection(leader).SetFault(StoreFault::eUnresponsive);
    cluster.RunFor(seconds(4));
    CHECK(cluster.Epoch() > epoch);
    cluster.Connection(leader).SetFault(StoreFault::eNone);
    cluster.RunFor(seconds(2));
    CheckLateOrders(cluster);
    CheckNothingTwice(cluster);
  }
}

// The other instance claims as well, before or after it.
TEST_CASE("A claim that is applied late does not make two leaders")
{
  for (const bool answered : { true, false }) {
    for (auto delay = milliseconds(0); delay < milliseconds(300);
         delay += kSweepStep) {
      INFO("late by " << delay.count() << " ms, answered " << answered);
      SmallCluster cluster({ 3, 2 });
      cluster.RunFor(seconds(2));
      SubmitJobs(cluster, seconds(2));
      const auto leader = cluster.Leader();
      const auto late = leader == 0 ? std::size_t{ 1 } : std::size_t{ 0 };
      bool disturbed = false;
      cluster.StoreOf(late).SetDisturbance(
        [&](const auto& aTransaction) -> std::optional<Disturbance> {
          if (disturbed || !IsClaim(aTransaction)) {
            return std::nullopt;
          }
          disturbed = true;
          return Disturbance{ delay, answered };
        });
      cluster.RunFor(milliseconds(700));
      cluster.Kill(leader);
      cluster.RunFor(seconds(6));
      CHECK(disturbed);
      CheckLateOrders(cluster);
      CheckNothingTwice(cluster);
    }
  }
}

TEST_CASE("A renewal that is applied late does not make two leaders")
{
  for (const bool answered : { true, false }) {
    for (auto delay = milliseconds(950); delay < milliseconds(1350);
         delay += kSweepStep) {
      INFO("late by " << delay.count() << " ms, answered " << answered);
      SmallCluster cluster({});
      cluster.RunFor(seconds(2));
      SubmitJobs(cluster, seconds(3));
      const auto leader = cluster.Leader();
      // All renewals within a second are held up.
      const auto until = cluster.Clock().Now() + seconds(1);
      cluster.StoreOf(leader).SetDisturbance(
        [&](const auto& aTransaction) -> std::optional<Disturbance> {
          if (cluster.Clock().Now() > until || !IsRenewal(aTransaction)) {
            return std::nullopt;
          }
          return Disturbance{ delay, answered };
        });
      cluster.RunFor(seconds(7));
      CheckLateOrders(cluster);
      CheckNothingTwice(cluster);
    }
  }
}

// The lease would have to run out first, with nobody to schedule meanwhile.
TEST_CASE("An instance that steps down while it claims releases the lease")
{
  for (const auto delay : { milliseconds(0), milliseconds(20) }) {
    INFO("claim late by " << delay.count() << " ms");
    SmallCluster cluster({ 3, 2 });
    cluster.RunFor(seconds(2));
    const auto leader = cluster.Leader();
    const auto claimant = leader == 0 ? std::size_t{ 1 } : std::size_t{ 0 };
    bool claims = false;
    cluster.StoreOf(claimant).SetDisturbance(
      [&](const auto& aTransaction) -> std::optional<Disturbance> {
        if (claims || !IsClaim(aTransaction)) {
          return std::nullopt;
        }
        claims = true;
        cluster.Clock().After(kNetworkDelay, [&cluster, claimant] {
          cluster.Instance(claimant).StepDown();
        });
        return Disturbance{ delay, true };
      });
    cluster.Instance(leader).StepDown();
    cluster.RunFor(milliseconds(400));
    REQUIRE(claims);
    CHECK(cluster.Leader() == 3 - leader - claimant);
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
