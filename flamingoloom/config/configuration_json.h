// Conversion of the configuration to and from JSON, the form in which operators
// send it and the table service stores it.
//
// Every key is required and unknown keys are rejected, so that all versions of
// the software that accept a document interpret it in the same way. A
// configuration's version is at most 2^63 - 1, the largest integer of the
// schema validator. All functions are thread-safe.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "flamingoloom/config/checked.h"
#include "flamingoloom/config/configuration.h"

namespace flamingoloom::config {

nlohmann::json ToJson(const Configuration& aConfiguration);

// The document as text: compact for the store, indented for files.
std::string ToText(const Configuration& aConfiguration);
std::string ToIndentedText(const Configuration& aConfiguration);

// These functions decode aDocument or aText, or return all its problems.
// Besides the schema they check the rules of CheckConfiguration: ids are
// unique, references point to existing entries, and the properties of a kind do
// not contradict each other. aName names the source of the document in error
// messages.
Checked<Configuration> ConfigurationFromJson(const nlohmann::json& aDocument,
                                             const std::string& aName);
Checked<Configuration> ConfigurationFromText(std::string_view aText,
                                             const std::string& aName);

} // namespace flamingoloom::config
