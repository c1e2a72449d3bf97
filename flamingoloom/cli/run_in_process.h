// Helpers that run command lines in-process, for tests.
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

// RunCommandLine runs without a terminal, RunAtTerminal with one that reads
// aInput.
RunResult RunCommandLine(const std::vector<std::string>& aArguments,
                         const Variables& aVariables = {});
RunResult RunAtTerminal(const std::vector<std::string>& aArguments,
                        const std::string& aInput);

// Runs aArguments with a --server option for each address.
RunResult RunWithServers(const std::vector<std::string>& aServers,
                         std::vector<std::string> aArguments);

// A temporary folder, which the destructor removes.
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
