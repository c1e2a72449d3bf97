// Runs command lines in-process, for tests.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "flamingoloom/cli/exit_code.h"

namespace flamingoloom::cli {

struct RunResult
{
  ExitCode mCode = ExitCode::eDone;
  std::string mOut;
  std::string mErr;

  bool OutHas(const std::string& aText) const
  {
    return mOut.find(aText) != std::string::npos;
  }
  bool ErrHas(const std::string& aText) const
  {
    return mErr.find(aText) != std::string::npos;
  }
};

using Variables = std::map<std::string, std::string>;

// Runs without a terminal, or with one at which aTyped is typed.
RunResult RunCommandLine(const std::vector<std::string>& aArguments,
                         const Variables& aVariables = {});
RunResult RunAtTerminal(const std::vector<std::string>& aArguments,
                        const std::string& aInput);

// Runs aArguments with a --server option for each address.
RunResult RunWithServers(const std::vector<std::string>& aServers,
                         std::vector<std::string> aArguments);

// A folder that is removed at the end of the test.
class ScratchFolder
{
public:
  ScratchFolder();
  ~ScratchFolder();
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  std::string Path(const std::string& aName) const;
  // Writes a file and returns its path.
  std::string Write(const std::string& aName, const std::string& aText) const;

private:
  std::string mPath;
};

} // namespace flamingoloom::cli
