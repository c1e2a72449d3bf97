// Parses JSON documents and checks them against a JSON schema.
//
// Settings, configurations and answers are read with these functions. They
// report all problems of a document, each with its path and with the required
// value from the "description" in the schema. All functions are thread-safe.
#pragma once

#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "flamingoloom/config/checked.h"

namespace flamingoloom::config {

// The source of a document, for error messages.
struct DocumentSource
{
  // The current operation, such as "read settings".
  std::string mStep;
  // The name of the document, such as a file name or "caller".
  std::string mName;
};

// Parses aText. A key that occurs twice in one object is reported as a problem.
Checked<nlohmann::json> ParseDocument(std::string_view aText,
                                      const DocumentSource& aSource);

// Returns a problem for each value of aDocument that does not conform to
// aSchema; empty if the document conforms. Requires that aSchema is a valid
// schema and that its objects that accept no other keys have
// "additionalProperties": {"not": {}}.
Problems CheckSchema(std::string_view aSchema,
                     const nlohmann::json& aDocument,
                     const DocumentSource& aSource);

// Combines ParseDocument and CheckSchema.
Checked<nlohmann::json> ReadDocument(std::string_view aText,
                                     std::string_view aSchema,
                                     const DocumentSource& aSource);

} // namespace flamingoloom::config
