// Measures the latency of consecutive StartTask calls through HttpClients
// against a stub backend server whose tasks take no time. For comparison, the
// "direct" figures come from the HTTP library's own client on the calling
// thread.
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <utility>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <httplib.h>
#include <unistd.h>

#include "flamingoloom/platform/http_clients.h"
#include "testing/standins/mailbox.h"

namespace flamingoloom::standins {
namespace {

using std::chrono::steady_clock;

platform::TaskStart MakeTaskStart(std::string aPrefix, int aNumber)
{
  platform::TaskStart start;
  start.mAttempt =
    base::AttemptId(std::move(aPrefix) + std::to_string(aNumber));
  start.mRequest = { base::AccountId("account"), std::to_string(aNumber) };
  start.mKind = base::KindId("quote");
  start.mPayload = "{}";
  return start;
}

using Call = std::function<bool(const platform::TaskStart&)>;

// Calls each variant aCalls times and prints their latencies. The variants
// alternate, so that other load on the machine affects all of them alike.
// Returns false as soon as a call fails.
bool Measure(int aCalls,
             const std::vector<std::pair<const char*, Call>>& aVariants)
{
  const auto processId = std::to_string(getpid());
  std::vector<std::vector<double>> microseconds(aVariants.size());
  for (int i = 0; i < aCalls; ++i) {
    for (std::size_t variant = 0; variant < aVariants.size(); ++variant) {
      const auto& [name, call] = aVariants[variant];
      const auto start = MakeTaskStart(processId + "-" + name + "-", i);
      const auto begin = steady_clock::now();
      if (!call(start)) {
        return false;
      }
      microseconds[variant].push_back(
        std::chrono::duration<double, std::micro>(steady_clock::now() - begin)
          .count());
    }
  }
  for (std::size_t variant = 0; variant < aVariants.size(); ++variant) {
    auto& times = microseconds[variant];
    std::sort(times.begin(), times.end());
    fmt::print("{}: median {:.0f} us, 99th percentile {:.0f} us, {} calls\n",
               aVariants[variant].first,
               times[times.size() / 2],
               times[times.size() * 99 / 100],
               times.size());
  }
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
  const Call directCall = [&](const platform::TaskStart& aStart) {
    auto result =
      direct.Post("/tasks", nlohmann::json(aStart).dump(), "application/json");
    return result && result->status == 200;
  };
  const Call clientCall = [&](const platform::TaskStart& aStart) {
    bool isFinished = false;
    clients.StartTask(
      server, aStart, std::chrono::seconds(2), [&](auto aStatus) {
        isFinished =
          aStatus && aStatus->mState == platform::TaskState::eFinished;
      });
    mailbox.RunOne(std::chrono::seconds(5));
    return isFinished;
  };
  const bool hasSucceeded =
    Measure(aCalls, { { "direct", directCall }, { "client", clientCall } });
  return hasSucceeded ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace
} // namespace flamingoloom::standins

int main(int aCount, char** aArguments)
{
  CLI::App app{ "Measures the latency of StartTask" };
  std::string server;
  int calls = 10000;
  app.add_option("--server", server, "address of a backend_stand_in process")
    ->required();
  app.add_option("--calls", calls, "number of calls");
  CLI11_PARSE(app, aCount, aArguments);
  return flamingoloom::standins::Run(server, calls);
}
