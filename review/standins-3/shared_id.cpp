// Two clients choose the same job ID: of two tenants, and of two queues of one
// tenant. Exit code: 0 the rule held, 1 it was broken, 2 could not run.
#include <cstdlib>
#include <iostream>
#include <memory>

#include <fmt/format.h>

#include "review/standins-3/stage.h"

using namespace flamingoloom::review3;

namespace {

constexpr int kVisibleMs = 3000;
constexpr int kWorkers = 4;

std::string Job(const std::string& aSpecification)
{
  return Json{
    { "specification", aSpecification },
    { "steps",
      { { { "count", 1 },
          { "cpu", 1000 },
          { "requested-memory-mb", 1024 },
          { "gpus", 1 },
          { "estimated-duration-ms", 2000 } } } }
  }.dump();
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::cerr << "usage: shared_id FOLDER\n";
    return 2;
  }
  const std::string folder = aArguments[1];
  const bool trouble = HasTrouble();
  OpenRecord(folder + "/record.txt");
  Record(trouble ? "clients choose the same ID"
                 : "TROUBLE=0: each client chooses an ID of its own");
  Store store;
  store.Put(
    "op",
    "config",
    Configuration(Json::array({ Route("survey", 0), Route("booking", 0) }),
                  Json::array({ Tenant("alpha", "key-alpha"),
                                Tenant("beta", "key-beta") })));
  std::vector<std::unique_ptr<Worker>> workers;
  workers.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<Worker>(
      store,
      fmt::format("i-00000{}", i),
      fmt::format("r1-{}", i % 2),
      "prism",
      "windhoek-north",
      [](const std::string& aSpecification) -> std::optional<int> {
        return aSpecification.rfind("long", 0) == 0 ? 30000 : 2000;
      }));
  }
  const std::vector<Instance> instances{
    WriteSettings(
      folder + "/settings-1.json", "one", "windhoek-north", store.Address()),
    WriteSettings(
      folder + "/settings-2.json", "two", "walvis-bay", store.Address())
  };
  std::ofstream(folder + "/ready") << "\n";
  if (!AwaitReady(instances, 20000)) {
    Record("the instances don't become ready");
    std::_Exit(2);
  }
  SleepMs(3000);

  const std::string first = "00000000000004d2";
  const std::string second = trouble ? first : "10000000000004d2";
  const std::string third = "00000000000004d3";
  const std::string fourth = trouble ? third : "10000000000004d3";

  // Two tenants, one queue.
  if (!IsSuccess(Send("alpha",
                      instances[0],
                      "POST",
                      "/survey/" + first,
                      "key-alpha",
                      Job("order of alpha")))) {
    Record("the first job was not accepted");
    std::_Exit(2);
  }
  SleepMs(500);
  const bool betaAccepted = IsSuccess(Send("beta",
                                           instances[1],
                                           "POST",
                                           "/survey/" + second,
                                           "key-beta",
                                           Job("order of beta")));
  // One tenant, two queues.
  if (!IsSuccess(Send("alpha",
                      instances[0],
                      "POST",
                      "/survey/" + third,
                      "key-alpha",
                      Job("long survey")))) {
    Record("the survey was not accepted");
    std::_Exit(2);
  }
  SleepMs(500);
  const bool bookingAccepted = IsSuccess(Send("alpha",
                                              instances[1],
                                              "POST",
                                              "/booking/" + fourth,
                                              "key-alpha",
                                              Job("long booking")));
  SleepMs(kVisibleMs + 2000);
  const int betaState =
    Send("beta", instances[1], "GET", "/survey/" + second, "key-beta", "");
  Send("beta", instances[0], "GET", "/survey/" + second, "key-beta", "");
  Send("alpha", instances[0], "GET", "/survey/" + first, "key-alpha", "");
  const int cancel = Send(
    "alpha", instances[1], "DELETE", "/booking/" + fourth, "key-alpha", "");
  SleepMs(kVisibleMs + 2000);
  std::string survey;
  Send(
    "alpha", instances[0], "GET", "/survey/" + third, "key-alpha", "", &survey);
  constexpr int kFinishMs = 14000;
  SleepMs(kFinishMs);
  Send("beta", instances[1], "GET", "/survey/" + second, "key-beta", "");

  std::map<std::string, int> started;
  for (const auto& worker : workers) {
    for (const auto& start : worker->Starts()) {
      ++started[start.mSpecification];
    }
  }
  for (const auto& [specification, count] : started) {
    Record(fmt::format(
      "workers started \"{}\" {} times in all", specification, count));
  }
  bool broken = false;
  if (betaAccepted && betaState == 410) {
    Record("BROKEN (LOST): the job of beta was accepted with a success; its "
           "GET is answered 410");
    broken = true;
  }
  if (betaAccepted && started["order of beta"] == 0) {
    Record("BROKEN (LOST): the accepted job of beta never began, beside idle "
           "workers");
    broken = true;
  }
  if (bookingAccepted && started["long booking"] == 0) {
    Record("BROKEN (LOST): the accepted booking never began");
    broken = true;
  }
  if (IsSuccess(cancel) && survey.find("cancelled") != std::string::npos) {
    Record("BROKEN (LOST): the survey is shown as cancelled, and only the "
           "booking was cancelled");
    broken = true;
  }
  Record(broken ? "the rule was broken" : "the rule held");
  // The threads of the stand-ins still run.
  std::_Exit(broken ? 1 : 0);
}
