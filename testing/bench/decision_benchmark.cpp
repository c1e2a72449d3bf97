// Compares the product with the baseline under the virtual clock, for both
// deployments: without a disturbance, with a data centre that leaves and
// returns, and with backend servers that fail every task.
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <numeric>
#include <thread>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "testing/bench/decision_run.h"

namespace flamingoloom::testing::bench {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

struct Variant
{
  std::string mName;
  RunSetup mSetup;
  RunResult mResult;
};

double Milliseconds(base::Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

double Percentile(const std::vector<base::Duration>& aSorted, int aPercent)
{
  if (aSorted.empty()) {
    return 0;
  }
  std::size_t index = aSorted.size() * static_cast<std::size_t>(aPercent) / 100;
  return Milliseconds(aSorted[std::min(index, aSorted.size() - 1)]);
}

// Sum over the seconds of [aFrom, aTo).
double Sum(const std::vector<double>& aSeconds,
           base::Time aFrom,
           base::Time aTo)
{
  return std::accumulate(aSeconds.begin() + aFrom.time_since_epoch() / 1s,
                         aSeconds.begin() + aTo.time_since_epoch() / 1s,
                         0.0);
}

const char* NameOf(Disturbance aDisturbance)
{
  switch (aDisturbance) {
    case Disturbance::eDataCentreOut:
      return "data centre out";
    case Disturbance::eBrokenServers:
      return "servers fail";
    case Disturbance::eNone:
      break;
  }
  return "no change";
}

std::vector<Variant> MakeVariants(const std::vector<Deployment>& aDeployments,
                                  std::uint64_t aSeed)
{
  std::vector<Variant> variants;
  for (const Deployment& deployment : aDeployments) {
    for (Disturbance disturbance : { Disturbance::eNone,
                                     Disturbance::eDataCentreOut,
                                     Disturbance::eBrokenServers }) {
      for (Policy policy : { Policy::eProduct, Policy::eBaseline }) {
        Variant variant;
        variant.mName =
          fmt::format("{}, {}, {}",
                      deployment.mName,
                      NameOf(disturbance),
                      policy == Policy::eProduct ? "product" : "baseline");
        variant.mSetup = { &deployment, disturbance, policy, aSeed, {} };
        variants.push_back(std::move(variant));
      }
    }
  }
  return variants;
}

// Runs each variant with aSeeds seeds from its own on and adds up the results.
void RunAll(std::vector<Variant>& aVariants, int aSeeds, int aJobs)
{
  std::vector<RunSetup> setups;
  for (const Variant& variant : aVariants) {
    for (int i = 0; i < aSeeds; ++i) {
      setups.push_back(variant.mSetup);
      setups.back().mSeed += static_cast<std::uint64_t>(i);
    }
  }
  std::vector<RunResult> results(setups.size());
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(aJobs));
  for (int i = 0; i < aJobs; ++i) {
    threads.emplace_back([&] {
      for (std::size_t own = next++; own < setups.size(); own = next++) {
        results[own] = Run(setups[own]);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (std::size_t i = 0; i < results.size(); ++i) {
    Add(aVariants[i / static_cast<std::size_t>(aSeeds)].mResult, results[i]);
  }
}

json ToJson(const Variant& aVariant)
{
  const RunResult& result = aVariant.mResult;
  const RunTimes& times = aVariant.mSetup.mTimes;
  json kinds = json::object();
  for (const auto& [name, kind] : result.mKinds) {
    kinds[name] = { { "submitted", kind.mSubmitted },
                    { "medianMs", Percentile(kind.mCompletion, 50) },
                    { "p99Ms", Percentile(kind.mCompletion, 99) },
                    { "inTimePercent", 100.0 * kind.mInTime / kind.mSubmitted },
                    { "states", kind.mStates } };
  }
  auto whole = [&](const std::vector<double>& aSeconds) {
    return Sum(aSeconds, times.mFirstArrival, times.mEnd);
  };
  auto during = [&](const std::vector<double>& aSeconds) {
    return Sum(aSeconds, times.mOut, times.mBack);
  };
  return {
    { "name", aVariant.mName },
    { "kinds", kinds },
    { "acceleratorSeconds", whole(result.mAcceleratorSeconds) },
    { "slotSeconds", whole(result.mSlotSeconds) },
    { "lostAcceleratorSeconds", result.mLostAcceleratorSeconds },
    { "possibleAcceleratorSeconds", whole(result.mPossibleAcceleratorSeconds) },
    { "acceleratorSecondsDuringChange", during(result.mAcceleratorSeconds) },
    { "possibleAcceleratorSecondsDuringChange",
      during(result.mPossibleAcceleratorSeconds) },
    { "slotSecondsDuringChange", during(result.mSlotSeconds) },
    { "crossRegionBytes", result.mCrossRegionBytes },
    { "takeOutMs", Milliseconds(result.mTakeOutTime) },
    { "events", result.mEvents },
    { "lateFailures", result.mLateFailures },
    { "oftenStarted", result.mOftenStarted },
    { "open", result.mOpen }
  };
}

void Print(const json& aRun)
{
  fmt::print("{}\n", aRun["name"].get<std::string>());
  for (const auto& [name, kind] : aRun["kinds"].items()) {
    fmt::print("  {:<18} {:>6} requests, median {:>8.1f} ms, p99 {:>9.1f} ms, "
               "in time {:>6.2f}%  {}\n",
               name,
               kind["submitted"].get<int>(),
               kind["medianMs"].get<double>(),
               kind["p99Ms"].get<double>(),
               kind["inTimePercent"].get<double>(),
               kind["states"].dump());
  }
  fmt::print("  finished work: {:.0f} accelerator-seconds ({:.0f} possible, "
             "{:.0f} lost), {:.1f} slot-seconds; {:.2f} MB between regions; "
             "{} failures of once-only work on servers known to fail; "
             "{} gangs started more than 3 times\n",
             aRun["acceleratorSeconds"].get<double>(),
             aRun["possibleAcceleratorSeconds"].get<double>(),
             aRun["lostAcceleratorSeconds"].get<double>(),
             aRun["slotSeconds"].get<double>(),
             aRun["crossRegionBytes"].get<double>() / 1e6,
             aRun["lateFailures"].get<int>(),
             aRun["oftenStarted"].get<int>());
}

// Work during the change relative to the run without it and to what the
// remaining capacity allows, for each pair of runs with the same policy.
json CompareChanges(const json& aRuns)
{
  json comparisons = json::array();
  // Runs of one deployment come as three disturbances times two policies.
  constexpr std::size_t kRunsPerDeployment = 6;
  for (std::size_t i = 0; i < aRuns.size(); ++i) {
    if (i % kRunsPerDeployment != 2 && i % kRunsPerDeployment != 3) {
      continue;
    }
    const json& change = aRuns[i];
    const json& normal = aRuns[i - 2];
    auto during = [](const json& aRun, const char* aKey) {
      return aRun[aKey].get<double>();
    };
    constexpr const char* kDone = "acceleratorSecondsDuringChange";
    constexpr const char* kPossible = "possibleAcceleratorSecondsDuringChange";
    json entry{ { "name", change["name"] } };
    entry["ofSameLoadPercent"] =
      100 * during(change, kDone) / during(normal, kDone);
    entry["allowedPercent"] =
      100 * during(change, kPossible) / during(normal, kPossible);
    entry["ofPossiblePercent"] =
      100 * during(change, kDone) / during(change, kPossible);
    entry["normalOfPossiblePercent"] =
      100 * during(normal, kDone) / during(normal, kPossible);
    entry["wholeRunOfSameLoadPercent"] = 100 *
                                         during(change, "acceleratorSeconds") /
                                         during(normal, "acceleratorSeconds");
    fmt::print("{}: acknowledged after {:.0f} ms; accelerator work while out "
               "{:.1f}% of the same load without the change (the remaining "
               "capacity allows {:.1f}%); {:.1f}% of what is possible while "
               "out, {:.1f}% in the same window without the change; whole run "
               "{:.1f}%\n",
               change["name"].get<std::string>(),
               during(change, "takeOutMs"),
               entry["ofSameLoadPercent"].get<double>(),
               entry["allowedPercent"].get<double>(),
               entry["ofPossiblePercent"].get<double>(),
               entry["normalOfPossiblePercent"].get<double>(),
               entry["wholeRunOfSameLoadPercent"].get<double>());
    comparisons.push_back(entry);
  }
  return comparisons;
}

int RunBenchmark(const std::string& aExamples,
                 const std::string& aOutput,
                 const std::string& aOnly,
                 std::uint64_t aSeed,
                 int aSeeds,
                 int aJobs)
{
  std::vector<Deployment> deployments;
  for (const char* name : { "therripappir", "kavango" }) {
    auto deployment = MakeDeployment(name, aExamples);
    if (!deployment) {
      fmt::print(stderr, "{}\n", deployment.error().ToString());
      return EXIT_FAILURE;
    }
    deployments.push_back(*deployment);
  }
  std::vector<Variant> variants = MakeVariants(deployments, aSeed);
  std::erase_if(variants, [&](const Variant& aVariant) {
    return !aVariant.mName.starts_with(aOnly);
  });
  RunAll(variants, aSeeds, aJobs);
  json runs = json::array();
  for (const Variant& variant : variants) {
    runs.push_back(ToJson(variant));
    Print(runs.back());
  }
  json changes = aOnly.empty() ? CompareChanges(runs) : json::array();
  if (!aOutput.empty()) {
    std::ofstream(aOutput) << json{
      { "seed", aSeed }, { "runs", runs }, { "changes", changes }
    }.dump(2) << "\n";
  }
  return EXIT_SUCCESS;
}

} // namespace
} // namespace flamingoloom::testing::bench

int main(int aCount, char** aArguments)
{
  CLI::App app{ "Measures the decisions of instances under virtual time" };
  std::string examples = "examples";
  std::string output;
  std::string only;
  std::uint64_t seed = 1;
  int seeds = 3;
  int jobs = 4;
  app.add_option("--examples", examples, "folder of the answers files");
  app.add_option("--json", output, "file for the figures");
  app.add_option("--only", only, "start of the names of the runs");
  app.add_option("--seed", seed, "first seed of the load and the network");
  app.add_option("--seeds", seeds, "seeds that are added up")
    ->check(CLI::PositiveNumber);
  app.add_option("--jobs", jobs, "runs at the same time");
  CLI11_PARSE(app, aCount, aArguments);
  return flamingoloom::testing::bench::RunBenchmark(
    examples, output, only, seed, seeds, jobs);
}
