// Deployments and arrivals for benchmarks under the virtual clock.
//
// A deployment is generated from an answers file, with long run times divided
// so that a run of two minutes contains many jobs. Arrivals depend on the seed
// only, so that all variants of a run get the same load.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "flamingoloom/config/configuration.h"
#include "testing/fakes/fake_server.h"

namespace flamingoloom::testing::bench {

// Requests of one kind; mPerSecond is the mean including bursts.
struct Stream
{
  base::KindId mKind;
  double mPerSecond = 0;
};

struct Deployment
{
  std::string mName;
  config::Configuration mConfiguration;
  // One way between callers and instances.
  base::Duration mClientLatency{};
  std::vector<Stream> mStreams;
};

struct Arrival
{
  base::Time mTime;
  base::AccountId mAccount;
  base::KindId mKind;
  std::string mKey;
};

// aName is "therripappir" or "kavango", aFolder contains the answers files.
// Data centres are renamed to "a", "b" and "c", as SimulatedCluster requires.
// Fails with the text of the first problem.
base::Expected<Deployment> MakeDeployment(const std::string& aName,
                                          const std::string& aFolder);

// Poisson arrivals in [aFrom, aTo) in order of time; for two of every twenty
// seconds they are three times as frequent as otherwise.
std::vector<Arrival> MakeArrivals(const Deployment& aDeployment,
                                  base::Time aFrom,
                                  base::Time aTo,
                                  std::uint64_t aSeed);

// How long a request really runs: between 0.1 and 3 times what is declared.
base::Duration TrueRunTime(const config::JobKind& aKind,
                           const base::RequestId& aRequest,
                           std::uint64_t aSeed);
fakes::RunTime MakeRunTime(const config::Configuration& aConfiguration,
                           std::uint64_t aSeed);

std::vector<std::string> InstanceNames();
std::vector<std::string> ServerNames(
  const config::Configuration& aConfiguration);

} // namespace flamingoloom::testing::bench
