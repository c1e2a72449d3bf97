// Two workers of a job that lasts are emptied and taken away, a second apart,
// while all others are full. Exit code: 0 the rule held, 1 it was broken, 2
// could not run.
#include <cstdlib>
#include <iostream>
#include <memory>

#include <fmt/format.h>

#include "review/standins-3/stage.h"

using namespace flamingoloom::review3;

namespace {

constexpr int kWorkers = 16;
constexpr int kDrainMs = 2500;
constexpr int kLingerMs = 500;
constexpr int kApartMs = 1000;

std::string Job(int aCount, int aGpus, int aMs, bool aLasts)
{
  Json step{ { "count", aCount },
             { "cpu", 1000 },
             { "requested-memory-mb", 1024 },
             { "gpus", aGpus },
             { "estimated-duration-ms", aMs } };
  if (aLasts) {
    step["long-running"] = true;
    step["anti-affinity"] = 1;
  }
  return Json{
    { "specification", aLasts ? "lasts" : std::to_string(aMs) },
    { "steps", Json::array({ step }) }
  }.dump();
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: anti_affinity FOLDER\n";
    return 2;
  }
  const std::string folder = aArguments[1];
  const bool trouble = HasTrouble();
  OpenRecord(folder + "/record.txt");
  Record(trouble ? "two workers are taken away"
                 : "TROUBLE=0: no worker is taken away");
  Store store;
  store.Put("op",
            "config",
            Configuration(Json::array({ Route("survey", 1) }),
                          Json::array({ Tenant("alpha", "key-alpha") })));
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
        return aSpecification == "lasts"
                 ? std::nullopt
                 : std::optional(std::stoi(aSpecification));
      }));
  }
  const std::vector<Instance> instances{ WriteSettings(
    folder + "/settings-1.json", "one", "windhoek-north", store.Address()) };
  std::ofstream(folder + "/ready") << "\n";
  if (!AwaitReady(instances, 20000)) {
    Record("the instance doesn't become ready");
    std::_Exit(2);
  }
  SleepMs(3000);
  const auto submit = [&](const std::string& aId, const std::string& aJob) {
    if (!IsSuccess(Send("alpha",
                        instances[0],
                        "POST",
                        "/survey/" + aId,
                        "key-alpha",
                        aJob))) {
      Record("a job was not accepted");
      std::_Exit(2);
    }
  };
  const std::string service = "00000000000000aa";
  submit(service, Job(2, 4, 5000, true));
  SleepMs(1000);
  // Full workers: one until shortly after both workers have left, the others
  // for longer.
  submit("00000000000000b1", Job(1, 8, 12300, false));
  submit("00000000000000b2", Job(kWorkers - 3, 8, 60000, false));
  SleepMs(1500);
  const auto workerOf = [&](const std::string& aTask) -> Worker* {
    for (const auto& worker : workers) {
      if (worker->Runs(aTask)) {
        return worker.get();
      }
    }
    return nullptr;
  };
  Worker* const first = workerOf(service + ".0.0.0");
  Worker* const second = workerOf(service + ".0.0.1");
  if (first == nullptr || second == nullptr) {
    Record("the tasks that last don't run");
    std::_Exit(2);
  }
  if (trouble) {
    // The worker of task 1 leaves first.
    second->Drain();
    SleepMs(kApartMs);
    first->Drain();
    SleepMs(kDrainMs + kLingerMs - kApartMs);
    second->Leave();
    SleepMs(kApartMs);
    first->Leave();
  }
  bool broken = false;
  for (int i = 0; i < 150 && !broken; ++i) {
    SleepMs(100);
    for (const auto& worker : workers) {
      if (worker->Runs(service + ".0.0.0") &&
          worker->Runs(service + ".0.0.1")) {
        Record("BROKEN (ROUTE): both tasks of a step with an anti-affinity of "
               "1 run on " +
               worker->Id());
        broken = true;
      }
    }
  }
  Record(broken ? "the rule was broken" : "the rule held");
  std::_Exit(broken ? 1 : 0);
}
