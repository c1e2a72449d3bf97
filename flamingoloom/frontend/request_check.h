// Checks that all parts of the HTTP interface share.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/frontend/api_message.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::frontend::internal {

// The error for an input that does not have the required form.
tl::unexpected<base::Error> BadField(std::string_view aPeer,
                                     std::string_view aField,
                                     std::string_view aProblem);

// No query parameters other than aAllowed.
base::Expected<platform::Nothing> CheckQuery(
  const ApiRequest& aRequest,
  std::string_view aPeer,
  const std::vector<std::string>& aAllowed);

// No query, and a body that is declared as JSON or not declared at all.
base::Expected<platform::Nothing> CheckJsonRequest(const ApiRequest& aRequest,
                                                   std::string_view aPeer);

} // namespace flamingoloom::frontend::internal
