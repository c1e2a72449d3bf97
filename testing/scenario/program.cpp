#include "testing/scenario/program.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "testing/scenario/generator.h"
#include "testing/scenario/runner.h"

namespace flamingoloom::testing::scenario {

namespace {

// Runs scripts and counts their events. The counts show whether runs without
// violations did any work. Run may be called by several threads.
class Session
{
public:
  Session(fakes::InstanceFactory aFactory,
          std::string aTrace,
          bool aPeersPassConfiguration)
    : mFactory(std::move(aFactory))
    , mTrace(std::move(aTrace))
    , mPeersPassConfiguration(aPeersPassConfiguration)
  {
  }

  void Run(const std::string& aText, std::uint64_t aSeed)
  {
    auto first = ParseScript(aText);
    int last = first ? first->mSweepTo : 0;
    for (int n = first ? first->mSweepFrom : 0; n <= last; ++n) {
      auto script = ParseScript(aText, n);
      if (!script) {
        Print(script.error().ToString() + "\n");
        ++mFailed;
        return;
      }
      RunOptions options;
      options.mSeed = aSeed;
      options.mFactory = mFactory;
      options.mPeersPassConfiguration = mPeersPassConfiguration;
      RunResult result = RunScript(*script, options);
      ++mRuns;
      mEvents += result.mEventsRun;
      Count(result);
      std::string text = DescribeViolations(result);
      if (!result.mViolations.empty()) {
        ++mFailed;
        if (last > 0) {
          text = fmt::format("sweep {}:\n{}", n, text);
        }
      }
      if (!mTrace.empty()) {
        text += DescribeEvents(result, mTrace == "all" ? "" : mTrace);
      }
      Print(text);
    }
  }

  void Print(const std::string& aText)
  {
    std::lock_guard lock(mMutex);
    fmt::print("{}", aText);
  }

  int Finish()
  {
    for (const auto& [what, count] : mCounts) {
      fmt::print("{}: {}\n", what, count);
    }
    fmt::print("{} runs, {} with violations, {} events\n",
               mRuns.load(),
               mFailed.load(),
               mEvents.load());
    return mFailed == 0 ? 0 : 1;
  }

private:
  void Count(const RunResult& aResult)
  {
    std::lock_guard lock(mMutex);
    mCounts["bytes between regions"] += aResult.mCrossRegionBytes;
    for (const fakes::Event& event : aResult.mHistory.mEvents) {
      if (event.mKind == fakes::EventKind::eAnswered) {
        ++mCounts[fmt::format("answers {}", RequestStateName(event.mState))];
      } else if (event.mKind == fakes::EventKind::eTaskStarted) {
        ++mCounts["task starts"];
      } else if (event.mKind == fakes::EventKind::eTakeOutAcknowledged) {
        ++mCounts["take-outs acknowledged"];
      } else if (event.mKind == fakes::EventKind::eStopEnded) {
        ++mCounts["planned stops ended"];
      } else if (event.mKind == fakes::EventKind::eConfigAccepted) {
        ++mCounts["configurations accepted"];
      }
    }
  }

  fakes::InstanceFactory mFactory;
  std::string mTrace;
  bool mPeersPassConfiguration;
  std::mutex mMutex;
  std::map<std::string, std::uint64_t> mCounts;
  std::atomic<int> mRuns = 0;
  std::atomic<int> mFailed = 0;
  std::atomic<std::uint64_t> mEvents = 0;
};

} // namespace

int RunProgram(int aCount, char** aArguments, fakes::InstanceFactory aFactory)
{
  std::vector<std::string> files;
  std::string trace;
  std::uint64_t seed = 1;
  std::uint64_t random = 0;
  int jobs = 4;
  bool print = false;
  bool verbs = false;
  bool configFromStoreOnly = false;
  CLI::App app("Runs scenarios under virtual time");
  app.add_option("--file", files, "scenario files");
  app.add_option("--seed", seed, "seed of the (first) run");
  app.add_option("--random", random, "number of random schedules");
  app.add_option("--jobs", jobs, "threads for random schedules");
  app.add_option("--trace", trace, "print events that contain this, or all");
  app.add_flag("--print", print, "print the random schedule of the seed");
  app.add_flag("--verbs", verbs, "print the verbs of the language");
  app.add_flag("--config-from-store-only",
               configFromStoreOnly,
               "P9 does not expect peers to pass configurations on");
  CLI11_PARSE(app, aCount, aArguments);
  if (verbs || print) {
    fmt::print("{}", verbs ? DescribeVerbs() : GenerateScript(seed));
    return 0;
  }
  Session session(std::move(aFactory), trace, !configFromStoreOnly);
  for (const std::string& file : files) {
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    fmt::print("{} seed {}\n", file, seed);
    session.Run(text.str(), seed);
  }
  std::atomic<std::uint64_t> next = seed;
  std::vector<std::thread> threads;
  for (int i = 0; i < jobs && random > 0; ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t runSeed = next++; runSeed < seed + random;
           runSeed = next++) {
        session.Run(GenerateScript(runSeed), runSeed);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return session.Finish();
}

} // namespace flamingoloom::testing::scenario
