#include "flamingoloom/config/json_document.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace flamingoloom::config {
namespace {

using nlohmann::json;
using Path = std::vector<std::string>;

base::Error Problem(const DocumentSource& aSource,
                    std::string aField,
                    std::string aMessage)
{
  return base::Error{ base::ErrorCode::eInvalid,
                      aSource.mStep,
                      aSource.mName,
                      std::move(aMessage),
                      std::move(aField) };
}

// The parser quotes the text at fault, which need not be UTF-8; messages go
// into JSON answers and must be.
std::string Printable(std::string aText)
{
  std::replace_if(
    aText.begin(), aText.end(), [](char aByte) { return aByte < 0; }, '?');
  return aText;
}

// Collects keys that occur twice in one object; the parser itself keeps the
// last one silently.
class DuplicateKeys
{
public:
  bool operator()(int, json::parse_event_t aEvent, json& aParsed)
  {
    if (aEvent == json::parse_event_t::object_start) {
      mOpen.emplace_back();
    } else if (aEvent == json::parse_event_t::object_end) {
      mOpen.pop_back();
    } else if (aEvent == json::parse_event_t::key &&
               !mOpen.back().insert(aParsed.get<std::string>()).second) {
      mFound.insert(aParsed.get<std::string>());
    }
    return true;
  }

  const std::set<std::string>& Found() const { return mFound; }

private:
  std::vector<std::set<std::string>> mOpen;
  std::set<std::string> mFound;
};

std::string Pointer(const Path& aPath)
{
  json::json_pointer pointer;
  for (const auto& part : aPath) {
    pointer /= part;
  }
  return pointer.to_string();
}

// valijson's context is "<root>", "[key]", "[0]" and so on.
Path PathOf(const valijson::ValidationResults::Error& aError)
{
  Path path;
  for (std::size_t i = 1; i < aError.context.size(); ++i) {
    const auto& part = aError.context[i];
    path.push_back(part.substr(1, part.size() - 2));
  }
  return path;
}

const json& Resolve(const json& aSchema, const json& aNode)
{
  if (!aNode.contains("$ref")) {
    return aNode;
  }
  auto target = aNode.at("$ref").get<std::string>().substr(1);
  return aSchema.at(json::json_pointer(target));
}

// The part of the schema that describes the value at aPath; null for a key
// that the schema does not know.
const json* Describe(const json& aSchema, const Path& aPath)
{
  const json* node = &aSchema;
  for (const auto& part : aPath) {
    const json& resolved = Resolve(aSchema, *node);
    if (resolved.contains("items")) {
      node = &resolved.at("items");
    } else if (resolved.contains("properties") &&
               resolved.at("properties").contains(part)) {
      node = &resolved.at("properties").at(part);
    } else {
      return nullptr;
    }
  }
  return &Resolve(aSchema, *node);
}

std::string Required(const json* aNode)
{
  return aNode != nullptr && aNode->contains("description")
           ? "must be " + aNode->at("description").get<std::string>()
           : "";
}

std::string UnknownKey(const json* aParent)
{
  std::vector<std::string> keys;
  if (aParent != nullptr && aParent->contains("properties")) {
    for (const auto& item : aParent->at("properties").items()) {
      keys.push_back(item.key());
    }
  }
  return fmt::format("unknown key; known here: {}", fmt::join(keys, ", "));
}

constexpr std::string_view kMissing = "Missing required property '";

// Errors that only say that a part of the value is at fault; the part has
// its own error.
bool IsConsequence(const std::string& aDescription)
{
  constexpr std::string_view kPrefix = "Failed to validate ";
  return aDescription.starts_with(kPrefix);
}

// The problem's path is that of the missing key, not of the object.
base::Error MissingKey(const json& aSchema,
                       const valijson::ValidationResults::Error& aError,
                       const DocumentSource& aSource)
{
  Path path = PathOf(aError);
  auto name = aError.description.substr(kMissing.size());
  path.push_back(name.substr(0, name.rfind('\'')));
  auto required = Required(Describe(aSchema, path));
  return Problem(aSource,
                 Pointer(path),
                 required.empty() ? "is missing"
                                  : "is missing; it " + required);
}

base::Error Translate(const json& aSchema,
                      const valijson::ValidationResults::Error& aError,
                      const DocumentSource& aSource)
{
  if (aError.description.starts_with(kMissing)) {
    return MissingKey(aSchema, aError, aSource);
  }
  Path path = PathOf(aError);
  const json* node = Describe(aSchema, path);
  if (node == nullptr) {
    Path parent(path.begin(), path.end() - 1);
    return Problem(
      aSource, Pointer(path), UnknownKey(Describe(aSchema, parent)));
  }
  auto required = Required(node);
  return Problem(
    aSource, Pointer(path), required.empty() ? aError.description : required);
}

valijson::ValidationResults Validate(const json& aSchema, const json& aDocument)
{
  valijson::Schema schema;
  valijson::SchemaParser parser;
  parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(aSchema),
                        schema);
  valijson::Validator validator;
  valijson::ValidationResults results;
  validator.validate(
    schema, valijson::adapters::NlohmannJsonAdapter(aDocument), &results);
  return results;
}

} // namespace

Checked<json> ParseDocument(std::string_view aText,
                            const DocumentSource& aSource)
{
  DuplicateKeys duplicates;
  try {
    auto document = json::parse(aText, std::ref(duplicates));
    Problems problems;
    for (const auto& key : duplicates.Found()) {
      problems.push_back(
        Problem(aSource, "", fmt::format("key \"{}\" occurs twice", key)));
    }
    if (!problems.empty()) {
      return tl::unexpected(problems);
    }
    return document;
  } catch (const json::exception& error) {
    return tl::unexpected(Problems{ Problem(
      aSource, "", fmt::format("not JSON: {}", Printable(error.what()))) });
  }
}

Problems CheckSchema(std::string_view aSchema,
                     const json& aDocument,
                     const DocumentSource& aSource)
{
  const json schema = json::parse(aSchema);
  Problems problems;
  std::set<std::string> seen;
  for (const auto& error : Validate(schema, aDocument)) {
    if (IsConsequence(error.description)) {
      continue;
    }
    auto problem = Translate(schema, error, aSource);
    // A value of the wrong type violates several rules; one line is enough.
    if (seen.insert(problem.mField).second) {
      problems.push_back(std::move(problem));
    }
  }
  return problems;
}

Checked<json> ReadDocument(std::string_view aText,
                           std::string_view aSchema,
                           const DocumentSource& aSource)
{
  auto document = ParseDocument(aText, aSource);
  if (!document) {
    return document;
  }
  auto problems = CheckSchema(aSchema, *document, aSource);
  if (!problems.empty()) {
    return tl::unexpected(problems);
  }
  return document;
}

} // namespace flamingoloom::config
