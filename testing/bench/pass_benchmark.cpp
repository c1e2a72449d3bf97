// Processor time of a scheduling pass by numbers of servers and of waiting
// steps, on a fleet that is full but for fragments: the load of the heaviest
// days.
#include <algorithm>
#include <chrono>
#include <fstream>
#include <random>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "flamingoloom/scheduler/scheduler.h"

namespace flamingoloom::testing::bench {
namespace {

using Clock = std::chrono::steady_clock;
using scheduler::Scheduler;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kServersPerRack = 12;
constexpr int kAcceleratorsPerServer = 8;
constexpr int kPasses = 200;
constexpr auto kPassInterval = milliseconds(20);
constexpr int kClientAccounts = 24;

jobs::JobSpec MakeJob(int aNumber, std::mt19937& aRandom)
{
  constexpr int kWidths[] = { 4, 8, 8, 16, 26, 60 };
  constexpr int kSizes[] = { 1, 1, 2, 4, 8 };
  jobs::JobSpec job;
  job.mId = fmt::format("{:016x}", aNumber);
  job.mAccount =
    base::AccountId(fmt::format("account{}", aRandom() % kClientAccounts));
  job.mRules = { "queue", "desk", static_cast<int>(aRandom() % 3),
                 3,       2.0,    milliseconds(500) };
  jobs::StepSpec step;
  step.mTaskCount = kWidths[aRandom() % std::size(kWidths)];
  const int accelerators = kSizes[aRandom() % std::size(kSizes)];
  step.mPerTask = { 5000, 16000, accelerators };
  step.mEstimate = milliseconds(2500 + aRandom() % 8000);
  step.mGang = aRandom() % 2 == 0;
  step.mSameRack = step.mGang && aRandom() % 4 == 0;
  job.mSteps = { step };
  return job;
}

struct Result
{
  double mMedianMs = 0;
  double mP99Ms = 0;
  double mMaxMs = 0;
};

Result Measure(int aServers, int aWaitingSteps)
{
  std::mt19937 random(1);
  Scheduler scheduler({}, {});
  base::Time now(seconds(1000));
  std::vector<scheduler::ServerInfo> infos;
  for (int i = 0; i < aServers; ++i) {
    scheduler::ServerInfo info;
    info.mId = base::ServerId(fmt::format("i-{:08x}", i));
    info.mService = "desk";
    info.mRack = fmt::format("r{}", i / kServersPerRack);
    info.mLabels = { "a", info.mRack };
    info.mCapacity = { 64000, 262144, kAcceleratorsPerServer };
    info.mStartedMs = 1;
    infos.push_back(std::move(info));
  }
  scheduler.UpdateServers(now, infos, now);
  for (const auto& info : infos) {
    scheduler.OnReport(now, info.mId, { 1, {}, {}, {} }, now);
  }
  scheduler::AccountTermsMap terms;
  for (int i = 0; i < kClientAccounts; ++i) {
    terms[base::AccountId(fmt::format("account{}", i))] = {
      aServers * kAcceleratorsPerServer / kClientAccounts / 2
    };
  }
  scheduler.SetAccountTerms(std::move(terms));
  std::vector<std::pair<base::Time, scheduler::StartCommand>> running;
  std::map<base::ServerId, std::int64_t> ends;
  int jobs = 0;
  const auto store = [&] {
    while (scheduler.HasChanges()) {
      const auto batch = scheduler.TakeBatch(1000);
      scheduler.OnStored(now, batch);
    }
    for (const auto& start : scheduler.TakeCommands().mStarts) {
      scheduler.OnStart(now, start, scheduler::StartResult::eStarted, false);
      running.emplace_back(now + milliseconds(2500 + random() % 8000), start);
    }
  };
  std::vector<double> times;
  const auto waiting = [&] {
    int count = 0;
    for (const auto& [id, job] : scheduler.Jobs()) {
      count += job->mState == jobs::JobState::eQueued ? 1 : 0;
    }
    return count;
  };
  // Fills the fleet, then keeps the number of waiting steps.
  for (int pass = -50; pass < kPasses; ++pass) {
    now += kPassInterval;
    for (int missing = aWaitingSteps - waiting(); missing > 0; --missing) {
      scheduler.AddJob(now, MakeJob(++jobs, random));
    }
    const auto ended =
      std::partition(running.begin(), running.end(), [&](const auto& aRun) {
        return aRun.first > now;
      });
    std::map<base::ServerId, scheduler::ServerReport> reports;
    for (auto run = ended; run != running.end(); ++run) {
      reports[run->second.mServer].mCompletions.push_back(
        { ++ends[run->second.mServer],
          run->second.mAttempt,
          scheduler::TaskEndReason::eDone,
          "" });
    }
    running.erase(ended, running.end());
    for (auto run = running.begin(); run != running.end(); ++run) {
      const auto report = reports.find(run->second.mServer);
      if (report != reports.end()) {
        report->second.mRunning.push_back({ run->second.mAttempt, "", 50, -1 });
      }
    }
    for (auto& [server, report] : reports) {
      report.mStartedMs = 1;
      scheduler.OnReport(now, server, report, now);
    }
    const auto start = Clock::now();
    scheduler.Schedule(now, 0);
    if (pass >= 0) {
      times.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - start)
          .count());
    }
    store();
  }
  std::sort(times.begin(), times.end());
  return { times[times.size() / 2],
           times[times.size() * 99 / 100],
           times.back() };
}

} // namespace
} // namespace flamingoloom::testing::bench

int main(int aCount, char** aArguments)
{
  using namespace flamingoloom::testing::bench;
  CLI::App app("Time of a scheduling pass by servers and waiting steps.");
  std::string output;
  app.add_option("--json", output, "File for the results");
  CLI11_PARSE(app, aCount, aArguments);
  nlohmann::json results = nlohmann::json::array();
  fmt::print("servers  waiting  median ms    p99 ms    max ms\n");
  for (const int servers : { 48, 350, 1100, 3000 }) {
    for (const int waiting : { 20, 200, 2000 }) {
      const auto result = Measure(servers, waiting);
      fmt::print("{:>7} {:>8} {:>10.2f} {:>9.2f} {:>9.2f}\n",
                 servers,
                 waiting,
                 result.mMedianMs,
                 result.mP99Ms,
                 result.mMaxMs);
      results.push_back({ { "servers", servers },
                          { "waiting", waiting },
                          { "medianMs", result.mMedianMs },
                          { "p99Ms", result.mP99Ms },
                          { "maxMs", result.mMaxMs } });
    }
  }
  if (!output.empty()) {
    std::ofstream(output) << results.dump(2) << '\n';
  }
  return 0;
}
