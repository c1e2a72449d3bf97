// JSON documents that are checked against a JSON schema.
//
// Settings, configurations and answers are read through these functions, so
// that every problem of a document is reported at once, with its path and
// with what the schema's "description" says the value must be.
// Thread-safe: the functions keep no state.
#pragma once

#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "flamingoloom/config/checked.h"

namespace flamingoloom::config {

// Where a document came from, for error messages.
struct DocumentSource
{
  // What is being done, such as "read settings".
  std::string mStep;
  // A file name, "caller" or the like.
  std::string mName;
};

// The document in aText. A key that occurs twice in one object is a problem.
Checked<nlohmann::json> ParseDocument(std::string_view aText,
                                      const DocumentSource& aSource);

// What aDocument violates in aSchema; empty when it conforms. Requires that
// aSchema is a valid schema and that objects in it which accept no further
// keys say "additionalProperties": {"not": {}}.
Problems CheckSchema(std::string_view aSchema,
                     const nlohmann::json& aDocument,
                     const DocumentSource& aSource);

// ParseDocument and CheckSchema in one step.
Checked<nlohmann::json> ReadDocument(std::string_view aText,
                                     std::string_view aSchema,
                                     const DocumentSource& aSource);

} // namespace flamingoloom::config
