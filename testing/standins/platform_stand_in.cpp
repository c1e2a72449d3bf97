// Runs the stub of the platform: table service, object store and member list.
#include <csignal>
#include <cstdlib>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "testing/standins/platform_server.h"
#include "testing/standins/signals.h"

int main(int aCount, char** aArguments)
{
  using namespace flamingoloom;
  CLI::App app{ "Stub of the platform" };
  std::string address = "127.0.0.1:0";
  long listLagMs = 0;
  app.add_option(
    "--listen", address, "listen address; port 0 selects a free port");
  app.add_option("--list-lag-ms", listLagMs, "age of the member list in ms");
  CLI11_PARSE(app, aCount, aArguments);

  standins::BlockStopSignals();
  standins::PlatformServer server(
    { .mListLag = std::chrono::milliseconds(listLagMs) });
  const auto actual = server.Listen(address);
  if (!actual) {
    fmt::print(stderr, "{}\n", actual.error().ToString());
    return EXIT_FAILURE;
  }
  fmt::print("{}\n", *actual);
  std::fflush(stdout);
  standins::WaitForStopSignal();
  // Skips the destructor, which waits for idle connections to close.
  std::_Exit(EXIT_SUCCESS);
}
