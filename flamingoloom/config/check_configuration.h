// Rules between the parts of a configuration that a JSON schema cannot
// express.
#pragma once

#include "flamingoloom/config/checked.h"
#include "flamingoloom/config/configuration.h"
#include "flamingoloom/config/json_document.h"

namespace flamingoloom::config {

// Every id that occurs twice, every reference to an entry that does not exist
// and every kind whose properties contradict each other; empty when there is
// none. The fields are those of the JSON document. Thread-safe.
Problems CheckConfiguration(const Configuration& aConfiguration,
                            const DocumentSource& aSource);

} // namespace flamingoloom::config
