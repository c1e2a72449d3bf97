// Plays one load and prints what stood still:
//
//   play_scheduler_load SEED [LOAD [HAND_OVER_S [DRAIN_S [FAILING_S
//   [CRASH_S]]]]]
//
// Intervals in seconds, 0 for none. FLAMINGOLOOM_PLAY_LOG=TEXT prints the
// scheduler's decisions that name TEXT (all if it is empty). Exits with 1 if a
// job stood still.
#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>

#include "testing/scheduler_load/scheduler_load.h"

namespace flamingoloom::testing::scheduler_load {
namespace {

base::Duration Seconds(const char* aText)
{
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(1000 * std::atof(aText)));
}

double ToSeconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

int Play(int aCount, char** aArguments)
{
  const auto argument = [&](int aIndex, const char* aDefault) {
    return aIndex < aCount ? aArguments[aIndex] : aDefault;
  };
  LoadOptions options;
  options.mSeed = std::strtoull(argument(1, "1"), nullptr, 10);
  options.mLoad = std::atof(argument(2, "0.4"));
  options.mHandOverInterval = Seconds(argument(3, "0"));
  options.mDrainInterval = Seconds(argument(4, "0"));
  options.mFailingInterval = Seconds(argument(5, "0"));
  options.mCrashInterval = Seconds(argument(6, "0"));
  const SchedulerLoad* play = nullptr;
  if (const char* text = std::getenv("FLAMINGOLOOM_PLAY_LOG")) {
    options.mSink = [text = std::string(text),
                     &play](const scheduler::Decision& aDecision) {
      auto line = fmt::format("{:.3f} event={} job={}",
                              ToSeconds(play->Elapsed()),
                              aDecision.mEvent,
                              aDecision.mJob);
      for (const auto& [name, value] : aDecision.mFields) {
        line += fmt::format(" {}={}", name, value);
      }
      if (line.find(text) != std::string::npos) {
        std::puts(line.c_str());
      }
    };
  }
  SchedulerLoad load(std::move(options));
  play = &load;
  load.Run();
  const auto spans = load.Standstills();
  for (const auto& span : spans) {
    const auto& job = load.Job(span.mJob);
    const auto& step = job.mSpec.mSteps[static_cast<std::size_t>(span.mStep)];
    std::puts(
      fmt::format("still: job {} ({}, step {}: {} tasks, {}{}{}estimate {} ms) "
                  "from {:.2f} to {:.2f} s, {} starts so far",
                  span.mJob,
                  job.mSpec.mRules.mQueue,
                  span.mStep,
                  step.mTaskCount,
                  step.mGang ? "gang, " : "",
                  step.mSameRack ? "same rack, " : "",
                  step.mDataRack.empty() ? "" : "data rack, ",
                  base::ToMilliseconds(step.mEstimate),
                  ToSeconds(span.mFrom),
                  ToSeconds(span.mTo),
                  span.mStarts)
        .c_str());
  }
  std::puts(fmt::format("{} accepted, {} stood still, {} not final",
                        load.Accepted(),
                        spans.size(),
                        load.Unfinished())
              .c_str());
  return spans.empty() ? 0 : 1;
}

} // namespace
} // namespace flamingoloom::testing::scheduler_load

int main(int aCount, char** aArguments)
{
  return flamingoloom::testing::scheduler_load::Play(aCount, aArguments);
}
