// flamingoloomd: one instance. The first SIGTERM or SIGINT starts a graceful
// shutdown; a second one terminates the process immediately.
#include <csignal>
#include <fstream>
#include <malloc.h>
#include <sstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "flamingoloom/config/settings.h"
#include "flamingoloom/daemon/daemon.h"

namespace {

using namespace flamingoloom;

constexpr int kExitInvalidSettings = 2;
constexpr int kExitStartFailed = 3;
constexpr int kExitShutdownTimeout = 4;
constexpr base::Duration kShutdownTimeout = std::chrono::seconds(70);

// Blocks SIGTERM and SIGINT in this thread and all threads that it starts.
sigset_t BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void WaitForSignal(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
}

// Unblocks the signals, so that the next one terminates the process.
void RestoreStopSignals(const sigset_t& aSignals)
{
  pthread_sigmask(SIG_UNBLOCK, &aSignals, nullptr);
}

// Each connection has a thread. By default the allocator gives most of them a
// heap of their own, in which the memory of a large request stays.
void ConfigureAllocator()
{
  constexpr int kMaxHeaps = 4;
  constexpr int kMinMappedBytes = 128 * 1024;
  mallopt(M_ARENA_MAX, kMaxHeaps);
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
}

int Run(const config::Settings& aSettings)
{
  ConfigureAllocator();
  sigset_t signals = BlockStopSignals();
  auto daemon = daemon::Daemon::Start(aSettings);
  if (!daemon) {
    fmt::print(stderr, "flamingoloomd: {}\n", daemon.error().ToString());
    return kExitStartFailed;
  }
  WaitForSignal(signals);
  RestoreStopSignals(signals);
  return (*daemon)->Shutdown(kShutdownTimeout) ? 0 : kExitShutdownTimeout;
}

} // namespace

int main(int aCount, char** aArguments)
{
  CLI::App app("One instance of flamingoloom.", "flamingoloomd");
  std::string path;
  bool printSettings = false;
  app.add_option("settings", path, "Settings file (JSON)")
    ->required()
    ->check(CLI::ExistingFile);
  app.add_flag(
    "--print-settings", printSettings, "Print the effective settings and exit");
  app.footer("Example: flamingoloomd instance.json");
  CLI11_PARSE(app, aCount, aArguments);

  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  auto settings =
    config::ReadSettings(text.str(), path, config::ProcessEnvironment());
  if (!settings) {
    fmt::print(stderr, "{}\n", config::ToString(settings.error()));
    return kExitInvalidSettings;
  }
  if (printSettings) {
    fmt::print("{}\n", config::ToJson(*settings).dump(2));
    return 0;
  }
  return Run(*settings);
}
