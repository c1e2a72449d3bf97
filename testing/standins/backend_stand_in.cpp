// Runs the stub of one backend server. On SIGTERM or SIGINT it drains: it
// finishes its running tasks and exits with 0.
#include <cstdlib>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "testing/standins/backend_server.h"
#include "testing/standins/signals.h"

int main(int aCount, char** aArguments)
{
  using namespace flamingoloom;
  CLI::App app{ "Stub of a backend server" };
  standins::BackendOptions options;
  std::string address = "127.0.0.1:0";
  std::string dataCentre = "dc-1";
  std::string region = "region-1";
  long runTimeMs = 0;
  long usageLagMs = 1000;
  platform::Member& member = options.mMember;
  member.mKind = platform::MemberKind::eServer;
  member.mSlots = 8;
  member.mConnections = 64;
  member.mAccelerators = 8;
  app.add_option(
    "--listen", address, "listen address; port 0 selects a free port");
  app.add_option("--platform",
                 options.mPlatformAddress,
                 "address of the platform; empty for no announcements");
  app.add_option("--id", member.mId, "member id")->required();
  app.add_option("--data-centre", dataCentre);
  app.add_option("--region", region);
  app.add_option("--rack", member.mRack);
  app.add_option("--slots", member.mSlots);
  app.add_option("--connections", member.mConnections);
  app.add_option("--accelerators", member.mAccelerators);
  app.add_option(
    "--run-time-ms", runTimeMs, "run time of tasks whose payload has no runMs");
  app.add_option("--usage-lag-ms", usageLagMs);
  app.add_flag("--fail-tasks",
               options.mFailTasks,
               "make every task fail as soon as it starts");
  app.add_option(
    "--history-file",
    options.mHistoryFile,
    "file to which each start and end of a task is appended as a line of JSON");
  CLI11_PARSE(app, aCount, aArguments);
  member.mDataCentre = base::DataCentreId(dataCentre);
  member.mRegion = base::RegionId(region);
  options.mRunTime = std::chrono::milliseconds(runTimeMs);
  options.mUsageLag = std::chrono::milliseconds(usageLagMs);

  standins::BlockStopSignals();
  standins::BackendServer server(options);
  const auto actual = server.Listen(address);
  if (!actual) {
    fmt::print(stderr, "{}\n", actual.error().ToString());
    return EXIT_FAILURE;
  }
  fmt::print("{}\n", *actual);
  std::fflush(stdout);
  standins::WaitForStopSignal();
  server.Drain();
  // Skips the destructor, which waits for idle connections to close.
  std::_Exit(EXIT_SUCCESS);
}
