// Rules for settings that a JSON schema cannot express.
#pragma once

#include "flamingoloom/config/checked.h"
#include "flamingoloom/config/json_document.h"
#include "flamingoloom/config/settings.h"

namespace flamingoloom::config::internal {

// Every rule that aSettings violates; empty when there is none. Replaces the
// name of an environment variable by its value first. Thread-safe.
Problems CheckSettings(Settings& aSettings,
                       const DocumentSource& aSource,
                       const Environment& aEnvironment);

} // namespace flamingoloom::config::internal
