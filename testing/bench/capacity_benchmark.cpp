// Slopes for capacity planning under the virtual clock: control bytes of one
// idle instance by number of backend servers, and processor time and memory of
// an owner by number of open recorded requests.
//
// Memory and processor time include the fakes' share: the row of each request
// in the store, and the messages under way.
#include <algorithm>
#include <array>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <malloc.h>
#include <map>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "flamingoloom/control/instance.h"
#include "testing/bench/load.h"
#include "testing/fakes/simulated_cluster.h"

namespace flamingoloom::testing::bench {
namespace {

using fakes::PeerKind;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr base::Time kConfigured{ 2s };
constexpr base::Time kSettled{ 10s };
constexpr base::Duration kIdleTime = 20s;

// The deployment with another number of servers and without guarantees, so
// that every size is accepted.
config::Configuration Resize(config::Configuration aConfiguration, int aServers)
{
  constexpr int kLargestRack = 8;
  for (config::DataCentre& centre : aConfiguration.mDataCentres) {
    int servers =
      aServers / static_cast<int>(aConfiguration.mDataCentres.size());
    centre.mServersPerRack = std::min(servers, kLargestRack);
    centre.mRacks = servers / centre.mServersPerRack;
  }
  aConfiguration.mGuarantees.clear();
  aConfiguration.mAssignments.clear();
  return aConfiguration;
}

// A cluster with a configuration in force and the leases taken.
class Site
{
public:
  Site(const config::Configuration& aConfiguration,
       const std::vector<std::string>& aInstances,
       fakes::RunTime aRunTime)
    : mCluster(MakeOptions(aConfiguration, std::move(aRunTime)))
  {
    int perRack = aConfiguration.mDataCentres.front().mServersPerRack;
    std::map<char, int> added;
    for (const std::string& name : ServerNames(aConfiguration)) {
      mCluster.AddServer(name, added[name[0]]++ / perRack);
    }
    for (const std::string& name : aInstances) {
      mCluster.StartInstance(name);
    }
    mCluster.Clock().RunUntil(kConfigured);
    mCluster.FindInstance(aInstances.front())
      ->mInstance->PutConfiguration(0, aConfiguration, [](const auto&) {});
    mCluster.Clock().RunUntil(kSettled);
  }

