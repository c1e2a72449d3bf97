// All instances restart, one after the other or at once, after a server has
// left or a key was withdrawn.
#include <doctest/doctest.h>

#include <algorithm>

#include "testing/platform_world/small_cluster.h"

namespace flamingoloom::testing::platform_world {
namespace {

using node::CallerStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kInstances = 3;
// The servers 0 and 1 are listed at first, 2 comes later.
constexpr int kLeftServer = 0;
constexpr int kNewServer = 2;
constexpr const char* kLeftAddress = "a0";
constexpr auto kSweepStep = milliseconds(40);

enum class StoreState
{
  eSound,
  eSlow,
  eHistoryForgotten,
  eRejectsOneInstance,
};

constexpr StoreState kStoreStates[] = { StoreState::eSound,
                                        StoreState::eSlow,
                                        StoreState::eHistoryForgotten,
                                        StoreState::eRejectsOneInstance };

void KillAll(SmallCluster& aCluster)
{
  for (std::size_t i = 0; i < kInstances; ++i) {
    aCluster.Kill(i);
  }
}

// Restarts the instances with aGap in between, while the store is as aState
// says.
void RestartAll(SmallCluster& aCluster, milliseconds aGap, StoreState aState)
{
  if (aState == StoreState::eSlow) {
    aCluster.Store().SetTransactionTime(milliseconds(250));
  }
  if (aState == StoreState::eHistoryForgotten) {
    aCluster.Store().CompactHistory();
  }
  for (std::size_t i = 0; i < kInstances; ++i) {
    aCluster.Restart(i);
    if (aState == StoreState::eRejectsOneInstance && i == 0) {
      aCluster.Connection(i).SetFault(StoreFault::eRejectsCalls);
    }
    aCluster.RunFor(aGap);
  }
}

void HealStore(SmallCluster& aCluster)
{
  aCluster.Store().SetTransactionTime(base::Duration(0));
  aCluster.Connection(0).SetFault(StoreFault::eNone);
}

int CountStarts(const SmallCluster& aCluster,
                base::Time aAfter,
                const base::ServerId& aServer)
{
  const auto& orders = aCluster.Orders();
  return static_cast<int>(
    std::count_if(orders.begin(), orders.end(), [&](const Order& aOrder) {
      return aOrder.mKind == OrderKind::eStart && aOrder.mSentAt > aAfter &&
             aOrder.mServer == aServer;
    }));
}

// The process of the server is gone.
void EndServer(SmallCluster& aCluster, int aServer)
{
  const auto id = SmallCluster::ServerId(aServer);
  aCluster.Servers().Crash(id);
  aCluster.Servers().SetUnreachable(id, true);
}

TEST_CASE("No start goes to a server that left while no leader was there")
{
  for (const auto state : kStoreStates) {
    for (milliseconds gap(0); gap < milliseconds(400); gap += kSweepStep) {
      INFO("restarts " << gap.count() << " ms apart, store "
                       << static_cast<int>(state));
      SmallCluster cluster({ kInstances, 2 });
      cluster.RunFor(seconds(3));
      cluster.SubmitUntilAccepted(0, { 4, milliseconds(400) });
      cluster.RunFor(seconds(2));
      REQUIRE(cluster.AllDone());
      KillAll(cluster);
      // It still responds.
      cluster.UnlistServer(kLeftServer);
      const auto leftAt = cluster.Clock().Now();
      RestartAll(cluster, gap, state);
      cluster.SubmitUntilAccepted(1, { 4, milliseconds(400) });
      cluster.RunFor(seconds(4));
      HealStore(cluster);
      cluster.RunFor(seconds(4));
      CHECK(CountStarts(cluster, leftAt, SmallCluster::ServerId(kLeftServer)) ==
            0);
      CHECK(cluster.AllDone());
      CHECK(cluster.Invariants().Violations() == std::vector<std::string>());
    }
  }
}

// Its row in the list is removed while the next leader reads the list, in two
// pages. The server still responds.
TEST_CASE("A server that leaves during the first reading is not used for long")
{
  // The list is read again after this time.
  constexpr auto kListInterval = milliseconds(500);
  constexpr auto kCalls = milliseconds(20);
  // The lease of the last leader runs out after 1 to 1.5 s.
  for (milliseconds at(1000); at < milliseconds(1700); at += milliseconds(5)) {
    INFO("left " << at.count() << " ms after the restart");
    SmallCluster cluster({ kInstances, 2 });
    cluster.Store().SetMaxRowsPerPage(1);
    cluster.RunFor(seconds(3));
    KillAll(cluster);
    RestartAll(cluster, milliseconds(0), StoreState::eSound);
    cluster.RunFor(at);
    cluster.UnlistServer(kLeftServer);
    const auto leftAt = cluster.Clock().Now();
    for (int job = 0; job < 30; ++job) {
      cluster.SubmitUntilAccepted(job, { 1, milliseconds(300) });
      cluster.RunFor(milliseconds(100));
    }
    CHECK(CountStarts(cluster,
                      leftAt + kListInterval + kCalls,
                      SmallCluster::ServerId(kLeftServer)) == 0);
    cluster.RunFor(seconds(3));
    CHECK(cluster.AllDone());
    CHECK(cluster.Invariants().Violations() == std::vector<std::string>());
  }
}

// With and without work that the server had when it left.
TEST_CASE("A new server at the address of one that left is taken for itself")
{
  for (const bool working : { false, true }) {
    for (const auto state : kStoreStates) {
      for (milliseconds gap(0); gap < milliseconds(400); gap += kSweepStep) {
        INFO("restarts " << gap.count() << " ms apart, store "
                         << static_cast<int>(state) << ", working " << working);
        SmallCluster cluster({ kInstances, 3 });
        cluster.UnlistServer(kNewServer);
        cluster.RunFor(seconds(3));
        cluster.SubmitUntilAccepted(0, { 4, milliseconds(900) });
        cluster.RunFor(working ? milliseconds(300) : milliseconds(2000));
        KillAll(cluster);
        EndServer(cluster, kLeftServer);
        cluster.UnlistServer(kLeftServer);
        cluster.ListServer(kNewServer, kLeftAddress);
        cluster.SetServerAt(kLeftAddress, kNewServer);
        const auto leftAt = cluster.Clock().Now();
        RestartAll(cluster, gap, state);
        cluster.SubmitUntilAccepted(1, { 4, milliseconds(400) });
        cluster.RunFor(seconds(4));
        HealStore(cluster);
        cluster.RunFor(seconds(20));
        CHECK(CountStarts(
                cluster, leftAt, SmallCluster::ServerId(kLeftServer)) == 0);
        CHECK(cluster.AllDone());
        CHECK(cluster.Invariants().Violations() == std::vector<std::string>());
      }
    }
  }
}

// A key may be used for as long after its withdrawal as by an instance that was
// not restarted.
TEST_CASE("A key that was withdrawn is not accepted again after a restart")
{
  constexpr int kCalls = 60;
  const auto maxAge = node::InstanceSettings().mStoreContactTimeout;
  for (const auto state : kStoreStates) {
    for (const auto down : { seconds(0), seconds(3) }) {
      for (milliseconds gap(0); gap < milliseconds(400); gap += kSweepStep) {
        INFO("restarts " << gap.count() << " ms apart, store "
                         << static_cast<int>(state) << ", down for "
                         << down.count() << " s");
        SmallCluster cluster({ kInstances, 2 });
        cluster.Configure(2, { "key", "withdrawn" });
        cluster.RunFor(seconds(3));
        KillAll(cluster);
        cluster.Configure(3, { "key" });
        const auto withdrawnAt = cluster.Clock().Now();
        cluster.RunFor(down);
        RestartAll(cluster, gap, state);
        std::vector<int> calls;
        for (int call = 0; call < kCalls; ++call) {
          if (cluster.Clock().Now() > withdrawnAt + maxAge) {
            calls.push_back(call);
          }
          cluster.Submit(static_cast<std::size_t>(call) % kInstances,
                         call,
                         { 1, milliseconds(300), "withdrawn" });
          cluster.RunFor(milliseconds(call < kCalls / 2 ? 5 : 100));
        }
        HealStore(cluster);
        cluster.RunFor(seconds(6));
        CHECK_FALSE(calls.empty());
        for (const int call : calls) {
          CHECK(cluster.Answer(call) != CallerStatus::eAccepted);
          CHECK_FALSE(cluster.HasJobRow(call));
        }
        cluster.Submit(0, kCalls, { 1, milliseconds(300), "withdrawn" });
        CHECK(cluster.Answer(kCalls) == CallerStatus::eUnknownKey);
      }
    }
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
