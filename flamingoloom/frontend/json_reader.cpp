#include "flamingoloom/frontend/json_reader.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace flamingoloom::frontend::internal {
namespace {

using base::ErrorCode;
using nlohmann::json;

constexpr int kMaxNestingDepth = 32;
// Values, arrays and objects of a document, with their keys. Far above what the
// largest configuration has; each takes some 60 bytes, the smallest ones 20
// times their text.
constexpr int kMaxValues = 100'000;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxKeyLength = 128;

bool IsAlphanumeric(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9');
}

bool ConsistsOf(std::string_view aText,
                std::string_view aPunctuation,
                std::size_t aMaxLength)
{
  return !aText.empty() && aText.size() <= aMaxLength &&
         std::all_of(aText.begin(), aText.end(), [&](char aChar) {
           return IsAlphanumeric(aChar) ||
                  aPunctuation.find(aChar) != std::string_view::npos;
         });
}

} // namespace

bool IsName(std::string_view aText)
{
  return ConsistsOf(aText, "._-", kMaxNameLength);
}

bool IsIdempotencyKey(std::string_view aText)
{
  return ConsistsOf(aText, "._-~:", kMaxKeyLength);
}

base::Expected<json> ParseJson(std::string_view aText,
                               const std::string& aStep,
                               const std::string& aPeer)
{
  bool tooDeep = false;
  int values = 0;
  json document = json::parse(
    aText,
    [&](int aDepth, json::parse_event_t aEvent, json&) {
      const bool ends = aEvent == json::parse_event_t::array_end ||
                        aEvent == json::parse_event_t::object_end;
      values += ends ? 0 : 1;
      tooDeep = tooDeep || aDepth > kMaxNestingDepth;
      return !tooDeep && values <= kMaxValues;
    },
    false);
  if (tooDeep) {
    return base::MakeError(
      ErrorCode::eInvalid, aStep, aPeer, "the document is nested too deeply");
  }
  if (values > kMaxValues) {
    return base::MakeError(
      ErrorCode::eInvalid, aStep, aPeer, "the document has too many values");
  }
  if (document.is_discarded()) {
    return base::MakeError(
      ErrorCode::eInvalid, aStep, aPeer, "the text is not valid JSON");
  }
  return document;
}

ObjectReader::ObjectReader(std::string_view aText,
                           std::string aStep,
                           std::string aPeer)
{
  base::Expected<json> document = ParseJson(aText, aStep, aPeer);
  mError.mStep = std::move(aStep);
  mError.mPeer = std::move(aPeer);
  if (!document) {
    mError = document.error();
    mError.mField = "body";
    mFailed = true;
  } else if (!document->is_object()) {
    Reject("body", "must be a JSON object");
  } else {
    mObject = std::move(*document);
  }
}

ObjectReader::ObjectReader(const json& aObject,
                           std::string aStep,
                           std::string aPeer,
                           std::string aPath)
  : mObject(aObject)
  , mPath(std::move(aPath))
{
  mError.mStep = std::move(aStep);
  mError.mPeer = std::move(aPeer);
  if (!mObject.is_object()) {
    Reject("", "must be an object");
  }
}

std::string ObjectReader::Text(const std::string& aField)
{
  const json* value = RequireField(aField);
  if (value == nullptr) {
    return {};
  }
  if (!value->is_string()) {
    Reject(aField, "must be a string");
    return {};
  }
  return value->get<std::string>();
}

std::string ObjectReader::Name(const std::string& aField)
{
  std::string text = Text(aField);
  if (!mFailed && !IsName(text)) {
    Reject(aField, "must be 1 to 64 letters, digits, '.', '_' or '-'");
  }
  return text;
}

std::uint64_t ObjectReader::Unsigned(const std::string& aField)
{
  const json* value = RequireField(aField);
  if (value == nullptr) {
    return 0;
  }
  if (!value->is_number_unsigned()) {
    Reject(aField, "must be a non-negative integer");
    return 0;
  }
  return value->get<std::uint64_t>();
}

bool ObjectReader::Bool(const std::string& aField)
{
  const json* value = RequireField(aField);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    Reject(aField, "must be true or false");
    return false;
  }
  return value->get<bool>();
}

json ObjectReader::Object(const std::string& aField)
{
  const json* value = RequireField(aField);
  if (value != nullptr && !value->is_object()) {
    Reject(aField, "must be an object");
  }
  return mFailed ? json::object() : *value;
}

json ObjectReader::Array(const std::string& aField)
{
  const json* value = RequireField(aField);
  if (value != nullptr && !value->is_array()) {
    Reject(aField, "must be an array");
  }
  return mFailed ? json::array() : *value;
}

bool ObjectReader::Has(const std::string& aField) const
{
  return mObject.is_object() && mObject.contains(aField);
}

bool ObjectReader::IsNull(const std::string& aField) const
{
  return Has(aField) && mObject[aField].is_null();
}

void ObjectReader::Reject(const std::string& aField, std::string_view aProblem)
{
  if (mFailed) {
    return;
  }
  mFailed = true;
  mError.mCode = ErrorCode::eInvalid;
  mError.mField = mPath;
  if (!aField.empty()) {
    mError.mField += (mPath.empty() ? "" : ".") + aField;
  }
  mError.mMessage = fmt::format("{} {}", mError.mField, aProblem);
}

const json* ObjectReader::RequireField(const std::string& aField)
{
  mReadFields.insert(aField);
  if (mFailed) {
    return nullptr;
  }
  auto found = mObject.find(aField);
  if (found == mObject.end()) {
    Reject(aField, "is missing");
    return nullptr;
  }
  return &*found;
}

void ObjectReader::RejectUnknownFields()
{
  if (mFailed) {
    return;
  }
  for (const auto& [field, value] : mObject.items()) {
    if (!mReadFields.contains(field)) {
      // The name is unchecked input; it is truncated to limit the size of the
      // response.
      Reject(field.substr(0, kMaxNameLength), "is unknown");
      return;
    }
  }
}

} // namespace flamingoloom::frontend::internal
