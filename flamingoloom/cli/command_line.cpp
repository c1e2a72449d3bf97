#include "flamingoloom/cli/command_line.h"

#include <algorithm>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "flamingoloom/cli/check_command.h"
#include "flamingoloom/cli/command.h"
#include "flamingoloom/cli/config_commands.h"
#include "flamingoloom/cli/connection_options.h"
#include "flamingoloom/cli/data_centre_commands.h"
#include "flamingoloom/cli/questionnaire_command.h"
#include "flamingoloom/cli/report_error.h"
#include "flamingoloom/cli/request_commands.h"
#include "flamingoloom/cli/trace_command.h"
#include "flamingoloom/cli/view_commands.h"
#include "flamingoloom/config/duration_text.h"

namespace flamingoloom::cli {
namespace {

using base::Expected;

struct GlobalOptions
{
  std::vector<std::string> mServers;
  std::string mKeyFile;
  bool mIsJson = false;
};

Commands AllCommands()
{
  Commands all;
  for (const auto& group : { QuestionnaireCommands(),
                             ConfigCommands(),
                             RequestCommands(),
                             ViewCommands(),
                             DataCentreCommands(),
                             CheckCommands(),
                             TraceCommands() }) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

std::string CheckDuration(const std::string& aText)
{
  auto duration = config::ParseDuration(aText);
  return duration ? "" : duration.error().mMessage;
}

std::string CheckNumber(const std::string& aText)
{
  Arguments arguments;
  arguments.Set("number", aText);
  bool isNumber = arguments.Number("number").has_value() &&
                  aText.find_first_not_of("0123456789") == std::string::npos;
  return isNumber ? "" : "must be a whole number, 0 or more";
}

// An option as registered with CLI11, which holds its parsed value and, for a
// flag, how often it was given.
struct ParsedOption
{
  const OptionSpec* mSpec = nullptr;
  CLI::Option* mOption = nullptr;
};

struct ParsedCommand
{
  const Command* mCommand = nullptr;
  CLI::App* mApp = nullptr;
  std::vector<ParsedOption> mOptions;
};

CLI::Option* AddOption(CLI::App& aApp, const OptionSpec& aSpec)
{
  if (aSpec.mType == OptionType::eFlag) {
    return aApp.add_flag(aSpec.mName, aSpec.mHelp);
  }
  auto* option = aApp.add_option(aSpec.mName, aSpec.mHelp);
  option->required(aSpec.mIsRequired)->expected(1);
  option->default_str(aSpec.mDefault);
  if (aSpec.mType == OptionType::eDuration) {
    option->check(CheckDuration)->type_name("DURATION");
  } else if (aSpec.mType == OptionType::eNumber) {
    option->check(CheckNumber)->type_name("NUMBER");
  } else {
    option->type_name("TEXT");
  }
  return option;
}

CLI::App* FindOrAddSubcommand(CLI::App& aParent,
                              const std::string& aName,
                              const std::string& aSummary)
{
  auto existing = aParent.get_subcommands(
    [&](CLI::App* aApp) { return aApp->check_name(aName); });
  auto* app = existing.empty() ? aParent.add_subcommand(aName, aSummary)
                               : existing.front();
  // Global options are also accepted after the subcommand.
  app->fallthrough();
  return app;
}

std::string GroupSummary(const std::string& aName)
{
  return aName == "config" ? "Show and change the configuration"
                           : "Take a data centre out of service or return it";
}

ParsedCommand AddCommand(CLI::App& aRoot, const Command& aCommand)
{
  CLI::App* app = &aRoot;
  for (std::size_t i = 0; i + 1 < aCommand.mPath.size(); ++i) {
    app = FindOrAddSubcommand(
      *app, aCommand.mPath[i], GroupSummary(aCommand.mPath[i]));
    app->require_subcommand(1);
    app->footer("Example:\n  " + aCommand.mExample);
  }
  app = FindOrAddSubcommand(*app, aCommand.mPath.back(), aCommand.mSummary);
  app->footer("Example:\n  " + aCommand.mExample);
  ParsedCommand parsed{ &aCommand, app, {} };
  for (const auto& spec : aCommand.mOptions) {
    parsed.mOptions.push_back({ &spec, AddOption(*app, spec) });
  }
  return parsed;
}

void AddGlobalOptions(CLI::App& aRoot, GlobalOptions& aOptions)
{
  aRoot
    .add_option("--server",
                aOptions.mServers,
                fmt::format("address of an instance, \"ip:port\"; may be "
                            "given several times, to fail over when an "
                            "instance cannot be reached (default: ${}, "
                            "separated by commas)",
                            kServerVariable))
    ->expected(1)
    ->take_all();
  aRoot.add_option("--key-file",
                   aOptions.mKeyFile,
                   fmt::format("file with the API key that authenticates you "
                               "(default: ${})",
                               kKeyVariable));
  aRoot.add_flag("--json", aOptions.mIsJson, "print JSON instead of text");
}

Arguments ToArguments(const ParsedCommand& aParsed)
{
  Arguments arguments;
  for (const auto& [spec, option] : aParsed.mOptions) {
    if (option->count() > 0) {
      arguments.Set(spec->mName, option->results().back());
    } else if (!spec->mDefault.empty()) {
      arguments.Set(spec->mName, spec->mDefault);
    }
  }
  return arguments;
}

Expected<ExitCode> RunCommand(const ParsedCommand& aParsed,
                              const GlobalOptions& aOptions,
                              Console& aConsole,
                              const config::Environment& aEnvironment)
{
  Context context{ aConsole, nullptr, aEnvironment, aOptions.mIsJson };
  if (!aParsed.mCommand->mNeedsServer) {
    return aParsed.mCommand->mRun(context, ToArguments(aParsed));
  }
  auto servers = InstanceAddresses(aOptions.mServers, aEnvironment);
  if (!servers) {
    return tl::unexpected(servers.error());
  }
  auto key = ApiKey(aOptions.mKeyFile, aEnvironment);
  if (!key) {
    return tl::unexpected(key.error());
  }
  ApiClient client(*servers, *key, aConsole.mErr);
  context.mClient = &client;
  return aParsed.mCommand->mRun(context, ToArguments(aParsed));
}

// Returns the subcommand that the command line selected. Requires that parsing
// succeeded.
const ParsedCommand& SelectedCommand(
  const std::vector<ParsedCommand>& aCommands)
{
  return *std::find_if(
    aCommands.begin(), aCommands.end(), [](const ParsedCommand& aParsed) {
      return aParsed.mApp->parsed();
    });
}

ExitCode ParseAndRun(const std::vector<std::string>& aArguments,
                     Console& aConsole,
                     const config::Environment& aEnvironment)
{
  CLI::App root("Operates flamingoloom, a scheduler for multi-accelerator jobs",
                "flamingoloom");
  GlobalOptions options;
  AddGlobalOptions(root, options);
  root.require_subcommand(1);
  root.footer(
    fmt::format("Example:\n  flamingoloom --server 192.0.2.1:8080 jobs\n\n{}",
                ExitCodeHelp()));
  const auto commands = AllCommands();
  std::vector<ParsedCommand> parsed;
  for (const auto& command : commands) {
    parsed.push_back(AddCommand(root, command));
  }
  // CLI11 expects the arguments in reverse order.
  std::vector<std::string> reversed(aArguments.rbegin(), aArguments.rend());
  try {
    root.parse(reversed);
  } catch (const CLI::ParseError& error) {
    bool isHelp = root.exit(error, aConsole.mOut, aConsole.mErr) == 0;
    return isHelp ? ExitCode::eDone : ExitCode::eUsage;
  }
  auto done =
    RunCommand(SelectedCommand(parsed), options, aConsole, aEnvironment);
  return done ? *done : ReportError(aConsole.mErr, done.error());
}

} // namespace

ExitCode Run(const std::vector<std::string>& aArguments,
             Console& aConsole,
             const config::Environment& aEnvironment)
{
  try {
    return ParseAndRun(aArguments, aConsole, aEnvironment);
  } catch (const std::exception& error) {
    aConsole.mErr << "error: " << error.what()
                  << "\nnext: report this as a bug in flamingoloom\n";
    return ExitCode::eUnknown;
  }
}

} // namespace flamingoloom::cli
