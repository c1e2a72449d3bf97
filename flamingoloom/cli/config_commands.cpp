#include "flamingoloom/cli/config_commands.h"

#include <iostream>

#include <fmt/format.h>

#include "flamingoloom/cli/files.h"
#include "flamingoloom/cli/report_error.h"
#include "flamingoloom/cli/table.h"
#include "flamingoloom/config/configuration_json.h"
#include "flamingoloom/config/difference.h"
#include "flamingoloom/config/summary.h"

namespace flamingoloom::cli {
namespace {

using base::ErrorCode;
using base::Expected;
using config::Configuration;
using nlohmann::json;

constexpr char kPath[] = "/v1/config";

// Combines the problems of a failed check into one error.
template <class T>
Expected<T> ToExpected(config::Checked<T> aChecked)
{
  if (aChecked) {
    return std::move(*aChecked);
  }
  return tl::unexpected(config::Combine(aChecked.error()));
}

// The response is either the configuration itself or an object with the key
// "configuration", which is null until the first configuration is accepted.
Expected<Configuration> ParseConfiguration(const ApiResponse& aResponse)
{
  const auto& body = aResponse.mBody;
  bool isWrapped = body.is_object() && body.contains("configuration");
  const auto& document = isWrapped ? body.at("configuration") : body;
  if (document.is_null()) {
    return base::MakeError(ErrorCode::eNotFound,
                           "read configuration",
                           aResponse.mServer,
                           "there is no configuration yet");
  }
  auto configuration =
    ToExpected(config::ConfigurationFromJson(document, aResponse.mServer));
  if (!configuration) {
    configuration.error().mCode = ErrorCode::eBadAnswer;
  }
  return configuration;
}

Expected<Configuration> FetchConfiguration(Context& aContext)
{
  return aContext.mClient->SendChecked({ "GET", kPath })
    .and_then(ParseConfiguration);
}

Expected<Configuration> LoadConfiguration(const std::string& aPath)
{
  return ReadFile(aPath).and_then([&](const std::string& aText) {
    return ToExpected(config::ConfigurationFromText(aText, aPath));
  });
}

void PrintLines(std::ostream& aOut, const std::vector<std::string>& aLines)
{
  for (const auto& line : aLines) {
    aOut << line << "\n";
  }
}

Expected<ExitCode> Show(Context& aContext, const Arguments&)
{
  return FetchConfiguration(aContext).map([&](const Configuration& aCurrent) {
    auto& out = aContext.mConsole.mOut;
    if (aContext.mIsJson) {
      out << config::ToIndentedText(aCurrent);
    } else {
      out << fmt::format(
        "{}, version {}\n", aCurrent.mDeployment, aCurrent.mVersion);
      PrintLines(out, config::Summarise(aCurrent));
    }
    return ExitCode::eDone;
  });
}

void PrintDifference(Context& aContext,
                     const Configuration& aOld,
                     const Configuration& aNew)
{
  auto lines = config::Difference(aOld, aNew);
  auto& out = aContext.mConsole.mOut;
  if (aContext.mIsJson) {
    PrintJson(out, { { "version", aOld.mVersion }, { "changes", lines } });
    return;
  }
  out << fmt::format(
    "{} against version {}:\n",
    lines.empty()
      ? "no changes"
      : fmt::format("{} change{}", lines.size(), lines.size() == 1 ? "" : "s"),
    aOld.mVersion);
  PrintLines(out, lines);
}

Expected<ExitCode> Diff(Context& aContext, const Arguments& aArguments)
{
  auto newConfiguration = LoadConfiguration(aArguments.Text("file"));
  if (!newConfiguration) {
    return tl::unexpected(newConfiguration.error());
  }
  return FetchConfiguration(aContext).map([&](const Configuration& aCurrent) {
    PrintDifference(aContext, aCurrent, *newConfiguration);
    return ExitCode::eDone;
  });
}

// An instance that stores only the current version does not serve the path of
// the history.
base::Error ExplainNoHistory(base::Error aError)
{
  if (aError.mCode == ErrorCode::eNotFound) {
    aError.mMessage = "this instance keeps no earlier versions; compare with "
                      "a file by flamingoloom config diff";
  }
  return aError;
}

Expected<ExitCode> History(Context& aContext, const Arguments&)
{
  return aContext.mClient->SendChecked({ "GET", "/v1/config/history" })
    .map_error(ExplainNoHistory)
    .map([&](const ApiResponse& aResponse) {
      if (aContext.mIsJson) {
        PrintJson(aContext.mConsole.mOut, aResponse.mBody);
      } else {
        PrintTable(aContext.mConsole.mOut,
                   RowsOf(aResponse.mBody),
                   { "version", "operator", "digest" });
      }
      return ExitCode::eDone;
    });
}

// Asks the operator to confirm the printed difference, and returns the version
// that it is against. Fails with eInvalid without a terminal, and when the
// operator does not confirm.
Expected<std::uint64_t> Confirm(Context& aContext, std::uint64_t aVersion)
{
  if (!aContext.mConsole.mIsInteractive) {
    return base::MakeError(
      ErrorCode::eInvalid,
      "apply configuration",
      "command line",
      fmt::format("give the version to replace, which is now {}", aVersion),
      "--expected-version");
  }
  aContext.mConsole.mErr << "Apply these changes? (yes/no) " << std::flush;
  std::string reply;
  std::getline(aContext.mConsole.mIn, reply);
  if (reply == "yes" || reply == "y") {
    return aVersion;
  }
  return base::MakeError(ErrorCode::eInvalid,
                         "apply configuration",
                         "operator",
                         "not confirmed; nothing was changed");
}

// Returns the version that the change replaces: the given one, or the current
// one after the operator has confirmed the difference. The version is 0 when
// there is no configuration yet.
Expected<std::uint64_t> VersionToReplace(Context& aContext,
                                         const Arguments& aArguments,
                                         const Configuration& aNewConfiguration)
{
  if (auto given = aArguments.Number("--expected-version")) {
    return *given;
  }
  auto current = FetchConfiguration(aContext);
  if (!current && current.error().mCode == ErrorCode::eNotFound) {
    current = Configuration();
  }
  if (!current) {
    return tl::unexpected(current.error());
  }
  PrintDifference(aContext, *current, aNewConfiguration);
  return Confirm(aContext, current->mVersion);
}

void PrintApplied(Context& aContext, const ApiResponse& aResponse)
{
  if (aContext.mIsJson) {
    PrintJson(aContext.mConsole.mOut, aResponse.mBody);
    return;
  }
  const auto& body = aResponse.mBody;
  auto version = body.is_object() ? body.value("version", json()) : json();
  aContext.mConsole.mOut << fmt::format(
    "applied{}\n",
    version.is_null() ? "" : fmt::format(" as version {}", version.dump()));
}

Expected<ExitCode> Apply(Context& aContext, const Arguments& aArguments)
{
  auto newConfiguration = LoadConfiguration(aArguments.Text("file"));
  if (!newConfiguration) {
    return tl::unexpected(newConfiguration.error());
  }
  auto version = VersionToReplace(aContext, aArguments, *newConfiguration);
  if (!version) {
    return tl::unexpected(version.error());
  }
  ApiRequest request{ "PUT",
                      kPath,
                      { { "expectedVersion", *version },
                        { "configuration",
                          config::ToJson(*newConfiguration) } } };
  return aContext.mClient->SendChecked(request).map(
    [&](const ApiResponse& aResponse) {
      PrintApplied(aContext, aResponse);
      return ExitCode::eDone;
    });
}

const OptionSpec kFile{
  "file",
  OptionType::eText,
  "configuration that the questionnaire wrote",
  true,
};

} // namespace

Commands ConfigCommands()
{
  return { { { "config", "show" },
             "Show the active configuration, in sentences or as JSON",
             "flamingoloom config show",
             {},
             true,
             Show },
           { { "config", "diff" },
             "Show what a configuration file would change",
             "flamingoloom config diff configuration.json",
             { kFile },
             true,
             Diff },
           { { "config", "history" },
             "List the earlier versions of the configuration",
             "flamingoloom config history",
             {},
             true,
             History },
           { { "config", "apply" },
             "Apply a configuration file to all instances",
             "flamingoloom config apply configuration.json "
             "--expected-version 4",
             { kFile,
               { "--expected-version",
                 OptionType::eNumber,
                 "version to replace; 0 for the first configuration. At a "
                 "terminal it may be left out: the changes are then shown for "
                 "confirmation" } },
             true,
             Apply } };
}

} // namespace flamingoloom::cli
