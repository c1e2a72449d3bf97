#include "testing/real_cluster/troubles.h"

#include <optional>

#include "testing/real_cluster/traffic.h"

namespace flamingoloom::testing::real_cluster {

using review::Json;

review::Json MakeConfiguration(int aVersion)
{
  Json routes = Json::array();
  const auto add = [&routes](const std::string& aName, int aPriority) {
    routes.push_back({ { "name", aName },
                       { "host", kHost },
                       { "path-prefix", "/" + aName + "/" },
                       { "kind", "non_idempotent" },
                       { "timeout-ms", 3000 },
                       { "target-latency-ms", aPriority == 0 ? 500 : 1200 },
                       { "priority", aPriority },
                       { "service", kService },
                       { "max-attempts", kMaxAttempts },
                       { "stretch", aPriority == 0 ? 1.5 : 3.0 },
                       { "public", false },
                       { "allowed-regions", Json::array() } });
  };
  for (const auto& queue : LargeTraffic()) {
    add(queue.mName, queue.mPriority);
  }
  if (aVersion > 1) {
    add("v" + std::to_string(aVersion), 2);
  }
  return { { "version", aVersion },
           { "routes", std::move(routes) },
           { "services",
             { { { "name", kService },
                 { "health-check-path", "/health" },
                 { "max-connections", 64 },
                 { "protocol", "h1" },
                 { "tls", false },
                 { "admission-check", true },
                 { "standby", false } } } },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 262144 },
               { "header-timeout-ms", 3000 },
               { "idle-timeout-ms", 15000 } } },
           { "tenants",
             { { { "name", "shop" },
                 { "api-keys", { kKey } },
                 { "priority", 1 },
                 { "guaranteed", { { "gpus", 400 } } },
                 { "allowed-regions", Json::array() } } } } };
}

