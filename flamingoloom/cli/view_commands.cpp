#include "flamingoloom/cli/view_commands.h"

#include "flamingoloom/cli/table.h"

namespace flamingoloom::cli {
namespace {

// A subcommand that prints one listing. aFirst names the columns that come
// first.
Command View(const std::string& aName,
             const std::string& aSummary,
             const std::vector<std::string>& aFirst)
{
  auto run = [aName, aFirst](Context& aContext, const Arguments&) {
    return aContext.mClient->SendChecked({ "GET", "/v1/" + aName })
      .map([&](const ApiAnswer& aAnswer) {
        if (aContext.mIsJson) {
          PrintJson(aContext.mConsole.mOut, aAnswer.mBody);
        } else {
          PrintTable(aContext.mConsole.mOut, RowsOf(aAnswer.mBody), aFirst);
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
    View("jobs",
         "List the jobs that have not ended",
         { "account", "key", "kind", "state", "dataCentre", "servers" }),
    View("servers",
         "List the backend servers and what is known of their health",
         { "id", "dataCentre", "rack", "state" }),
    View("instances",
         "List the instances",
         { "id", "dataCentre", "region", "state", "address" }),
    View("capacity",
         "Show free, used and guaranteed accelerators",
         { "dataCentre", "accelerators", "free", "fragmentation" }),
    View("burn",
         "Show how fast each kind of job uses up its allowed late answers",
         { "kind", "objective" }),
  };
}

} // namespace flamingoloom::cli
