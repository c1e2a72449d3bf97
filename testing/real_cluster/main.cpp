// Plays a large deployment as real processes on loopback, with disruptions from
// outside, and judges whether anything that was accepted is lost:
//
//   real_cluster SETTINGS PROGRAM FOLDER SEED SECONDS INSTANCES SERVERS
//   TROUBLES [LOAD]
//
// SETTINGS is a file with the platform's settings of one instance. TROUBLES is
// a list like "grey,term"; see kTroubles. FOLDER gets the logs and a record.
// Exits with 1 if something was lost, 0 if not, 2 if it could not run.
#include <csignal>
#include <cstdio>
#include <fstream>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "review/standins/store.h"
#include "testing/real_cluster/backend_servers.h"
#include "testing/real_cluster/instance_processes.h"
#include "testing/real_cluster/leader_stop.h"
#include "testing/real_cluster/still_judge.h"
#include "testing/real_cluster/traffic.h"

namespace flamingoloom::testing::real_cluster {
namespace {

using review::Json;

constexpr const char* kService = "desk";
// The instances elect a leader and find the servers.
constexpr double kStartMs = 14000;
constexpr double kFinishMs = 30000;

// The configuration, with a queue of its own for each version after the first.
Json MakeConfiguration(int aVersion)
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

struct Cluster
{
  review::Runtime& mRuntime;
  review::Store& mStore;
  BackendFleet& mFleet;
  InstanceProcesses& mInstances;
  LeaderStop& mLeaderStop;
  StillJudge& mJudge;
  std::vector<std::string> mDataCentres;
  std::mt19937_64 mRandom;
  int mVersion = 1;

  // Calls aAction for a random share of 0 to aCount - 1.
  void ForShare(std::size_t aCount,
                double aShare,
                const std::function<void(std::size_t)>& aAction)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      if (std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare) {
        aAction(i);
      }
    }
  }
};

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

void LookRegularly(review::Runtime& aRuntime, BackendFleet& aFleet)
{
  constexpr double kLookMs = 100;
  aFleet.ShowToJudge();
  aRuntime.After(kLookMs, [&] { LookRegularly(aRuntime, aFleet); });
}

int Play(char** aArguments, double aLoad)
{
  const std::string program = aArguments[2];
  const std::string folder = aArguments[3];
  const auto seed = std::stoull(aArguments[4]);
  const double untilMs = kStartMs + std::stod(aArguments[5]) * 1000;
  const auto settings = Json::parse(std::ifstream(aArguments[1]));
  const auto troubles = "," + std::string(aArguments[8]) + ",";
  review::Runtime runtime(folder + "/record.txt");
  review::Store store(runtime);
  StillJudge judge(kMaxAttempts);
  BackendFleet fleet(runtime, store, judge, ServerBounds::From(settings));
  store.Put("op", "config", MakeConfiguration(1));
  InstanceProcesses instances(runtime,
                              settings,
                              store.Address(),
                              program,
                              folder,
                              std::stoi(aArguments[6]));
  std::vector<std::string> dataCentres;
  for (const auto& [dataCentre, region] : settings.at("zones").items()) {
    dataCentres.push_back(dataCentre);
  }
  const int servers = std::stoi(aArguments[7]);
  for (int i = 0; i < servers; ++i) {
    constexpr int kServersPerRack = 8;
    const int rack = i / kServersPerRack;
    fleet.Add(
      { fmt::format("s-{:04}", i),
        kService,
        dataCentres[static_cast<std::size_t>(rack) % dataCentres.size()],
        fmt::format("r-{}", rack),
        { 128000, 262144, 8 } });
  }
  LeaderStop leaderStop(runtime, store.Address());
  Cluster cluster{ runtime,    store, fleet,       instances,
                   leaderStop, judge, dataCentres, std::mt19937_64(seed) };
  Traffic traffic(runtime, instances, fleet, judge, seed + 1);
  runtime.After(kStartMs,
                [&] { traffic.Start(LargeTraffic(), aLoad, untilMs); });
  runtime.After(untilMs, [&] { judge.EndTraffic(untilMs); });
  runtime.After(kStartMs, [&] { LookRegularly(runtime, fleet); });
  constexpr double kCalmMs = 4000;
  for (const auto& trouble : kTroubles) {
    if (troubles.find("," + std::string(trouble.mName) + ",") !=
        std::string::npos) {
      runtime.After(kStartMs, [&cluster, &trouble, untilMs] {
        Repeat(cluster, trouble, untilMs - kCalmMs);
      });
    }
  }
  runtime.After(untilMs + kFinishMs / 2,
                [&] { traffic.AskForAll(untilMs + kFinishMs); });
  runtime.After(untilMs + kFinishMs + 4000, [&] { runtime.Loop().stop(); });
  runtime.Loop().run();
  judge.Finish(runtime.NowMs());
  const int lost = traffic.Judge() + instances.UnexpectedEnds();
  std::printf("seed %llu, %s: %d lost (%d stood still, %zu beside trouble), "
              "%d instances ended by themselves\n",
              seed,
              aArguments[8],
              lost,
              judge.Broken(),
              judge.Stills().size() - static_cast<std::size_t>(judge.Broken()),
              instances.UnexpectedEnds());
  return lost > 0 ? 1 : 0;
}

} // namespace
} // namespace flamingoloom::testing::real_cluster

int main(int aCount, char** aArguments)
{
  constexpr int kArguments = 9;
  std::signal(SIGPIPE, SIG_IGN);
  if (aCount != kArguments && aCount != kArguments + 1) {
    std::fputs("usage: real_cluster SETTINGS PROGRAM FOLDER SEED SECONDS "
               "INSTANCES SERVERS TROUBLES [LOAD]\n",
               stderr);
    return 2;
  }
  return flamingoloom::testing::real_cluster::Play(
    aArguments, aCount > kArguments ? std::stod(aArguments[kArguments]) : 1);
}
