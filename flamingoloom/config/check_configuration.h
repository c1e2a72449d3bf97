// Checks the rules between the parts of a configuration that a JSON schema
// cannot express.
#pragma once

#include "flamingoloom/config/checked.h"
#include "flamingoloom/config/configuration.h"
#include "flamingoloom/config/json_document.h"

namespace flamingoloom::config {

// Returns a problem for every id that occurs twice, every reference to an entry
// that does not exist and every kind whose properties contradict each other;
// empty if the configuration is valid. The field of a problem is a JSON pointer
// into the JSON form of the configuration. Thread-safe.
Problems CheckConfiguration(const Configuration& aConfiguration,
                            const DocumentSource& aSource);

} // namespace flamingoloom::config
