#include "flamingoloom/cli/check_command.h"

#include <fmt/format.h>

#include "flamingoloom/cli/files.h"
#include "flamingoloom/cli/report_error.h"
#include "flamingoloom/cli/table.h"

namespace flamingoloom::cli {
namespace {

base::Expected<ExitCode> CheckSettings(Context& aContext,
                                       const Arguments& aArguments)
{
  const auto path = aArguments.Text("file");
  auto text = ReadFile(path);
  if (!text) {
    return tl::unexpected(text.error());
  }
  auto settings = config::ReadSettings(*text, path, aContext.mEnvironment);
  if (!settings) {
    return ReportProblems(aContext.mConsole.mErr, path, settings.error());
  }
  if (aContext.mIsJson) {
    PrintJson(aContext.mConsole.mOut, config::ToJson(*settings));
  } else {
    aContext.mConsole.mOut << fmt::format("{} is valid\n", path);
  }
  return ExitCode::eDone;
}

} // namespace

Commands CheckCommands()
{
  return { { { "check" },
             "Check a settings file of flamingoloomd; --json prints it with "
             "all defaults filled in",
             "flamingoloom check settings.json",
             { { "file", OptionType::eText, "settings file", true } },
             false,
             CheckSettings } };
}

} // namespace flamingoloom::cli
