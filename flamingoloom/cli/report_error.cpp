#include "flamingoloom/cli/report_error.h"

#include <fmt/format.h>

namespace flamingoloom::cli {
namespace {

using base::ErrorCode;

std::string_view NextStep(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::eInvalid:
      return "correct the value that is named above and try again";
    case ErrorCode::eDenied:
      return "set FLAMINGOLOOM_KEY or give --key-file with a key that may do "
             "this";
    case ErrorCode::eNotFound:
      return "check the name; the listing commands show what exists";
    case ErrorCode::eConflict:
    case ErrorCode::eStaleEpoch:
    case ErrorCode::eDuplicate:
      return "check the current state, then retry with its version or with a "
             "new "
             "idempotency key";
    case ErrorCode::eUnavailable:
      return "nothing took effect; check the address and the network, or give "
             "a further --server";
    case ErrorCode::eBusy:
    case ErrorCode::eShuttingDown:
      return "the request did not run; try again later or at another --server";
    case ErrorCode::eFailed:
      return "the job ran and failed; check the reason before you submit it "
             "again";
    case ErrorCode::eOutcomeUnknown:
    case ErrorCode::eTimeout:
    case ErrorCode::eBadAnswer:
      break;
  }
  return "the request may have taken effect; check the current state before "
         "you "
         "repeat it, or retry with the same idempotency key";
}

} // namespace

ExitCode ReportError(std::ostream& aOut, const base::Error& aError)
{
  aOut << fmt::format(
    "error: {}\nnext: {}\n", aError.ToString(), NextStep(aError.mCode));
  return ExitCodeOf(aError.mCode);
}

ExitCode ReportProblems(std::ostream& aOut,
                        const std::string& aName,
                        const config::Problems& aProblems)
{
  aOut << fmt::format("error: {} has {} problem{}:\n{}next: correct {} and try "
                      "again\n",
                      aName,
                      aProblems.size(),
                      aProblems.size() == 1 ? "" : "s",
                      config::ToString(aProblems),
                      aProblems.size() == 1 ? "it" : "them");
  return ExitCode::eInvalid;
}

} // namespace flamingoloom::cli
