#include "flamingoloom/frontend/access.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace flamingoloom::frontend::internal {
namespace {

using base::ErrorCode;

constexpr std::string_view kScheme = "Bearer ";
constexpr std::size_t kMaxKeyLength = 512;

bool IsPrintable(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aChar) {
    return aChar > ' ' && aChar <= '~';
  });
}

// Returns an empty key when there is no header, and no value when the header is
// malformed.
std::optional<std::string> BearerKey(std::string_view aHeader)
{
  if (aHeader.empty()) {
    return "";
  }
  if (!aHeader.starts_with(kScheme)) {
    return std::nullopt;
  }
  std::string_view key = aHeader.substr(kScheme.size());
  if (key.empty() || key.size() > kMaxKeyLength || !IsPrintable(key)) {
    return std::nullopt;
  }
  return std::string(key);
}

} // namespace

base::Expected<platform::Nothing> CheckAccess(const FrontendHandler& aHandler,
                                              const ApiRequest& aRequest,
                                              Role aRole,
                                              const base::AccountId& aAccount)
{
  std::optional<std::string> key = BearerKey(aRequest.mAuthorization);
  if (!key) {
    return base::MakeError(ErrorCode::eDenied,
                           "check access",
                           aRole == Role::eCaller ? "caller" : "operator",
                           "the header must be of the form Bearer <key>",
                           "Authorization");
  }
  return aHandler.mAuthorize(aRole, aAccount, *key);
}

} // namespace flamingoloom::frontend::internal
