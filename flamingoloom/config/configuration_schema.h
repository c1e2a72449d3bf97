// The JSON schema of a configuration document.
#pragma once

#include <string_view>

namespace flamingoloom::config::internal {

std::string_view ConfigurationSchema();

} // namespace flamingoloom::config::internal
