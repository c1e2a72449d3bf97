// Measures how long StartTask takes through HttpClients against a backend
// stand-in whose tasks take no time, one call after the other. The direct
// figures come from the HTTP library's own client on the calling thread.
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <httplib.h>

#include "flamingoloom/platform/http_clients.h"
#include "testing/standins/mailbox.h"

namespace flamingoloom::standins {
namespace {

using std::chrono::steady_clock;

platform::TaskStart StartNumber(std::string aPrefix, int aNumber)
{
  platform::TaskStart start;
  start.mAttempt =
    base::AttemptId(std::move(aPrefix) + std::to_string(aNumber));
  start.mRequest = { base::AccountId("account"), std::to_string(aNumber) };
  start.mKind = base::KindId("quote");
  start.mPayload = "{}";
  return start;
}

// Prints the times of aCalls calls; returns whether all succeeded.
bool Measure(const char* aName, int aCalls, std::function<bool(int)> aCall)
{
  std::vector<double> microseconds;
  for (int i = 0; i < aCalls; ++i) {
    const auto begin = steady_clock::now();
    if (!aCall(i)) {
      return false;
    }
    microseconds.push_back(
      std::chrono::duration<double, std::micro>(steady_clock::now() - begin)
        .count());
  }
  std::sort(microseconds.begin(), microseconds.end());
  fmt::print("{}: median {:.0f} us, 99th percentile {:.0f} us, {} calls\n",
             aName,
             microseconds[microseconds.size() / 2],
             microseconds[microseconds.size() * 99 / 100],
             microseconds.size());
  return true;
}

int Run(const std::string& aServer, int aCalls)
{
  const platform::ServerAddress server{ base::ServerId("server"), aServer };
  Mailbox mailbox;
  platform::HttpClients clients({}, mailbox.AsExecutor());
  httplib::Client direct("http://" + aServer);
  direct.set_keep_alive(true);
  direct.set_tcp_nodelay(true);
  const auto run =
    std::to_string(steady_clock::now().time_since_epoch().count());
  const bool isDone =
    Measure("direct",
            aCalls,
            [&](int aNumber) {
              const auto start = StartNumber(run + "-direct-", aNumber);
              auto result = direct.Post(
                "/tasks", nlohmann::json(start).dump(), "application/json");
              return result && result->status == 200;
            }) &&
    Measure("client", aCalls, [&](int aNumber) {
      bool isFinished = false;
      clients.StartTask(server,
                        StartNumber(run + "-client-", aNumber),
                        std::chrono::seconds(2),
                        [&](auto aStatus) {
                          isFinished =
                            aStatus &&
                            aStatus->mState == platform::TaskState::eFinished;
                        });
      mailbox.RunOne(std::chrono::seconds(5));
      return isFinished;
    });
  return isDone ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace
} // namespace flamingoloom::standins

int main(int aCount, char** aArguments)
{
  CLI::App app{ "Measures the latency of StartTask" };
  std::string server;
  int calls = 10000;
  app.add_option("--server", server, "address of a backend_stand_in")
    ->required();
  app.add_option("--calls", calls, "number of calls");
  CLI11_PARSE(app, aCount, aArguments);
  return flamingoloom::standins::Run(server, calls);
}
