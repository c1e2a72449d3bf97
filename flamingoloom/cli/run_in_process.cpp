#include "flamingoloom/cli/run_in_process.h"

#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "flamingoloom/cli/command_line.h"

namespace flamingoloom::cli {
namespace {

RunResult RunInProcess(const std::vector<std::string>& aArguments,
                       const Variables& aVariables,
                       const std::string& aInput,
                       bool aIsInteractive)
{
  std::istringstream in(aInput);
  std::ostringstream out;
  std::ostringstream err;
  Console console{ in, out, err, aIsInteractive };
  auto environment =
    [&](const std::string& aName) -> std::optional<std::string> {
    auto found = aVariables.find(aName);
    return found == aVariables.end() ? std::nullopt
                                     : std::optional(found->second);
  };
  auto code = Run(aArguments, console, environment);
  return { code, out.str(), err.str() };
}

} // namespace

RunResult RunCommandLine(const std::vector<std::string>& aArguments,
                         const Variables& aVariables)
{
  return RunInProcess(aArguments, aVariables, "", false);
}

RunResult RunAtTerminal(const std::vector<std::string>& aArguments,
                        const std::string& aInput)
{
  return RunInProcess(aArguments, {}, aInput, true);
}

RunResult RunWithServers(const std::vector<std::string>& aServers,
                         std::vector<std::string> aArguments)
{
  for (const auto& server : aServers) {
    aArguments.insert(aArguments.end(), { "--server", server });
  }
  return RunCommandLine(aArguments);
}

ScratchFolder::ScratchFolder()
{
  auto pattern =
    (std::filesystem::temp_directory_path() / "flamingoloom-XXXXXX").string();
  mPath = mkdtemp(pattern.data());
}

ScratchFolder::~ScratchFolder()
{
  std::error_code ignored;
  std::filesystem::remove_all(mPath, ignored);
}

std::string ScratchFolder::Path(const std::string& aName) const
{
  return fmt::format("{}/{}", mPath, aName);
}

std::string ScratchFolder::Write(const std::string& aName,
                                 const std::string& aText) const
{
  std::ofstream(Path(aName)) << aText;
  return Path(aName);
}

} // namespace flamingoloom::cli
