#include "flamingoloom/cli/data_centre_commands.h"

#include <chrono>
#include <thread>

#include <fmt/format.h>

#include "flamingoloom/cli/table.h"

namespace flamingoloom::cli {
namespace {

using base::ErrorCode;
using base::Expected;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto kPollInterval = 200ms;
// While a take-out is not acknowledged, its reason is printed after
// kFirstMessageDelay and then at every kMessageInterval.
constexpr auto kFirstMessageDelay = 1s;
constexpr auto kMessageInterval = 5s;
constexpr char kPath[] = "/v1/datacentres";

const std::vector<std::string> kColumns = { "dataCentre",   "state",
                                            "acknowledged", "version",
                                            "operator",     "reason" };

Expected<json> FetchDataCentres(Context& aContext)
{
  return aContext.mClient->SendChecked({ "GET", kPath })
    .map([](const ApiResponse& aResponse) { return RowsOf(aResponse.mBody); });
}

// Returns the row of aName in the listing. Fails with eNotFound when there is
// none.
Expected<json> FetchDataCentre(Context& aContext, const std::string& aName)
{
  auto rows = FetchDataCentres(aContext);
  if (!rows) {
    return rows;
  }
  for (const auto& row : *rows) {
    if (row.is_object() && row.value("dataCentre", json()) == aName) {
      return row;
    }
  }
  return base::MakeError(ErrorCode::eNotFound,
                         "find data centre",
                         "instance",
                         fmt::format("there is no data centre \"{}\"", aName),
                         "data-centre");
}

bool IsAcknowledged(const json& aRow)
{
  return aRow.is_object() && aRow.value("acknowledged", json()) == true;
}

Expected<std::uint64_t> ExpectedVersion(Context& aContext,
                                        const Arguments& aArguments)
{
  if (auto given = aArguments.Number("--expected-version")) {
    return *given;
  }
  return FetchDataCentre(aContext, aArguments.Text("data-centre"))
    .and_then([](const json& aRow) -> Expected<std::uint64_t> {
      const auto version = aRow.value("version", json());
      if (version.is_number_integer()) {
        return version.get<std::uint64_t>();
      }
      return base::MakeError(ErrorCode::eBadAnswer,
                             "find data centre",
                             "instance",
                             "the listing has no version");
    });
}

Expected<std::string> OperatorName(Context& aContext,
                                   const Arguments& aArguments)
{
  auto name = aArguments.Text("--operator");
  if (name.empty()) {
    name = aContext.mEnvironment("USER").value_or("");
  }
  if (!name.empty()) {
    return name;
  }
  return base::MakeError(ErrorCode::eInvalid,
                         "read operator",
                         "command line",
                         "give the name of the operator, which is shown to "
                         "operators whose changes conflict",
                         "--operator");
}

Expected<json> ChangeState(Context& aContext,
                           const Arguments& aArguments,
                           const std::string& aState)
{
  auto name = OperatorName(aContext, aArguments);
  if (!name) {
    return tl::unexpected(name.error());
  }
  auto version = ExpectedVersion(aContext, aArguments);
  if (!version) {
    return tl::unexpected(version.error());
  }
  ApiRequest request{
    "POST",
    fmt::format("{}/{}", kPath, EncodeSegment(aArguments.Text("data-centre"))),
    { { "state", aState },
      { "operator", *name },
      { "expectedVersion", *version } }
  };
  return aContext.mClient->SendChecked(request).map(
    [](const ApiResponse& aResponse) { return aResponse.mBody; });
}

void PrintNotAcknowledged(Context& aContext,
                          const std::string& aName,
                          const json& aRow)
{
  aContext.mConsole.mErr << fmt::format("{} is not acknowledged yet: {}\n",
                                        aName,
                                        aRow.value("reason", json()).dump())
                         << std::flush;
}

// Polls until the take-out is acknowledged, the data centre has been returned
// to service, or the option --wait has elapsed. Returns the last row.
Expected<json> AwaitAcknowledgement(Context& aContext,
                                    const Arguments& aArguments,
                                    json aRow)
{
  using Clock = std::chrono::steady_clock;
  const auto name = aArguments.Text("data-centre");
  const auto deadline = Clock::now() + aArguments.Duration("--wait");
  auto nextMessage = Clock::now() + kFirstMessageDelay;
  while (!IsAcknowledged(aRow) && aRow.value("state", json()) == "out" &&
         Clock::now() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
    auto row = FetchDataCentre(aContext, name);
    if (!row) {
      return row;
    }
    aRow = *row;
    if (Clock::now() >= nextMessage) {
      PrintNotAcknowledged(aContext, name, aRow);
      nextMessage += kMessageInterval;
    }
  }
  return aRow;
}

void Print(Context& aContext, const json& aRow)
{
  if (aContext.mIsJson) {
    PrintJson(aContext.mConsole.mOut, aRow);
  } else {
    PrintTable(aContext.mConsole.mOut, json::array({ aRow }), kColumns);
  }
}

Expected<ExitCode> TakeOut(Context& aContext, const Arguments& aArguments)
{
  auto row = ChangeState(aContext, aArguments, "out");
  if (row && row->is_object()) {
    row = AwaitAcknowledgement(aContext, aArguments, *row);
  }
  if (!row) {
    return tl::unexpected(row.error());
  }
  Print(aContext, *row);
  if (IsAcknowledged(*row)) {
    return ExitCode::eDone;
  }
  aContext.mConsole.mErr
    << "work may still start there; next: flamingoloom data-centre status\n";
  return ExitCode::ePending;
}

Expected<ExitCode> ReturnToService(Context& aContext,
                                   const Arguments& aArguments)
{
  return ChangeState(aContext, aArguments, "in").map([&](const json& aRow) {
    Print(aContext, aRow);
    return ExitCode::eDone;
  });
}

Expected<ExitCode> Status(Context& aContext, const Arguments&)
{
  return FetchDataCentres(aContext).map([&](const json& aRows) {
    if (aContext.mIsJson) {
      PrintJson(aContext.mConsole.mOut, aRows);
    } else {
      PrintTable(aContext.mConsole.mOut, aRows, kColumns);
    }
    return ExitCode::eDone;
  });
}

const std::vector<OptionSpec> kChangeOptions = {
  { "data-centre", OptionType::eText, "name of the data centre", true },
  { "--operator",
    OptionType::eText,
    "who makes the change (default: the environment variable USER)" },
  { "--expected-version",
    OptionType::eNumber,
    "version to replace; the change is rejected when another change has "
    "replaced it (default: the current version)" },
};

Command TakeOutCommand()
{
  auto options = kChangeOptions;
  options.push_back({ "--wait",
                      OptionType::eDuration,
                      "how long to wait until no new work can start there",
                      false,
                      "30 s" });
  return { { "data-centre", "out" },
           "Take a data centre out of service; running work continues",
           "flamingoloom data-centre out akureyri-2 --operator sigrun",
           options,
           true,
           TakeOut };
}

} // namespace

Commands DataCentreCommands()
{
  return { TakeOutCommand(),
           { { "data-centre", "in" },
             "Return a data centre to service",
             "flamingoloom data-centre in akureyri-2 --operator sigrun",
             kChangeOptions,
             true,
             ReturnToService },
           { { "data-centre", "status" },
             "List the data centres and whether they are in service",
             "flamingoloom data-centre status",
             {},
             true,
             Status } };
}

} // namespace flamingoloom::cli
