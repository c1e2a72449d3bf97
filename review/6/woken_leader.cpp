// A leader that stood still starts a task on a worker that began a new life
// meanwhile, while the task runs elsewhere.
#include <csignal>
#include <cstdlib>

#include "review/cluster/cluster.h"

using namespace cluster;

namespace {

constexpr int kInstances = 3;
constexpr int kWorkers = 8;
constexpr int kMaxAttempts = 3;
constexpr double kWakeMs = 50;

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  const bool troubled = trouble == nullptr || std::string(trouble) != "0";
  // How long after the worker's start the leader wakes.
  const char* wake = std::getenv("WAKE_MS");
  const double wakeMs = wake == nullptr ? kWakeMs : std::atof(wake);
  Deployment deployment(
    aArguments[1], aArguments[2], kInstances, kWorkers, kMaxAttempts);
  auto& record = deployment.mRecord;
  auto& workers = *deployment.mWorkers;
  auto& instances = *deployment.mInstances;
  if (!deployment.AwaitReady()) {
    return 2;
  }
  // All workers but one are busy.
  const auto lasting = JobId(1);
  const auto first = JobId(2);
  const auto invoice = JobId(3);
  const auto task = invoice + ".0.0.0";
  const auto add = [&](const std::string& aJob, int aTasks, const Json& aEnd) {
    const bool accepted =
      deployment.Submit(1, aJob, OneStep(aEnd, aTasks, 8, 5000)) == 200;
    SleepMs(500);
    return accepted;
  };
  if (!add(lasting, kWorkers - 2, { { "event", "never" } }) ||
      !add(first, 1, { { "event", "first" } })) {
    return 2;
  }
  std::string busy;
  std::string other;
  for (int i = 0; i < kWorkers; ++i) {
    const std::string id = "i-0" + std::to_string(i);
    if (workers.Find(id).Runs(first + ".0.0.0")) {
      busy = id;
    } else if (workers.Find(id).IsIdle()) {
      other = id;
    }
  }
  if (busy.empty() || other.empty()) {
    record.Line("the workers are not as busy as expected");
    return 2;
  }
  // The leader's machine freezes as the answer to its write is on its way.
  std::atomic<int> frozen{ -1 };
  deployment.mStore.SetOnTransaction(
    [&](const std::map<std::string, std::string>& aWritten) {
      if (troubled && frozen < 0 &&
          aWritten.count("run/" + invoice + "/0/0") > 0) {
        frozen = instances.Leader(deployment.mStore);
        instances.Signal(frozen, SIGSTOP);
      }
    });
  const double frozenAt = NowMs();
  if (deployment.Submit(
        1, invoice, OneStep({ { "ms", 20000 } }, 1, 8, 20000)) != 200) {
    return 2;
  }
  SleepMs(200);
  workers.Raise("first");
  constexpr double kFreezeMs = 4000;
  bool elsewhere = false;
  while (!elsewhere && NowMs() < frozenAt + kFreezeMs - 700) {
    elsewhere = workers.Find(busy).Runs(task);
    SleepMs(5);
  }
  if (troubled) {
    if (!elsewhere) {
      record.Line("the task did not start elsewhere in time");
      instances.Signal(frozen, SIGCONT);
      deployment.mInstances.reset();
      std::_Exit(2);
    }
    SleepMs(200);
    workers.Find(other).Crash();
    SleepMs(300);
    workers.Find(other).Restart();
    SleepMs(wakeMs);
    instances.Signal(frozen, SIGCONT);
    record.Line("the freeze has lasted " +
                std::to_string(static_cast<int>(NowMs() - frozenAt)) + " ms");
  }
  SleepMs(22000);
  deployment.State(1, invoice);
  const auto verdict = Judge(deployment);
  record.Line("TWICE broken " + std::to_string(verdict.mTwice) + " times");
  deployment.mInstances.reset();
  std::_Exit(verdict.mTwice > 0 ? 1 : 0);
}
