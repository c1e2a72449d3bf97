// Exit codes of the program `flamingoloom`. Scripts rely on the numbers.
#pragma once

#include <string_view>

#include "flamingoloom/base/error.h"

namespace flamingoloom::cli {

enum class ExitCode
{
  eDone = 0,
  // The job ran and failed, or was cancelled.
  eFailed = 1,
  // The command line is wrong.
  eUsage = 2,
  // A file, an answer or a request is not valid.
  eInvalid = 3,
  eDenied = 4,
  eNotFound = 5,
  // Somebody else changed it first, or the key has another body.
  eConflict = 6,
  // Refused: it did not run.
  eRefused = 7,
  // It is not known whether it took effect.
  eUnknown = 8,
  // No instance was reached; nothing took effect.
  eUnreachable = 9,
  // Not finished yet.
  ePending = 10,
};

constexpr int ToInt(ExitCode aCode)
{
  return static_cast<int>(aCode);
}

ExitCode ExitCodeOf(base::ErrorCode aCode);

// The table of exit codes for --help.
std::string_view ExitCodeHelp();

} // namespace flamingoloom::cli
