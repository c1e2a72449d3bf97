#include "flamingoloom/cli/view_commands.h"

#include "flamingoloom/cli/burn_command.h"
#include "flamingoloom/cli/table.h"

namespace flamingoloom::cli {
namespace {

// Returns a subcommand that prints the listing at /v1/aName. aFirstColumns
// names the columns that come first.
Command ViewCommand(const std::string& aName,
                    const std::string& aSummary,
                    const std::vector<std::string>& aFirstColumns)
{
  auto run = [aName, aFirstColumns](Context& aContext, const Arguments&) {
    return aContext.mClient->SendChecked({ "GET", "/v1/" + aName })
      .map([&](const ApiResponse& aResponse) {
        if (aContext.mIsJson) {
          PrintJson(aContext.mConsole.mOut, aResponse.mBody);
        } else {
          PrintTable(
            aContext.mConsole.mOut, RowsOf(aResponse.mBody), aFirstColumns);
        }
        return ExitCode::eDone;
      });
  };
  return { { aName }, aSummary, "flamingoloom " + aName, {}, true, run };
}

} // namespace

Commands ViewCommands()
{
  return {
    ViewCommand("jobs",
                "List the jobs that have not completed",
                { "account", "key", "kind", "state", "dataCentre", "servers" }),
    ViewCommand("servers",
                "List the backend servers and their health",
                { "id", "dataCentre", "rack", "state" }),
    ViewCommand("instances",
                "List the instances",
                { "id", "dataCentre", "region", "state", "address" }),
    ViewCommand("capacity",
                "Show free, used and guaranteed accelerators",
                { "dataCentre", "free", "used" }),
    BurnCommand(),
  };
}

} // namespace flamingoloom::cli
