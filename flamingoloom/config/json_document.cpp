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

base::Error MakeProblem(const DocumentSource& aSource,
                        std::string aField,
                        std::string aMessage)
{
  return base::Error{ base::ErrorCode::eInvalid,
                      aSource.mStep,
                      aSource.mName,
                      std::move(aMessage),
                      std::move(aField) };
}

// Replaces the bytes that are not ASCII by '?'. The parser's error messages
// quote the invalid text, which need not be UTF-8, but JSON responses that
// contain the messages must be.
std::string ReplaceNonAscii(std::string aText)
{
  std::replace_if(
    aText.begin(), aText.end(), [](char aByte) { return aByte < 0; }, '?');
  return aText;
}

// Collects the keys that occur twice in one object. Without this callback the
// parser would keep the last value and report no error.
class DuplicateKeyCollector
{
public:
  bool operator()(int, json::parse_event_t aEvent, json& aParsed)
  {
    if (aEvent == json::parse_event_t::object_start) {
      mOpenObjects.emplace_back();
    } else if (aEvent == json::parse_event_t::object_end) {
      mOpenObjects.pop_back();
    } else if (aEvent == json::parse_event_t::key &&
               !mOpenObjects.back().insert(aParsed.get<std::string>()).second) {
      mFound.insert(aParsed.get<std::string>());
    }
    return true;
  }

  const std::set<std::string>& Found() const { return mFound; }

private:
  std::vector<std::set<std::string>> mOpenObjects;
  std::set<std::string> mFound;
};

std::string ToPointer(const Path& aPath)
{
  json::json_pointer pointer;
  for (const auto& part : aPath) {
    pointer /= part;
  }
  return pointer.to_string();
}

// Converts valijson's context, such as "<root>", "[key]", "[0]", to a path.
Path PathOf(const valijson::ValidationResults::Error& aError)
{
  Path path;
  for (std::size_t i = 1; i < aError.context.size(); ++i) {
    const auto& part = aError.context[i];
    path.push_back(part.substr(1, part.size() - 2));
  }
  return path;
}

const json& ResolveReference(const json& aSchema, const json& aNode)
{
  if (!aNode.contains("$ref")) {
    return aNode;
  }
  auto target = aNode.at("$ref").get<std::string>().substr(1);
  return aSchema.at(json::json_pointer(target));
}

// Returns the part of the schema for the value at aPath; null for a key that is
// not in the schema.
const json* FindSchema(const json& aSchema, const Path& aPath)
{
  const json* node = &aSchema;
  for (const auto& part : aPath) {
    const json& resolved = ResolveReference(aSchema, *node);
    if (resolved.contains("items")) {
      node = &resolved.at("items");
    } else if (resolved.contains("properties") &&
               resolved.at("properties").contains(part)) {
      node = &resolved.at("properties").at(part);
    } else {
      return nullptr;
    }
  }
  return &ResolveReference(aSchema, *node);
}

std::string Requirement(const json* aNode)
{
  return aNode != nullptr && aNode->contains("description")
           ? "must be " + aNode->at("description").get<std::string>()
           : "";
}

std::string UnknownKeyMessage(const json* aParent)
{
  std::vector<std::string> keys;
  if (aParent != nullptr && aParent->contains("properties")) {
    for (const auto& item : aParent->at("properties").items()) {
      keys.push_back(item.key());
    }
  }
  return fmt::format("unknown key; the known keys are: {}",
                     fmt::join(keys, ", "));
}

constexpr std::string_view kMissingPrefix = "Missing required property '";

// Whether the error says only that a part of a value is invalid. valijson
// reports a separate error for that part.
bool IsSecondaryError(const std::string& aDescription)
{
  constexpr std::string_view kPrefix = "Failed to validate ";
  return aDescription.starts_with(kPrefix);
}

// The path of the problem is that of the missing key, not of the object that
// lacks it.
base::Error MissingKeyProblem(const json& aSchema,
                              const valijson::ValidationResults::Error& aError,
                              const DocumentSource& aSource)
{
  Path path = PathOf(aError);
  auto name = aError.description.substr(kMissingPrefix.size());
  path.push_back(name.substr(0, name.rfind('\'')));
  auto requirement = Requirement(FindSchema(aSchema, path));
  return MakeProblem(aSource,
                     ToPointer(path),
                     requirement.empty() ? "is missing"
                                         : "is missing; it " + requirement);
}

base::Error ToProblem(const json& aSchema,
                      const valijson::ValidationResults::Error& aError,
                      const DocumentSource& aSource)
{
  if (aError.description.starts_with(kMissingPrefix)) {
    return MissingKeyProblem(aSchema, aError, aSource);
  }
  Path path = PathOf(aError);
  const json* node = FindSchema(aSchema, path);
  if (node == nullptr) {
    Path parent(path.begin(), path.end() - 1);
    return MakeProblem(
      aSource, ToPointer(path), UnknownKeyMessage(FindSchema(aSchema, parent)));
  }
  auto requirement = Requirement(node);
  return MakeProblem(aSource,
                     ToPointer(path),
                     requirement.empty() ? aError.description : requirement);
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
  DuplicateKeyCollector duplicates;
  try {
    auto document = json::parse(aText, std::ref(duplicates));
    Problems problems;
    for (const auto& key : duplicates.Found()) {
      problems.push_back(
        MakeProblem(aSource, "", fmt::format("key \"{}\" occurs twice", key)));
    }
    if (!problems.empty()) {
      return tl::unexpected(problems);
    }
    return document;
  } catch (const json::exception& error) {
    return tl::unexpected(Problems{ MakeProblem(
      aSource,
      "",
      fmt::format("is not valid JSON: {}", ReplaceNonAscii(error.what()))) });
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
    if (IsSecondaryError(error.description)) {
      continue;
    }
    auto problem = ToProblem(schema, error, aSource);
    // A value of the wrong type can violate several rules of the schema; only
    // the first is reported.
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
