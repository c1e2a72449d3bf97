#include <doctest/doctest.h>

#include <limits>

#include <nlohmann/json.hpp>

#include "flamingoloom/config/configuration_json.h"

namespace flamingoloom::config {
namespace {

using base::AccountId;
using base::DataCentreId;
using base::Duration;
using base::KindId;
using base::RegionId;
using nlohmann::json;

Configuration FullConfiguration()
{
  Configuration full;
  full.mVersion = std::numeric_limits<std::int64_t>::max();
  full.mDeployment = "Þerripappír Hugbúnaður";
  full.mDataCentres = { { DataCentreId("dc-1"), RegionId("r.1"), 2, 8, 4 },
                        { DataCentreId("dc-2"), RegionId("r.2"), 0, 0, 0 } };
  full.mAccounts = {
    { AccountId("a"), 3, 0, std::string(64, '0') },
    { AccountId("b"), 1, std::nullopt, "" },
  };
  full.mKinds = {
    { KindId("quote"),
      true,
      false,
      true,
      true,
      Priority::eUrgent,
      Duration(1),
      Duration(31'536'000'000'000),
      Duration(999'999),
      3,
      5,
      true,
      0.1 + 0.2 },
    { KindId("invoice"), false, true, false, false, Priority::eOvernight }
  };
  full.mGuarantees = { { AccountId("a"), 64, 2 }, { AccountId("b"), 1, 1 } };
  full.mAssignments = { { DataCentreId("dc-1"), { AccountId("a"), 64, 1 } } };
  return full;
}

std::string PathOfProblem(const json& aDocument)
{
  auto configuration = ConfigurationFromJson(aDocument, "test");
  if (configuration) {
    return "accepted";
  }
  return configuration.error().size() == 1
           ? configuration.error().front().mField
           : ToString(configuration.error());
}

json DocumentWith(const char* aPath, const json& aValue)
{
  auto document = ToJson(FullConfiguration());
  document[json::json_pointer(aPath)] = aValue;
  return document;
}

// Appends the paths of all keys in aValue. Of a list of objects, only the keys
// of the first object are appended.
void CollectKeys(const json& aValue,
                 const json::json_pointer& aPointer,
                 std::vector<json::json_pointer>& aPaths)
{
  if (aValue.is_object()) {
    for (const auto& [key, value] : aValue.items()) {
      aPaths.push_back(aPointer / key);
      CollectKeys(value, aPointer / key, aPaths);
    }
  } else if (aValue.is_array() && !aValue.empty()) {
    CollectKeys(aValue.front(), aPointer / 0, aPaths);
  }
}

} // namespace

// Guards against a field that is lost or rounded when the configuration is
// stored and read back. Instances would then use different configurations under
// the same version.
TEST_CASE("a configuration is unchanged by a round trip through JSON")
{
  CHECK(ConfigurationFromText(ToText(FullConfiguration()), "test") ==
        FullConfiguration());
  CHECK(ConfigurationFromText(ToIndentedText(FullConfiguration()), "test") ==
        FullConfiguration());
  Configuration empty;
  CHECK(ConfigurationFromText(ToText(empty), "test") == empty);
}

// Guards against a missing or misspelt key that silently gets a default.
TEST_CASE("each key is required")
{
  const auto full = ToJson(FullConfiguration());
  std::vector<json::json_pointer> paths;
  CollectKeys(full, json::json_pointer(), paths);
  CHECK(paths.size() == 7 + 5 + 4 + 13 + 3 + 4);
  for (const auto& path : paths) {
    auto document = full;
    document[path.parent_pointer()].erase(path.back());
    CHECK(PathOfProblem(document) == path.to_string());
  }
}

// Guards against a value of the wrong type that is converted or ignored.
TEST_CASE("each key is checked for its type")
{
  const auto full = ToJson(FullConfiguration());
  std::vector<json::json_pointer> paths;
  CollectKeys(full, json::json_pointer(), paths);
  for (const auto& path : paths) {
    auto document = full;
    document[path] = json::object();
    CHECK(PathOfProblem(document) == path.to_string());
  }
}

// Guards against an invalid document that is accepted: no later check would
// reject values out of range, unknown keys or references to missing entries.
TEST_CASE("out-of-range values, unknown keys and dangling references are "
          "rejected")
{
  for (const auto& [path, value] : std::vector<std::pair<const char*, json>>{
         { "/version", -1 },
         { "/version", std::numeric_limits<std::uint64_t>::max() },
         { "/extra", 1 },
         { "/dataCentres/0/id", "a/b" },
         { "/dataCentres/0/racks", -1 },
         { "/dataCentres/1/rack", 1 },
         { "/accounts/0/weight", 0 },
         { "/accounts/0/quotaAccelerators", -1 },
         { "/accounts/0/keySha256", "x" },
         { "/kinds/1/priority", "soon" },
         { "/kinds/1/targetUs", -1 },
         { "/kinds/1/targetUs", 0.5 },
         { "/kinds/1/tasks", 0 },
         { "/kinds/1/objective", 1.01 },
         { "/kinds/1/preemptible", true },
         { "/kinds/1/adjacent", true },
         { "/kinds/1/id", "quote" },
         { "/accounts/1/id", "c" },
         { "/guarantees/0/shapeAccelerators", 3 },
         { "/guarantees/0/count", 0 },
         { "/guarantees/1/account", "nobody" },
         { "/assignments/0/account", "nobody" },
         { "/assignments/0/dataCentre", "nowhere" } }) {
    auto expected = std::string(path) == "/accounts/1/id"
                      ? std::string("/guarantees/1/account")
                      : std::string(path);
    CHECK(PathOfProblem(DocumentWith(path, value)) == expected);
  }
}

// Guards against a crash of the parser on text that is not a configuration,
// such as invalid UTF-8 or 100,000 nested lists, and against an error message
// that cannot be encoded as JSON for the response.
TEST_CASE("text that is not a configuration is rejected")
{
  const std::string deep(100'000, '[');
  for (const std::string& text : { std::string(),
                                   std::string("{"),
                                   std::string("[]"),
                                   std::string("7"),
                                   std::string("null"),
                                   std::string("\"x\""),
                                   std::string("{}"),
                                   std::string("\"\xff\""),
                                   deep,
                                   deep + std::string(deep.size(), ']') }) {
    auto read = ConfigurationFromText(text, "test");
    REQUIRE(!read);
    CHECK(!json(ToString(read.error())).dump().empty());
  }
}

} // namespace flamingoloom::config
