// Plays one case: review-world CASE TROUBLE RECORD FOLDER PROGRAM. Exits with 1
// if the rule was broken, 0 if it held, 2 if the case could not run.
#include <csignal>
#include <cstdio>
#include <string>

#include <fmt/format.h>

#include "review/standins/cases.h"

namespace {

using review::Verdict;

constexpr double kReadyTimeoutMs = 20000;

int Play(const review::Case& aCase, char** aArguments)
{
  review::Runtime runtime(aArguments[3]);
  review::Store store(runtime);
  review::Fleet fleet(runtime, store);
  review::System system(
    runtime, store, { aArguments[5], aArguments[4], aCase.mInstances });
  review::Caller caller(runtime, system, fleet);
  review::World world{ runtime, store, fleet, system, caller };
  world.mTrouble = std::string(aArguments[2]) != "0";
  runtime.Record(fmt::format(
    "case {}, trouble {}", aCase.mName, world.mTrouble ? "yes" : "no"));
  store.Put("op", "config", review::MakeConfiguration(aCase.mGuarantee));
  aCase.mPrepare(world);
  auto verdict = Verdict::eNotRun;
  bool ready = false;
  system.Start([&] {
    // The instances elect a leader and find the workers.
    runtime.After(2000, [&] {
      ready = true;
      world.mFinish = [&] {
        verdict =
          system.HasEndedByItself() ? Verdict::eNotRun : aCase.mJudge(world);
        runtime.Loop().stop();
      };
      aCase.mPlay(world);
      runtime.After(aCase.mLengthMs, [&] { world.mFinish(); });
    });
  });
  runtime.After(kReadyTimeoutMs, [&] {
    if (!ready) {
      runtime.Record("the instances are not ready");
      runtime.Loop().stop();
    }
  });
  runtime.Loop().run();
  const char* const names[] = { "the rule held",
                                "THE RULE WAS BROKEN",
                                "the case could not run" };
  runtime.Record(names[static_cast<int>(verdict)]);
  std::puts(names[static_cast<int>(verdict)]);
  return static_cast<int>(verdict);
}

} // namespace

int main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const auto* found = aCount == 6 ? review::FindCase(aArguments[1]) : nullptr;
  if (found == nullptr) {
    std::fputs("usage: review-world CASE TROUBLE RECORD FOLDER PROGRAM\n",
               stderr);
    return 2;
  }
  return Play(*found, aArguments);
}
