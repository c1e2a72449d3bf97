// A gang whose workers give checkpoints of some hundred bytes; all
// instances are killed and started again. Exit code: 0 the rule held, 1 it was
// broken, 2 could not run.
#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>

#include <fmt/format.h>

#include "review/standins-3/stage.h"

using namespace flamingoloom::review3;

namespace {

constexpr int kWorkers = 16;
constexpr int kWideTasks = 230;
constexpr int kCheckpointBytes = 300;
constexpr int kWideMs = 90000;
constexpr int kSmallMs = 1000;
constexpr int kDrainMs = 2500;
constexpr int kLingerMs = 500;
constexpr const char* kWideJob = "00000000000000aa";

std::string Job(const std::string& aSpecification, int aCount, int aMs)
{
  Json step{ { "count", aCount },
             { "cpu", 2000 },
             { "requested-memory-mb", 1024 },
             { "estimated-duration-ms", aMs } };
  if (aCount > 1) {
    step["checkpointing"] = true;
    step["gang"] = true;
  }
  return Json{
    { "specification", aSpecification }, { "steps", Json::array({ step }) }
  }.dump();
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: checkpoints FOLDER\n";
    return 2;
  }
  const std::string folder = aArguments[1];
  const char* setting = std::getenv("CHECKPOINT");
  const int bytes = setting == nullptr ? kCheckpointBytes : std::atoi(setting);
  OpenRecord(folder + "/record.txt");
  Record(fmt::format("{} tasks, checkpoints of {} bytes; {}",
                     kWideTasks,
                     bytes,
                     HasTrouble() ? "a worker is taken away"
                                  : "TROUBLE=0: no worker is taken away"));
  Store store;
  store.Put(
    "op",
    "config",
    Configuration(Json::array({ Route("survey", 1), Route("booking", 0) }),
                  Json::array({ Tenant("alpha", "key-alpha"),
                                Tenant("beta", "key-beta") })));
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(
      store,
      fmt::format("i-0000{:02}", i),
      fmt::format("r1-{}", i / 8),
      "prism",
      "windhoek-north",
      [](const std::string& aSpecification) -> std::optional<int> {
        return aSpecification == "small" ? kSmallMs : kWideMs;
      },
      static_cast<std::size_t>(bytes)));
  }
  const std::vector<Instance> instances{
    WriteSettings(
      folder + "/settings-1.json", "one", "windhoek-north", store.Address()),
    WriteSettings(
      folder + "/settings-2.json", "two", "walvis-bay", store.Address())
  };
  std::ofstream(folder + "/ready") << "\n";
  const auto running = [&] {
    int count = 0;
    for (int task = 0; task < kWideTasks; ++task) {
      const auto name = fmt::format("{}.0.0.{}", kWideJob, task);
      count += static_cast<int>(
        std::any_of(workers.begin(), workers.end(), [&](const auto& aWorker) {
          return aWorker->Runs(name);
        }));
    }
    return count;
  };
  if (!AwaitReady(instances, 20000)) {
    Record("the instances don't become ready");
    std::_Exit(2);
  }
  SleepMs(3000);
  if (!IsSuccess(
        Send("alpha",
             instances[0],
             "POST",
             fmt::format("/survey/{}", kWideJob),
             "key-alpha",
             Job(fmt::format("gang {}", kWideTasks), kWideTasks, kWideMs)))) {
    Record("the gang was not accepted");
    std::_Exit(2);
  }
  SleepMs(5000);
  Record(fmt::format("{} tasks of the gang run", running()));
  if (HasTrouble()) {
    Worker& leaving = *workers.front();
    leaving.Drain();
    SleepMs(kDrainMs + kLingerMs);
    leaving.Leave();
  }
  Send("beta",
       instances[1],
       "POST",
       "/booking/00000000000000bb",
       "key-beta",
       Job("small", 1, kSmallMs));
  // The leases at the worker that has left may last for max-hold-ms, and 4 s
  // are calm before the 3 s that the rule names.
  constexpr int kSettleMs = 16000;
  constexpr int kLookMs = 20000;
  SleepMs(kSettleMs);
  const auto from = NowMs();
  int most = 0;
  while (NowMs() - from < kLookMs) {
    most = std::max(most, running());
    SleepMs(200);
  }
  Send("alpha",
       instances[0],
       "GET",
       fmt::format("/survey/{}", kWideJob),
       "key-alpha",
       "");
  Send(
    "beta", instances[0], "GET", "/booking/00000000000000bb", "key-beta", "");
  Record(fmt::format("in the {} ms since {} ms at most {} tasks of the gang "
                     "ran at a time",
                     kLookMs,
                     from,
                     most));
  Record(most == 0 ? "BROKEN (LOST): nothing of the accepted job runs, beside "
                     "idle workers"
                   : "the rule held");
  std::_Exit(most == 0 ? 1 : 0);
}
