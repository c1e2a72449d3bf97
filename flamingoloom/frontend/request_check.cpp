#include "flamingoloom/frontend/request_check.h"

#include <algorithm>

#include <fmt/format.h>

namespace flamingoloom::frontend::internal {
namespace {

constexpr std::string_view kJson = "application/json";
constexpr std::size_t kMaxFieldLength = 64;

} // namespace

tl::unexpected<base::Error> InvalidField(std::string_view aPeer,
                                         std::string_view aField,
                                         std::string_view aProblem)
{
  std::string field(aField.substr(0, kMaxFieldLength));
  return base::MakeError(base::ErrorCode::eInvalid,
                         "read request",
                         std::string(aPeer),
                         fmt::format("{} {}", field, aProblem),
                         field);
}

base::Expected<platform::Nothing> CheckQuery(
  const ApiRequest& aRequest,
  std::string_view aPeer,
  const std::vector<std::string>& aAllowed)
{
  for (const auto& [name, value] : aRequest.mQuery) {
    if (std::find(aAllowed.begin(), aAllowed.end(), name) == aAllowed.end()) {
      return InvalidField(aPeer, name, "is not a parameter of this path");
    }
  }
  return platform::Nothing{};
}

base::Expected<platform::Nothing> CheckJsonRequest(const ApiRequest& aRequest,
                                                   std::string_view aPeer)
{
  std::string_view type = aRequest.mContentType;
  std::string_view rest =
    type.starts_with(kJson) ? type.substr(kJson.size()) : "?";
  if (!type.empty() && !rest.empty() && rest.front() != ';') {
    return InvalidField(aPeer, "Content-Type", "must be application/json");
  }
  return CheckQuery(aRequest, aPeer, {});
}

} // namespace flamingoloom::frontend::internal
