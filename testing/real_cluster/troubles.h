// The troubles that befall a cluster of real processes, each at times drawn
// from the seed. Not thread-safe.
#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "review/standins/store.h"
#include "testing/real_cluster/backend_servers.h"
#include "testing/real_cluster/instance_processes.h"
#include "testing/real_cluster/leader_stop.h"
#include "testing/real_cluster/still_judge.h"
#include "testing/real_cluster/store_links.h"

namespace flamingoloom::testing::real_cluster {

// The service of all servers.
inline constexpr const char* kService = "desk";

// The configuration, with a queue of its own for each version after the first.
review::Json MakeConfiguration(int aVersion);

struct Cluster
{
  review::Runtime& mRuntime;
  review::Store& mStore;
  BackendFleet& mFleet;
  InstanceProcesses& mInstances;
  StoreLinks& mLinks;
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

// Causes the troubles whose names are in aTroubles, a list like "grey,term",
// again and again until aUntilMs.
void BeginTroubles(Cluster& aCluster,
                   const std::string& aTroubles,
                   double aUntilMs);

} // namespace flamingoloom::testing::real_cluster
