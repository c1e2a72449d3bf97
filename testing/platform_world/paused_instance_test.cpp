// An instance whose loop stands still for a while, at each moment of a job's
// life, and acts when it goes on.
#include <doctest/doctest.h>

#include <algorithm>

#include "testing/platform_world/small_cluster.h"

namespace flamingoloom::testing::platform_world {
namespace {

using node::CallerStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WakeOrder kWakeOrders[] = { WakeOrder::eTimersFirst,
                                      WakeOrder::eResponsesFirst,
                                      WakeOrder::eTimersLate };
constexpr milliseconds kPauses[] = { milliseconds(500),  milliseconds(1400),
                                     milliseconds(3000), milliseconds(7000),
                                     milliseconds(9000), milliseconds(14000) };
// Later than the server has taken the start.
constexpr auto kStartTakes = milliseconds(40);
constexpr auto kSweepStep = milliseconds(4);
constexpr auto kNetworkDelay = milliseconds(2);

struct Moment
{
  std::string Text() const
  {
    return "paused " + std::to_string(mAt.count()) + " ms after the job for " +
           std::to_string(mPause.count()) + " ms, order " +
           std::to_string(static_cast<int>(mOrder));
  }

  milliseconds mAt{ 0 };
  milliseconds mPause{ 0 };
  WakeOrder mOrder = WakeOrder::eTimersFirst;
};

std::vector<Moment> Moments()
{
  std::vector<Moment> moments;
  for (const auto pause : kPauses) {
    for (const auto order : kWakeOrders) {
      for (milliseconds at(0); at < kStartTakes; at += kSweepStep) {
        moments.push_back({ at, pause, order });
      }
      for (const auto at : { 200, 600, 799, 800, 801, 803, 805, 810, 850 }) {
        moments.push_back({ milliseconds(at), pause, order });
      }
    }
  }
  return moments;
}

// Pauses the instance aInstance.
void Pause(SmallCluster& aCluster, std::size_t aInstance, const Moment& aMoment)
{
  aCluster.RunFor(aMoment.mAt);
  aCluster.Loop(aInstance).Pause();
  aCluster.RunFor(aMoment.mPause);
  aCluster.Loop(aInstance).Resume(aMoment.mOrder);
}

TEST_CASE("A leader that stood still does not start work that another one has")
{
  for (const auto& moment : Moments()) {
    INFO(moment.Text());
    SmallCluster cluster({});
    cluster.RunFor(seconds(2));
    const auto leader = cluster.Leader();
    cluster.Submit(1 - leader, 0, { 2, milliseconds(800) });
    Pause(cluster, leader, moment);
    const auto wokeAt = cluster.Clock().Now();
    const auto epoch = cluster.Epoch();
    cluster.RunFor(seconds(4));
    CHECK(cluster.AllDone());
    CHECK(cluster.Invariants().Violations() == std::vector<std::string>());
    CHECK(cluster.Invariants().Starts() == 2);
    // Each server that the other leader has reached rejects the first call, and
    // no further one follows.
    for (const auto& order : cluster.Orders()) {
      CHECK(
        (order.mEpoch >= epoch || order.mSentAt <= wokeAt + milliseconds(10)));
    }
  }
}

// Guards against a task that runs twice: a server that has restarted has not
// seen the token of the next leader and takes the start of the one before.
TEST_CASE(
  "A leader whose lease has ended sends no start, also to a server that "
  "has restarted")
{
  for (const auto order : kWakeOrders) {
    for (milliseconds at(0); at < kStartTakes; at += milliseconds(1)) {
      const Moment moment{ at, milliseconds(3000), order };
      INFO(moment.Text());
      SmallCluster cluster({});
      cluster.RunFor(seconds(2));
      const auto leader = cluster.Leader();
      cluster.Submit(1 - leader, 0, { 1, seconds(20) });
      cluster.RunFor(moment.mAt);
      cluster.Loop(leader).Pause();
      cluster.RunFor(moment.mPause);
      for (const int server : { 0, 1 }) {
        cluster.Servers().Crash(SmallCluster::ServerId(server));
        cluster.ListServer(server, "a" + std::to_string(server));
      }
      cluster.RunFor(milliseconds(50));
      const auto wokeAt = cluster.Clock().Now();
      cluster.Loop(leader).Resume(order);
      cluster.RunFor(seconds(3));
      CHECK(cluster.Invariants().Violations() == std::vector<std::string>());
      for (const auto& sent : cluster.Orders()) {
        CHECK((sent.mKind != OrderKind::eStart ||
               sent.mEpoch == cluster.Epoch() || sent.mSentAt < wokeAt));
      }
    }
  }
}

// The work was done before its leases expired on the server.
TEST_CASE(
  "The only instance that stood still does not count work as lost that is done")
{
  for (const auto& moment : Moments()) {
    INFO(moment.Text());
    SmallCluster cluster({ 1, 2 });
    cluster.RunFor(seconds(2));
    cluster.Submit(0, 0, { 2, milliseconds(800) });
    Pause(cluster, 0, moment);
    cluster.RunFor(seconds(5));
    CHECK(cluster.AllDone());
    CHECK(cluster.Invariants().Violations() == std::vector<std::string>());
    CHECK(cluster.Invariants().Starts() == 2);
  }
}

TEST_CASE("An instance that stood still does not answer callers by an old "
          "configuration")
{
  for (const auto pause : kPauses) {
    for (const auto order : kWakeOrders) {
      INFO("paused for " << pause.count() << " ms, order "
                         << static_cast<int>(order));
      SmallCluster cluster({ 2, 2 });
      cluster.Configure(2, { "key", "withdrawn" });
      cluster.RunFor(seconds(3));
      const auto paused = 1 - cluster.Leader();
      cluster.Loop(paused).Pause();
      cluster.Configure(3, { "key", "added" });
      cluster.RunFor(pause);
      cluster.Loop(paused).Resume(order);
      const SmallJob withdrawn{ 1, milliseconds(300), "withdrawn" };
      const SmallJob added{ 1, milliseconds(300), "added" };
      // Before and after the loop has handled what has waited.
      for (int job = 0; job < 20; job += 2) {
        cluster.Submit(paused, job, withdrawn);
        cluster.Submit(paused, job + 1, added);
        cluster.RunFor(milliseconds(job));
        // A configuration may be used for this long after it was replaced.
        if (pause >= milliseconds(2400)) {
          CHECK(cluster.Answer(job) != CallerStatus::eAccepted);
          CHECK(cluster.Answer(job + 1) != CallerStatus::eUnknownKey);
        }
      }
      cluster.RunFor(seconds(5));
      cluster.Submit(paused, 100, added);
      cluster.Submit(paused, 101, withdrawn);
      cluster.RunFor(seconds(1));
      CHECK(cluster.Answer(100) == CallerStatus::eAccepted);
      CHECK(cluster.Answer(101) == CallerStatus::eUnknownKey);
    }
  }
}

// The platform allows an age of 2 s. The length that waited for the loop may be
// older, though the configuration may still be used.
TEST_CASE("An instance that stood still does not tell an old queue length")
{
  for (const auto order : kWakeOrders) {
    for (milliseconds at(0); at < milliseconds(500); at += milliseconds(20)) {
      for (const auto pause :
           { milliseconds(2020), milliseconds(2200), milliseconds(9000) }) {
        INFO("paused after " << at.count() << " ms for " << pause.count()
                             << " ms, order " << static_cast<int>(order));
        // No server, so that jobs stay in the queue.
        SmallCluster cluster({ 2, 0 });
        cluster.RunFor(seconds(3) + at);
        const auto paused = 1 - cluster.Leader();
        cluster.Loop(paused).Pause();
        // After a renewal, whose length waits for the loop.
        cluster.RunFor(milliseconds(250));
        for (int job = 0; job < 4; ++job) {
          cluster.Submit(1 - paused, job);
        }
        cluster.RunFor(pause);
        cluster.Loop(paused).Resume(order);
        for (int i = 0; i < 20; ++i) {
          const auto response = cluster.QueryLength(paused);
          if (response.mCallerStatus == CallerStatus::eFound) {
            CHECK(response.mPendingJobs == 4);
          }
          cluster.RunFor(milliseconds(i < 10 ? 0 : 1));
        }
        cluster.RunFor(seconds(3));
        CHECK(cluster.QueryLength(paused).mPendingJobs == 4);
      }
    }
  }
}

// Between the first call to the store, which rejects it, and the next one.
TEST_CASE("A job is not stored after the caller's time when the instance stood "
          "still")
{
  for (const auto order : kWakeOrders) {
    for (milliseconds at(0); at < milliseconds(60); at += kSweepStep) {
      INFO("paused after " << at.count() << " ms, order "
                           << static_cast<int>(order));
      SmallCluster cluster({});
      cluster.Configure(2, { "key", "withdrawn" });
      cluster.RunFor(seconds(3));
      const auto paused = 1 - cluster.Leader();
      cluster.Connection(paused).SetFault(StoreFault::eRejectsCalls);
      cluster.Submit(paused, 0, { 1, milliseconds(300), "withdrawn" });
      cluster.RunFor(at);
      cluster.Connection(paused).SetFault(StoreFault::eNone);
      const bool stored = cluster.HasJobRow(0);
      cluster.Loop(paused).Pause();
      cluster.RunFor(kNetworkDelay * 2);
      const bool inTime = stored || cluster.HasJobRow(0);
      cluster.Configure(3, { "key" });
      cluster.RunFor(seconds(9));
      cluster.Loop(paused).Resume(order);
      cluster.RunFor(seconds(3));
      CHECK(cluster.HasJobRow(0) == inTime);
    }
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
