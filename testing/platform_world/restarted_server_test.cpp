// Servers that start again under their ids while calls to their earlier
// incarnations are under way, and that are cut off soon after.
#include <doctest/doctest.h>

#include "testing/platform_world/small_cluster.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServers = 4;
constexpr auto kTrafficTime = seconds(25);
constexpr auto kJobInterval = milliseconds(150);
// Longer than a leader takes to list a server that has restarted.
constexpr auto kListedAfter = milliseconds(700);
// Of calls that get no response. A call can reach a restarted server for as
// long as the client keeps its connection open, which is until its timeout.
constexpr auto kMaxDelay = milliseconds(600);

struct Troubles
{
  // Share of the calls to servers that get no response.
  double mLostShare = 0.15;
  // Servers are cut off after some of their restarts.
  bool mCuts = false;
  // An instance is killed after some of the restarts.
  bool mKills = false;
};

// A play of a small cluster whose troubles are drawn from a seed.
class Play
{
public:
  Play(unsigned aSeed, const Troubles& aTroubles)
    : mTroubles(aTroubles)
    , mDraws(aSeed)
  {
    mCluster.Servers().SetNewConnectionShare(0.5);
    mCluster.RunFor(seconds(2));
    for (const std::size_t instance : { 0, 1 }) {
      Disturb(instance);
    }
    int job = 0;
    for (base::Duration at{ 0 }; at < kTrafficTime; at += kJobInterval) {
      const SmallJob spec{ 1, mDraws.Between(milliseconds(300), seconds(9)) };
      mCluster.Clock().After(
        at, [this, job, spec] { mCluster.SubmitUntilAccepted(job, spec); });
      ++job;
    }
    for (base::Duration at = seconds(1); at < kTrafficTime;
         at += mDraws.Between(milliseconds(200), milliseconds(3000))) {
      mCluster.Clock().After(at, [this] { RestartServer(); });
    }
    mCluster.RunFor(kTrafficTime);
    mDisturbing = false;
    mCluster.RunFor(seconds(45));
  }

  SmallCluster& Cluster() { return mCluster; }

private:
  void Disturb(std::size_t aInstance)
  {
    mCluster.ServersOf(aInstance).SetDisturbance(
      [this](OrderKind) -> std::optional<Disturbance> {
        if (!mDisturbing || !mDraws.Chance(mTroubles.mLostShare)) {
          return std::nullopt;
        }
        return Disturbance{ mDraws.Between(milliseconds(1), kMaxDelay), false };
      });
  }

  void RestartServer()
  {
    const int server = static_cast<int>(
      mDraws.Between(base::Duration(0), base::Duration(kServers - 1)).count());
    const auto id = SmallCluster::ServerId(server);
    if (mCluster.Servers().IsUnreachable(id)) {
      return;
    }
    mCluster.Servers().Crash(id);
    mCluster.Clock().After(
      mDraws.Between(milliseconds(1), kListedAfter), [this, server] {
        mCluster.ListServer(server, "a" + std::to_string(server));
      });
    if (mTroubles.mCuts && mDraws.Chance(0.7)) {
      mCluster.Clock().After(
        mDraws.Between(milliseconds(1), milliseconds(2500)), [this, id] {
          mCluster.Servers().SetUnreachable(id, true);
          mCluster.Clock().After(
            mDraws.Between(seconds(1), seconds(14)),
            [this, id] { mCluster.Servers().SetUnreachable(id, false); });
        });
    }
    if (mTroubles.mKills && mDraws.Chance(0.3)) {
      mCluster.Clock().After(
        mDraws.Between(milliseconds(1), milliseconds(1500)), [this] {
          const std::size_t instance = mDraws.Chance(0.5) ? 1 : 0;
          mCluster.Kill(instance);
          mCluster.Restart(instance);
          Disturb(instance);
        });
    }
  }

  const Troubles mTroubles;
  fakes::VirtualClock mDraws;
  SmallCluster mCluster{ { 2, kServers } };
  bool mDisturbing = true;
};

void CheckPlays(const Troubles& aTroubles)
{
  for (unsigned seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed << ", lost " << aTroubles.mLostShare << ", cuts "
                 << aTroubles.mCuts << ", kills " << aTroubles.mKills);
    Play play(seed, aTroubles);
    CHECK(play.Cluster().AllDone());
    for (const auto& violation : play.Cluster().Invariants().Violations()) {
      FAIL_CHECK(violation);
    }
  }
}

