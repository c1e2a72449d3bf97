// flamingoloomd: one instance. SIGTERM or SIGINT begins a planned stop; a
// second one ends the process at once.
#include <csignal>
#include <fstream>
#include <sstream>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "flamingoloom/config/settings.h"
#include "flamingoloom/daemon/daemon.h"

namespace {

using namespace flamingoloom;

constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;
constexpr int kExitLeave = 4;
constexpr base::Duration kLeaveTimeout = std::chrono::seconds(70);

// Blocks the signals in this thread and all that it starts.
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

// From now on the signals end the process at once.
void RestoreStopSignals(const sigset_t& aSignals)
{
  pthread_sigmask(SIG_UNBLOCK, &aSignals, nullptr);
}

int Run(const config::Settings& aSettings)
{
  sigset_t signals = BlockStopSignals();
  auto daemon = daemon::Daemon::Start(aSettings);
  if (!daemon) {
    fmt::print(stderr, "flamingoloomd: {}\n", daemon.error().ToString());
    return kExitStart;
  }
  WaitForSignal(signals);
  RestoreStopSignals(signals);
  return (*daemon)->Shutdown(kLeaveTimeout) ? 0 : kExitLeave;
}

} // namespace

int main(int aCount, char** aArguments)
{
  CLI::App app("One instance of flamingoloom.", "flamingoloomd");
  std::string path;
  bool print = false;
  app.add_option("settings", path, "Settings file (JSON)")
    ->required()
    ->check(CLI::ExistingFile);
  app.add_flag(
    "--print-settings", print, "Print the settings in force and exit");
  app.footer("Example: flamingoloomd instance.json");
  CLI11_PARSE(app, aCount, aArguments);

  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  auto settings =
    config::ReadSettings(text.str(), path, config::ProcessEnvironment());
  if (!settings) {
    fmt::print(stderr, "{}\n", config::ToString(settings.error()));
    return kExitSettings;
  }
  if (print) {
    fmt::print("{}\n", config::ToJson(*settings).dump(2));
    return 0;
  }
  return Run(*settings);
}
