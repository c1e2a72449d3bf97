// Plays a large deployment as real processes on loopback, with disruptions from
// outside, and judges whether anything that was accepted is lost:
//
//   real_cluster SETTINGS PROGRAM FOLDER SEED SECONDS INSTANCES SERVERS
//   TROUBLES [LOAD]
//
// SETTINGS is a file with the platform's settings of one instance. TROUBLES is
// a list like "grey,term"; see troubles.cpp. "quota" in it holds each instance
// to the processor share of its settings. FOLDER gets the logs and a record.
// Exits with 1 if something was lost, 0 if not, 2 if it could not run.
#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>

#include <fmt/format.h>

#include "review/standins/store.h"
#include "testing/real_cluster/backend_servers.h"
#include "testing/real_cluster/instance_processes.h"
#include "testing/real_cluster/leader_stop.h"
#include "testing/real_cluster/still_judge.h"
#include "testing/real_cluster/store_links.h"
#include "testing/real_cluster/traffic.h"
#include "testing/real_cluster/troubles.h"

namespace flamingoloom::testing::real_cluster {
namespace {

using review::Json;

// The instances elect a leader and find the servers.
constexpr double kStartMs = 14000;
constexpr double kFinishMs = 30000;

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
  const std::string troubles = aArguments[8];
  const bool limited =
    ("," + troubles + ",").find(",quota,") != std::string::npos;
  review::Runtime runtime(folder + "/record.txt");
  review::Store store(runtime);
  StillJudge judge(kMaxAttempts);
  BackendFleet fleet(runtime, store, judge, ServerBounds::From(settings));
  store.Put("op", "config", MakeConfiguration(1));
  StoreLinks links(runtime, store.Address());
  InstanceProcesses instances(runtime,
                              settings,
                              links,
                              program,
                              folder,
                              std::stoi(aArguments[6]),
                              limited);
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
  Cluster cluster{ runtime,   store,       fleet,
                   instances, links,       leaderStop,
                   judge,     dataCentres, std::mt19937_64(seed) };
  Traffic traffic(runtime, instances, fleet, judge, seed + 1);
  runtime.After(kStartMs,
                [&] { traffic.Start(LargeTraffic(), aLoad, untilMs); });
  runtime.After(untilMs, [&] { judge.EndTraffic(untilMs); });
  runtime.After(kStartMs, [&] { LookRegularly(runtime, fleet); });
  constexpr double kCalmMs = 4000;
  runtime.After(kStartMs,
                [&] { BeginTroubles(cluster, troubles, untilMs - kCalmMs); });
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