  fakes::SimulatedCluster mCluster;

private:
  static fakes::SimulationOptions MakeOptions(
    const config::Configuration& aConfiguration,
    fakes::RunTime aRunTime)
  {
    fakes::SimulationOptions options;
    options.mDataCentres = aConfiguration.mDataCentres;
    options.mFactory = fakes::FactoryOf<control::Instance<fakes::FakePorts>>(
      control::InstanceOptions{});
    options.mRunTime = std::move(aRunTime);
    return options;
  }
};

json MeasureControlBytes(const config::Configuration& aConfiguration,
                         int aServers)
{
  Site site(Resize(aConfiguration, aServers), InstanceNames(), [](const auto&) {
    return base::Duration(1s);
  });
  auto bytes = [&](const std::string& aName, PeerKind aKind) {
    return site.mCluster.InstanceBytes(aName, aKind);
  };
  std::map<std::pair<std::string, PeerKind>, std::uint64_t> before;
  constexpr std::array kKinds{ PeerKind::ePlatform,
                               PeerKind::eInstance,
                               PeerKind::eServer };
  constexpr std::array kNames{ "platform", "instances", "servers" };
  for (const std::string& name : InstanceNames()) {
    for (PeerKind kind : kKinds) {
      before[{ name, kind }] = bytes(name, kind);
    }
  }
  site.mCluster.Clock().RunFor(kIdleTime);
  json result{ { "servers", aServers } };
  fmt::print("{:>4} servers:", aServers);
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    std::uint64_t sum = 0;
    std::uint64_t most = 0;
    for (const std::string& name : InstanceNames()) {
      std::uint64_t own = bytes(name, kKinds[i]) - before[{ name, kKinds[i] }];
      sum += own;
      most = std::max(most, own);
    }
    double seconds = std::chrono::duration<double>(kIdleTime).count();
    double mean = static_cast<double>(sum) / seconds /
                  static_cast<double>(InstanceNames().size());
    double highest = static_cast<double>(most) / seconds;
    result[kNames[i]] = { { "meanBytesPerSecond", mean },
                          { "mostBytesPerSecond", highest } };
    fmt::print(
      "  {} mean {:.0f} B/s, most {:.0f} B/s", kNames[i], mean, highest);
  }
  fmt::print("\n");
  return result;
}

double ProcessorSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::size_t HeapBytes()
{
  return mallinfo2().uordblks;
}

// The one instance owns all data centres; requests go to the near one and run
// or wait until the end.
json MeasureOwner(const config::Configuration& aConfiguration,
                  const std::string& aKind,
                  int aOpen)
{
  constexpr base::Duration kSubmitEvery = 5ms;
  constexpr base::Duration kMeasured = 20s;
  constexpr int kServers = 48;
  Site site(Resize(aConfiguration, kServers), { "a1" }, [](const auto&) {
    return base::Duration(10000s);
  });
  fakes::SimulatedCluster& cluster = site.mCluster;
  control::CallerRequest request;
  request.mAccount = aConfiguration.mAccounts.front().mId;
  request.mKind = base::KindId(aKind);
  request.mPayload = "{}";
  std::size_t heapBefore = HeapBytes();
  int accepted = 0;
  for (int i = 0; i < aOpen; ++i) {
    request.mKey = fmt::format("key-{}", i);
    cluster.FindInstance("a1")->mInstance->Submit(
      request, [&](const base::Expected<control::CallerAnswer>& aAnswer) {
        accepted +=
          aAnswer && aAnswer->mState == control::RequestState::ePending ? 1 : 0;
      });
    cluster.Clock().RunFor(kSubmitEvery);
  }
  cluster.Clock().RunFor(5s);
  cluster.Log().mEvents.clear();
  std::size_t heap = HeapBytes() - std::min(heapBefore, HeapBytes());
  double begin = ProcessorSeconds();
  cluster.Clock().RunFor(kMeasured);
  double perSecond = (ProcessorSeconds() - begin) /
                     std::chrono::duration<double>(kMeasured).count();
  fmt::print("{:<15} {:>5} open ({} pending): {:.3f} ms of processor time per "
             "virtual second, {:.0f} KiB\n",
             aKind,
             aOpen,
             accepted,
             perSecond * 1000,
             static_cast<double>(heap) / 1024);
  return { { "kind", aKind },
           { "open", aOpen },
           { "accepted", accepted },
           { "processorMsPerVirtualSecond", perSecond * 1000 },
           { "heapBytes", heap } };
}

int Run(const std::string& aExamples, const std::string& aOutput)
{
  auto deployment = MakeDeployment("therripappir", aExamples);
  if (!deployment) {
    fmt::print(stderr, "{}\n", deployment.error().ToString());
    return EXIT_FAILURE;
  }
  json control = json::array();
  for (int servers : { 12, 48, 96 }) {
    control.push_back(MeasureControlBytes(deployment->mConfiguration, servers));
  }
  json owner = json::array();
  for (const char* kind : { "invoice-batch", "proof-render-2" }) {
    for (int open : { 0, 100, 400, 1600 }) {
      owner.push_back(MeasureOwner(deployment->mConfiguration, kind, open));
    }
  }
  if (!aOutput.empty()) {
    std::ofstream(aOutput) << json{
      { "controlBytes", control }, { "owner", owner }
    }.dump(2) << "\n";
  }
  return EXIT_SUCCESS;
}

} // namespace
} // namespace flamingoloom::testing::bench

int main(int aCount, char** aArguments)
{
  CLI::App app{ "Measures slopes for capacity planning" };
  std::string examples = "examples";
  std::string output;
  app.add_option("--examples", examples, "folder of the answers files");
  app.add_option("--json", output, "file for the figures");
  CLI11_PARSE(app, aCount, aArguments);
  return flamingoloom::testing::bench::Run(examples, output);
}
