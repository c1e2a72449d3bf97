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

Configuration Full()
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

json Changed(const char* aPath, const json& aValue)
{
  auto document = ToJson(Full());
  document[json::json_pointer(aPath)] = aValue;
  return document;
}

// The paths of all keys in aValue, of objects in lists by the first entry.
void CollectKeys(const json& aValue,
                 const json::json_pointer& aAt,
                 std::vector<json::json_pointer>& aPaths)
{
  if (aValue.is_object()) {
    for (const auto& [key, value] : aValue.items()) {
      aPaths.push_back(aAt / key);
      CollectKeys(value, aAt / key, aPaths);
    }
  } else if (aValue.is_array() && !aValue.empty()) {
    CollectKeys(aValue.front(), aAt / 0, aPaths);
  }
}

} // namespace

// Guards against a field that is lost or rounded on its way through the
// store; instances would then hold different configurations of one version.
TEST_CASE("a configuration survives the way through JSON exactly")
{
  CHECK(ConfigurationFromText(ToText(Full()), "test") == Full());
  CHECK(ConfigurationFromText(ToIndentedText(Full()), "test") == Full());
  Configuration empty;
  CHECK(ConfigurationFromText(ToText(empty), "test") == empty);
}

// Guards against a misspelt or missing key that silently means a default.
TEST_CASE("each key is required")
{
  const auto full = ToJson(Full());
  std::vector<json::json_pointer> paths;
  CollectKeys(full, json::json_pointer(), paths);
  CHECK(paths.size() == 7 + 5 + 4 + 13 + 3 + 4);
  for (const auto& path : paths) {
    auto document = full;
    document[path.parent_pointer()].erase(path.back());
    CHECK(PathOfProblem(document) == path.to_string());
  }
}

// Guards against a key of the wrong type that is converted or ignored.
TEST_CASE("each key is checked for its type")
{
  const auto full = ToJson(Full());
  std::vector<json::json_pointer> paths;
  CollectKeys(full, json::json_pointer(), paths);
  for (const auto& path : paths) {
    auto document = full;
    document[path] = json::object();
    CHECK(PathOfProblem(document) == path.to_string());
  }
}

// Guards against values that no later check refuses.
TEST_CASE("values out of range, unknown keys and broken references")
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
    CHECK(PathOfProblem(Changed(path, value)) == expected);
  }
}

// Guards against a crash on input that is not a document at all.
TEST_CASE("text that is no configuration is refused")
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
