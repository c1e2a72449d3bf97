#include "flamingoloom/base/error.h"

#include <array>
#include <utility>

#include <fmt/format.h>

namespace flamingoloom::base {
namespace {

using CodeName = std::pair<ErrorCode, std::string_view>;

constexpr std::array kCodeNames = {
  CodeName{ ErrorCode::eInvalid, "invalid" },
  CodeName{ ErrorCode::eDenied, "denied" },
  CodeName{ ErrorCode::eNotFound, "not_found" },
  CodeName{ ErrorCode::eConflict, "conflict" },
  CodeName{ ErrorCode::eUnavailable, "unavailable" },
  CodeName{ ErrorCode::eOutcomeUnknown, "outcome_unknown" },
  CodeName{ ErrorCode::eStaleEpoch, "stale_epoch" },
  CodeName{ ErrorCode::eBusy, "busy" },
  CodeName{ ErrorCode::eShuttingDown, "leaving" },
  CodeName{ ErrorCode::eDuplicate, "duplicate" },
  CodeName{ ErrorCode::eFailed, "failed" },
  CodeName{ ErrorCode::eBadAnswer, "bad_answer" },
  CodeName{ ErrorCode::eTimeout, "timeout" },
};

} // namespace

std::string_view ErrorCodeName(ErrorCode aCode)
{
  for (const auto& [code, name] : kCodeNames) {
    if (code == aCode) {
      return name;
    }
  }
  return "invalid";
}

ErrorCode ErrorCodeFromName(std::string_view aName)
{
  for (const auto& [code, name] : kCodeNames) {
    if (name == aName) {
      return code;
    }
  }
  return ErrorCode::eInvalid;
}

std::string Error::ToString() const
{
  std::string field = mField.empty() ? "" : fmt::format(" [{}]", mField);
  return fmt::format(
    "{} at {}{}: {} ({})", mStep, mPeer, field, mMessage, ErrorCodeName(mCode));
}

} // namespace flamingoloom::base
