// Reads the fields of one JSON object and checks them.
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

// The first fault is kept, with the name of its field; later reads then
// return default values. Finish() reports it.
//
//   ObjectReader reader(text, "read request body", "caller");
//   std::string kind = reader.Name("kind");
//   return reader.Finish(Request{ kind });
class ObjectReader
{
public:
  // aStep and aPeer are those of the error.
  ObjectReader(std::string_view aText, std::string aStep, std::string aPeer);
  // aObject is a part of a larger document; aPath names it in errors.
  ObjectReader(const nlohmann::json& aObject,
               std::string aStep,
               std::string aPeer,
               std::string aPath);

  // Required fields.
  std::string Text(const std::string& aField);
  // 1 to 64 characters, letters, digits, '.', '_' and '-'.
  std::string Name(const std::string& aField);
  std::uint64_t Unsigned(const std::string& aField);
  bool Bool(const std::string& aField);
  nlohmann::json Object(const std::string& aField);
  nlohmann::json Array(const std::string& aField);

  // Optional fields.
  bool Has(const std::string& aField) const;
  bool IsNull(const std::string& aField) const;

  // Records a fault that the caller has found.
  void Reject(const std::string& aField, std::string_view aProblem);

  bool Failed() const { return mFailed; }

  // aValue, or the first fault. A field that was not read is a fault.
  template <class T>
  base::Expected<T> Finish(T aValue)
  {
    RejectUnknown();
    return FinishOpen(std::move(aValue));
  }

  // As Finish, but accepts fields that were not read.
  template <class T>
  base::Expected<T> FinishOpen(T aValue) const
  {
    if (mFailed) {
      return tl::unexpected<base::Error>(mError);
    }
    return aValue;
  }

private:
  // Null when the field is missing, which is then recorded.
  const nlohmann::json* Required(const std::string& aField);
  void RejectUnknown();

  nlohmann::json mObject;
  std::string mPath;
  std::set<std::string> mRead;
  base::Error mError;
  bool mFailed = false;
};

// Parses a document. Fails for text that is no JSON and for arrays and objects
// nested more than 32 deep, because writing such a document recurses.
base::Expected<nlohmann::json> ParseJson(std::string_view aText,
                                         const std::string& aStep,
                                         const std::string& aPeer);

// Whether aText has the form that ObjectReader::Name requires.
bool IsName(std::string_view aText);

// Whether aText has the form of an idempotency key: 1 to 128 characters,
// letters, digits, '.', '_', '-', '~' and ':'.
bool IsIdempotencyKey(std::string_view aText);

} // namespace flamingoloom::frontend::internal