namespace {

struct Trouble
{
  const char* mName;
  double mEveryMs;
  // How long it disturbs, for the judge; planned work doesn't.
  std::optional<double> mHarmMs;
  void (*mBegin)(Cluster&);
};

void FailStarts(Cluster& aCluster)
{
  aCluster.ForShare(
    aCluster.mFleet.Servers().size(), 0.085, [&](std::size_t aServer) {
      auto* server = aCluster.mFleet.Servers()[aServer].get();
      server->SetFailsStarts(true);
      aCluster.mRuntime.After(6500,
                              [server] { server->SetFailsStarts(false); });
    });
}

void CrashServers(Cluster& aCluster, double aShare, double aDownMs)
{
  aCluster.ForShare(
    aCluster.mFleet.Servers().size(), aShare, [&](std::size_t aServer) {
      auto* server = aCluster.mFleet.Servers()[aServer].get();
      if (server->IsSound()) {
        server->Crash();
        aCluster.mRuntime.After(aDownMs, [server] { server->Restart(); });
      }
    });
}

const Trouble kTroubles[] = {
  { "grey", 9000, 6500, FailStarts },
  { "gone",
    15000,
    0,
    [](Cluster& aCluster) {
      aCluster.mFleet.LoseForGood(aCluster.mRandom, 0.02, 20000);
    } },
  { "drain",
    500,
    {},
    [](Cluster& aCluster) {
      aCluster.mFleet.DrainOne(aCluster.mRandom, 7000, 20000);
    } },
  { "lead",
    15000,
    {},
    [](Cluster& aCluster) {
      aCluster.mLeaderStop.Stop(aCluster.mInstances, 2000);
    } },
  // Servers are lost while the leader hands over.
  { "succession",
    15000,
    0,
    [](Cluster& aCluster) {
      std::uniform_real_distribution<double> waitMs(1000, 6000);
      aCluster.mFleet.LoseForGood(aCluster.mRandom, 0.02, 20000);
      aCluster.mRuntime.After(waitMs(aCluster.mRandom), [&aCluster] {
        aCluster.mLeaderStop.Stop(aCluster.mInstances, 2000);
      });
    } },
  { "crash",
    15000,
    4500,
    [](Cluster& aCluster) { CrashServers(aCluster, 0.14, 4500); } },
  { "flap",
    2800,
    1400,
    [](Cluster& aCluster) { CrashServers(aCluster, 0.02, 1400); } },
  { "term",
    1300,
    {},
    [](Cluster& aCluster) {
      aCluster.mInstances.Terminate(
        aCluster.mRandom() % aCluster.mInstances.Count(), 2000);
    } },
  { "kill",
    4000,
    3500,
    [](Cluster& aCluster) {
      aCluster.ForShare(
        aCluster.mInstances.Count(), 0.08, [&](std::size_t aInstance) {
          aCluster.mInstances.Kill(aInstance, 3500);
        });
    } },
  { "pause",
    7000,
    3500,
    [](Cluster& aCluster) {
      aCluster.ForShare(
        aCluster.mInstances.Count(), 0.11, [&](std::size_t aInstance) {
          aCluster.mInstances.Pause(aInstance, 3500);
        });
    } },
  { "hangup",
    3000,
    {},
    [](Cluster& aCluster) {
      aCluster.ForShare(
        aCluster.mInstances.Count(), 0.3, [&](std::size_t aInstance) {
          aCluster.mInstances.HangUp(aInstance);
        });
    } },
  { "config",
    3000,
    {},
    [](Cluster& aCluster) {
      aCluster.mStore.Put(
        "op", "config", MakeConfiguration(++aCluster.mVersion));
    } },
  { "evacuate",
    16000,
    8000,
    [](Cluster& aCluster) {
      const auto dataCentre =
        aCluster
          .mDataCentres[aCluster.mRandom() % aCluster.mDataCentres.size()];
      aCluster.mStore.Put("op", "evacuate/" + dataCentre, Json::object());
      aCluster.mRuntime.After(8000, [&aCluster, dataCentre] {
        aCluster.mStore.Remove("op", "evacuate/" + dataCentre);
      });
    } },
  { "slow",
    15000,
    4500,
    [](Cluster& aCluster) {
      aCluster.mStore.SetSlow(true);
      aCluster.mRuntime.After(4500,
                              [&aCluster] { aCluster.mStore.SetSlow(false); });
    } },
  { "down",
    19000,
    4500,
    [](Cluster& aCluster) {
      aCluster.mStore.SetDown(true);
      aCluster.mRuntime.After(4500,
                              [&aCluster] { aCluster.mStore.SetDown(false); });
    } },
  { "cut",
    4000,
    4000,
    [](Cluster& aCluster) {
      aCluster.ForShare(
        aCluster.mLinks.Count(), 0.1, [&](std::size_t aInstance) {
          constexpr LinkHolds kWays[] = { { true, true },
                                          { true, false },
                                          { false, true } };
          std::uniform_real_distribution<double> lastsMs(500, 4000);
          aCluster.mLinks.Cut(aInstance,
                              kWays[aCluster.mRandom() % std::size(kWays)],
                              lastsMs(aCluster.mRandom));
        });
    } },
  { "delay",
    9000,
    3000,
    [](Cluster& aCluster) {
      aCluster.mLinks.DelayAll(std::chrono::milliseconds(200), 3000);
    } },
  { "reset",
    3000,
    0,
    [](Cluster& aCluster) {
      aCluster.ForShare(
        aCluster.mLinks.Count(), 0.35, [&](std::size_t aInstance) {
          aCluster.mLinks.Reset(aInstance);
        });
    } },
};

void Repeat(Cluster& aCluster, const Trouble& aTrouble, double aUntilMs)
{
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  const double wait = aTrouble.mEveryMs * factor(aCluster.mRandom);
  aCluster.mRuntime.After(wait, [&aCluster, &aTrouble, aUntilMs] {
    if (aCluster.mRuntime.NowMs() < aUntilMs) {
      aCluster.mRuntime.Record(std::string("trouble: ") + aTrouble.mName);
      if (aTrouble.mHarmMs) {
        aCluster.mJudge.Disrupt(aCluster.mRuntime.NowMs() + *aTrouble.mHarmMs);
      }
      aTrouble.mBegin(aCluster);
      Repeat(aCluster, aTrouble, aUntilMs);
    }
  });
}

} // namespace

void BeginTroubles(Cluster& aCluster,
                   const std::string& aTroubles,
                   double aUntilMs)
{
  for (const auto& trouble : kTroubles) {
    if (("," + aTroubles + ",").find("," + std::string(trouble.mName) + ",") !=
        std::string::npos) {
      Repeat(aCluster, trouble, aUntilMs);
    }
  }
}

} // namespace flamingoloom::testing::real_cluster
