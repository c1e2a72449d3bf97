// Stands in for the platform: table service, object store and member list.
#include <csignal>
#include <cstdlib>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "testing/standins/platform_server.h"
#include "testing/standins/signals.h"

int main(int aCount, char** aArguments)
{
  using namespace flamingoloom;
  CLI::App app{ "Stand-in for the platform" };
  std::string address = "127.0.0.1:0";
  long listLagMs = 0;
  app.add_option("--listen", address, "address, port 0 for any free one");
  app.add_option("--list-lag-ms", listLagMs, "lag of the member list");
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
  // Doesn't wait for idle connections to close.
  std::_Exit(EXIT_SUCCESS);
}
