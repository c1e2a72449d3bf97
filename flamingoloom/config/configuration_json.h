// The configuration as a JSON document, in the form in which operators send
// it and the table service stores it.
//
// Every key is required and unknown keys are refused, so that a document means
// the same to every version that accepts it. Versions are at most 2^63 - 1, the
// largest integer of the schema validator. Thread-safe.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "flamingoloom/config/checked.h"
#include "flamingoloom/config/configuration.h"

namespace flamingoloom::config {

nlohmann::json ToJson(const Configuration& aConfiguration);

// ToJson as text: compact for the store, indented for files.
std::string ToText(const Configuration& aConfiguration);
std::string ToIndentedText(const Configuration& aConfiguration);

// The configuration in aDocument or aText. Besides the form it checks that
// ids are unique, that references lead to an entry and that a kind which may
// not run twice is not preemptible. aName says where the document came from.
Checked<Configuration> ConfigurationFromJson(const nlohmann::json& aDocument,
                                             const std::string& aName);
Checked<Configuration> ConfigurationFromText(std::string_view aText,
                                             const std::string& aName);

} // namespace flamingoloom::config
