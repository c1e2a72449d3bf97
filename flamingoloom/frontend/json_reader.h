// Reads and validates the fields of one JSON object.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "flamingoloom/base/error.h"

namespace flamingoloom::frontend::internal {

// Records the first error with the name of its field. Later reads return
// default values, and Finish() returns the error.
//
//   ObjectReader reader(text, "read request body", "caller");
//   std::string kind = reader.Name("kind");
//   return reader.Finish(Request{ kind });
class ObjectReader
{
public:
  // aStep and aPeer are used in the error.
  ObjectReader(std::string_view aText, std::string aStep, std::string aPeer);
  // aObject is a part of a larger document; aPath names it in errors.
  ObjectReader(const nlohmann::json& aObject,
               std::string aStep,
               std::string aPeer,
               std::string aPath);

  // Required fields. Each function records an error when the field is missing
  // or has another type.
  std::string Text(const std::string& aField);
  // A name of 1 to 64 letters, digits, '.', '_' and '-'.
  std::string Name(const std::string& aField);
  std::uint64_t Unsigned(const std::string& aField);
  bool Bool(const std::string& aField);
  nlohmann::json Object(const std::string& aField);
  nlohmann::json Array(const std::string& aField);

  // Optional fields.
  bool Has(const std::string& aField) const;
  bool IsNull(const std::string& aField) const;

  // Records an error that the caller has detected.
  void Reject(const std::string& aField, std::string_view aProblem);

  bool Failed() const { return mFailed; }

  // Returns aValue, or the first error. A field that was not read is an error.
  template <class T>
  base::Expected<T> Finish(T aValue)
  {
    RejectUnknownFields();
    return FinishAllowingUnknown(std::move(aValue));
  }

  // Like Finish(), but accepts fields that were not read.
  template <class T>
  base::Expected<T> FinishAllowingUnknown(T aValue) const
  {
    if (mFailed) {
      return tl::unexpected<base::Error>(mError);
    }
    return aValue;
  }

private:
  // Returns null when the object was rejected before or the field is missing,
  // and records an error in the latter case.
  const nlohmann::json* RequireField(const std::string& aField);
  void RejectUnknownFields();

  nlohmann::json mObject;
  std::string mPath;
  std::set<std::string> mReadFields;
  base::Error mError;
  bool mFailed = false;
};

// Parses a document. Returns eInvalid for text that is not valid JSON and for
// more than 32 levels of nesting, because serializing a document is recursive
// and deep nesting could overflow the stack.
base::Expected<nlohmann::json> ParseJson(std::string_view aText,
                                         const std::string& aStep,
                                         const std::string& aPeer);

// Returns whether aText is a name as defined by ObjectReader::Name.
bool IsName(std::string_view aText);

// Returns whether aText is a valid idempotency key: 1 to 128 letters, digits,
// '.', '_', '-', '~' and ':'.
bool IsIdempotencyKey(std::string_view aText);

} // namespace flamingoloom::frontend::internal
