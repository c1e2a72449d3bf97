// Exit codes of the program `flamingoloom`. Scripts depend on the numbers,
// which must not change.
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
  // A file, an answer of the questionnaire or a request is not valid.
  eInvalid = 3,
  eDenied = 4,
  eNotFound = 5,
  // Another change was made first, or the idempotency key was used with another
  // body.
  eConflict = 6,
  // The instance refused the request, which did not run.
  eRefused = 7,
  // The request may have taken effect.
  eUnknown = 8,
  // No instance was reached; nothing took effect.
  eUnreachable = 9,
  // The request or the change is not finished yet.
  ePending = 10,
};

constexpr int ToInt(ExitCode aCode)
{
  return static_cast<int>(aCode);
}

// Returns the exit code of a command that failed with aCode.
ExitCode ExitCodeOf(base::ErrorCode aCode);

// Returns the table of exit codes for --help.
std::string_view ExitCodeHelp();

} // namespace flamingoloom::cli
