// Measures price quotes through an instance next to the same client calling a
// backend stand-in directly, alternately in one run, so that other load on the
// machine affects both alike.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "flamingoloom/platform/http_clients.h"

namespace flamingoloom::testing::bench {
namespace {

using nlohmann::json;
using std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr const char* kPayload = R"({"runMs":0})";
constexpr auto kPhase = 1500ms;
constexpr int kRounds = 2;

// One keep-alive connection; Call returns whether the quote was answered.
class Caller
{
public:
  Caller(const std::string& aAddress, bool aIsDirect, const std::string& aName)
    : mClient("http://" + aAddress)
    , mIsDirect(aIsDirect)
    , mName(aName)
  {
    mClient.set_keep_alive(true);
    mClient.set_tcp_nodelay(true);
  }

  bool Call()
  {
    ++mNumber;
    auto result =
      mIsDirect
        ? mClient.Post("/tasks", TaskBody(), "application/json")
        : mClient.Post("/v1/requests", RequestBody(), "application/json");
    return result && result->status == 200 &&
           result->body.find("\"finished\"") != std::string::npos;
  }

private:
  std::string TaskBody() const
  {
    platform::TaskStart start;
    start.mAttempt = base::AttemptId(fmt::format("{}-{}", mName, mNumber));
    start.mRequest = { base::AccountId("blekhus"), std::to_string(mNumber) };
    start.mKind = base::KindId("quote");
    start.mPayload = kPayload;
    return json(start).dump();
  }
  static std::string RequestBody()
  {
    return json{
      { "account", "blekhus" },
      { "kind", "quote" },
      { "payload", kPayload },
      { "waitMs", 500 }
    }.dump();
  }

  httplib::Client mClient;
  bool mIsDirect;
  std::string mName;
  int mNumber = 0;
};

struct Target
{
  const char* mName;
  std::string mAddress;
  bool mIsDirect;
  std::vector<double> mMicroseconds;
  int mFailed = 0;
  std::uint64_t mThroughputCalls = 0;
};

Caller MakeCaller(const Target& aTarget, int aNumber)
{
  return Caller(aTarget.mAddress,
                aTarget.mIsDirect,
                fmt::format("{}-{}-{}", aTarget.mName, getpid(), aNumber));
}

void MeasureLatency(std::vector<Target>& aTargets, int aCalls)
{
  constexpr int kWarmUp = 200;
  std::vector<Caller> callers;
  callers.reserve(aTargets.size());
  for (const Target& target : aTargets) {
    callers.push_back(MakeCaller(target, 0));
  }
  for (int i = -kWarmUp; i < aCalls; ++i) {
    for (std::size_t j = 0; j < aTargets.size(); ++j) {
      auto begin = steady_clock::now();
      bool done = callers[j].Call();
      std::chrono::duration<double, std::micro> taken =
        steady_clock::now() - begin;
      if (i >= 0) {
        aTargets[j].mMicroseconds.push_back(taken.count());
        aTargets[j].mFailed += done ? 0 : 1;
      }
    }
  }
}

void MeasureThroughput(Target& aTarget, int aRound, int aThreads)
{
  std::atomic<std::uint64_t> calls = 0;
  auto end = steady_clock::now() + kPhase;
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(aThreads));
  for (int i = 0; i < aThreads; ++i) {
    threads.emplace_back([&, i] {
      Caller caller = MakeCaller(aTarget, 1 + aRound * aThreads + i);
      while (steady_clock::now() < end) {
        calls += caller.Call() ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  aTarget.mThroughputCalls += calls;
}

int Run(const std::string& aServer,
        const std::string& aInstance,
        const std::string& aOutput,
        int aCalls,
        int aThreads)
{
  std::vector<Target> targets{ { "direct", aServer, true, {} },
                               { "instance", aInstance, false, {} } };
  MeasureLatency(targets, aCalls);
  for (int round = 0; round < kRounds; ++round) {
    for (Target& target : targets) {
      MeasureThroughput(target, round, aThreads);
    }
  }
  json result;
  for (Target& target : targets) {
    std::ranges::sort(target.mMicroseconds);
    auto percentile = [&](std::size_t aPercent) {
      return target.mMicroseconds[target.mMicroseconds.size() * aPercent / 100];
    };
    double perSecond = static_cast<double>(target.mThroughputCalls) /
                       std::chrono::duration<double>(kPhase * kRounds).count();
    result[target.mName] = { { "medianUs", percentile(50) },
                             { "p99Us", percentile(99) },
                             { "calls", target.mMicroseconds.size() },
                             { "failed", target.mFailed },
                             { "threads", aThreads },
                             { "perSecond", perSecond } };
    fmt::print("{:<9} median {:>6.0f} us, 99th percentile {:>6.0f} us, {} "
               "calls, {} failed; {:.0f} quotes/s with {} connections\n",
               target.mName,
               percentile(50),
               percentile(99),
               target.mMicroseconds.size(),
               target.mFailed,
               perSecond,
               aThreads);
  }
  double added = result["instance"]["medianUs"].get<double>() -
                 result["direct"]["medianUs"].get<double>();
  result["addedMedianUs"] = added;
  fmt::print("added at the median: {:.0f} us (target: less than 1000)\n",
             added);
  if (!aOutput.empty()) {
    std::ofstream(aOutput) << result.dump(2) << "\n";
  }
  return targets[0].mFailed + targets[1].mFailed == 0 ? EXIT_SUCCESS
                                                      : EXIT_FAILURE;
}

} // namespace
} // namespace flamingoloom::testing::bench

int main(int aCount, char** aArguments)
{
  CLI::App app{ "Measures quotes through an instance and directly" };
  std::string server;
  std::string instance;
  std::string output;
  int calls = 3000;
  int threads = 8;
  app.add_option("--server", server, "backend_stand_in without a platform")
    ->required();
  app.add_option("--instance", instance, "HTTP address of an instance")
    ->required();
  app.add_option("--json", output, "file for the figures");
  app.add_option("--calls", calls, "calls of each kind")
    ->check(CLI::PositiveNumber);
  app.add_option("--threads", threads, "connections for the throughput")
    ->check(CLI::PositiveNumber);
  CLI11_PARSE(app, aCount, aArguments);
  return flamingoloom::testing::bench::Run(
    server, instance, output, calls, threads);
}
