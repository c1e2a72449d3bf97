#include "flamingoloom/cli/exit_code.h"

namespace flamingoloom::cli {

using base::ErrorCode;

ExitCode ExitCodeOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::eInvalid:
      return ExitCode::eInvalid;
    case ErrorCode::eDenied:
      return ExitCode::eDenied;
    case ErrorCode::eNotFound:
      return ExitCode::eNotFound;
    case ErrorCode::eConflict:
    case ErrorCode::eStaleEpoch:
    case ErrorCode::eDuplicate:
      return ExitCode::eConflict;
    case ErrorCode::eBusy:
    case ErrorCode::eShuttingDown:
      return ExitCode::eRefused;
    case ErrorCode::eUnavailable:
      return ExitCode::eUnreachable;
    case ErrorCode::eFailed:
      return ExitCode::eFailed;
    case ErrorCode::eOutcomeUnknown:
    case ErrorCode::eBadAnswer:
    case ErrorCode::eTimeout:
      break;
  }
  return ExitCode::eUnknown;
}

std::string_view ExitCodeHelp()
{
  return "Exit codes:\n"
         "  0  done\n"
         "  1  the job ran and failed, or was cancelled\n"
         "  2  the command line is wrong\n"
         "  3  a file, an answer or a request is not valid\n"
         "  4  not allowed: the key is missing or wrong\n"
         "  5  not found\n"
         "  6  conflict with another change, or with the idempotency key\n"
         "  7  refused: the request did not run\n"
         "  8  outcome unknown: the request may have taken effect\n"
         "  9  no instance was reached; nothing took effect\n"
         " 10  not finished yet";
}

} // namespace flamingoloom::cli