// Guards against a call to an earlier incarnation that a later one executes: a
// start of a task that runs elsewhere by now, or the acknowledgement of a
// completion that nobody has read.
TEST_CASE("Calls to an earlier incarnation of a server have no effect on a "
          "later one")
{
  CheckPlays({});
  CheckPlays({ .mLostShare = 0.4 });
}

TEST_CASE("Work on a server that is cut off after its restart runs once")
{
  CheckPlays({ .mCuts = true });
}

TEST_CASE("Work on restarted servers runs once beside changes of leader")
{
  CheckPlays({ .mKills = true });
  CheckPlays({ .mCuts = true, .mKills = true });
}

// One server of two restarts while calls of the kind aLost are under way, or
// lost if aDelay is not set, and is cut off aCutAfter later.
void CheckCutAfterRestart(OrderKind aLost,
                          std::optional<base::Duration> aDelay,
                          base::Duration aCutAfter)
{
  SmallCluster cluster({ 1, 2 });
  cluster.RunFor(seconds(2));
  // Longer than the longest lease.
  cluster.Submit(0, 0, { 1, seconds(13) });
  bool lose = aLost == OrderKind::eStart;
  cluster.ServersOf(0).SetDisturbance(
    [&](OrderKind aKind) -> std::optional<Disturbance> {
      return lose && aKind == aLost
               ? std::optional(Disturbance{ aDelay, false })
               : std::nullopt;
    });
  // Not longer than the first call of a start.
  cluster.RunFor(milliseconds(aLost == OrderKind::eStart ? 300 : 3000));
  lose = aLost != OrderKind::eStart;
  if (lose) {
    // A request that grants a lease follows each completion.
    cluster.Submit(0, 1, { 2, milliseconds(300) });
    cluster.RunFor(milliseconds(320));
  }
  const auto server = cluster.Orders().back().mServer;
  const int number = server == SmallCluster::ServerId(0) ? 0 : 1;
  cluster.Servers().Crash(server);
  cluster.Clock().After(milliseconds(20), [&] { lose = false; });
  cluster.Clock().After(milliseconds(600), [&] {
    cluster.ListServer(number, "a" + std::to_string(number));
  });
  cluster.RunFor(aCutAfter);
  cluster.Servers().SetUnreachable(server, true);
  cluster.RunFor(seconds(14));
  cluster.Servers().SetUnreachable(server, false);
  cluster.RunFor(seconds(30));
  CHECK(cluster.AllDone());
  for (const auto& violation : cluster.Invariants().Violations()) {
    FAIL_CHECK(violation);
  }
}

// Guards against a lease that the new incarnation has taken with an expiry by
// the clock of the one before, so that it lasts longer than the leader reckons.
TEST_CASE("Work that waits for the leases of a server which was cut off after "
          "its restart runs once")
{
  for (milliseconds cut(50); cut < seconds(4); cut += milliseconds(50)) {
    INFO("cut off after " << cut.count() << " ms");
    CheckCutAfterRestart(OrderKind::eStart, std::nullopt, cut);
    for (const auto delay : { milliseconds(100), milliseconds(580) }) {
      CheckCutAfterRestart(OrderKind::eReport, delay, cut);
    }
  }
}

// Guards against a server that gets no token, and then takes orders of earlier
// leaders for good.
TEST_CASE("A server that has restarted is fenced again, also if its wall clock "
          "has stepped back")
{
  for (const std::int64_t startedMs : { 0, 1, 2 }) {
    SmallCluster cluster({ 1, 1 });
    const auto id = SmallCluster::ServerId(0);
    cluster.RunFor(seconds(2));
    cluster.Submit(0, 0, { 1, milliseconds(300) });
    cluster.RunFor(seconds(4));
    REQUIRE(cluster.AllDone());
    cluster.Servers().Crash(id, startedMs);
    cluster.ListServer(0, "a0");
    const auto listedAt = cluster.Clock().Now();
    cluster.RunFor(seconds(1));
    // The same start time names the same incarnation.
    CHECK((cluster.Orders().back().mSentAt > listedAt) == (startedMs != 1));
    cluster.Submit(0, 1, { 1, milliseconds(300) });
    cluster.RunFor(seconds(4));
    CHECK(cluster.Invariants().Starts() == 2);
    CHECK(cluster.AllDone());
  }
}

} // namespace
} // namespace flamingoloom::testing::platform_world
