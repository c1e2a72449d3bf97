// Checks the rules for settings that a JSON schema cannot express.
#pragma once

#include "flamingoloom/config/checked.h"
#include "flamingoloom/config/json_document.h"
#include "flamingoloom/config/settings.h"

namespace flamingoloom::config::internal {

// Returns a problem for every rule that aSettings violates; empty if there is
// none. If aSettings names an environment variable for the operators' key
// digest, the function also stores the value of that variable in
// mOperatorKeySha256. Thread-safe.
Problems CheckSettings(Settings& aSettings,
                       const DocumentSource& aSource,
                       const Environment& aEnvironment);

} // namespace flamingoloom::config::internal
