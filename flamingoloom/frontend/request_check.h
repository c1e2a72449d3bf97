// Checks of requests that the parts of the HTTP API share.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/frontend/api_message.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::frontend::internal {

// Returns eInvalid for a field with an invalid value. The message is the name
// of the field followed by aProblem.
tl::unexpected<base::Error> InvalidField(std::string_view aPeer,
                                         std::string_view aField,
                                         std::string_view aProblem);

// Checks that there are no query parameters except for aAllowed.
base::Expected<platform::Nothing> CheckQuery(
  const ApiRequest& aRequest,
  std::string_view aPeer,
  const std::vector<std::string>& aAllowed);

// Checks that there is no query and that the content type, if any, is JSON.
base::Expected<platform::Nothing> CheckJsonRequest(const ApiRequest& aRequest,
                                                   std::string_view aPeer);

} // namespace flamingoloom::frontend::internal
