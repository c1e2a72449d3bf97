#include <doctest/doctest.h>

#include <set>

#include <nlohmann/json.hpp>

#include "flamingoloom/config/settings.h"

namespace flamingoloom::config {
namespace {

using nlohmann::json;

const std::string kDigest(64, 'a');

json Smallest()
{
  return { { "instance",
             { { "id", "i1" }, { "dataCentre", "dc1" }, { "region", "r1" } } },
           { "listen",
             { { "httpAddress", "192.0.2.1:8080" },
               { "peerAddress", "192.0.2.1:8081" } } },
           { "platform", { { "address", "[2001:db8::1]:9000" } } } };
}

std::optional<std::string> NoVariables(const std::string&)
{
  return std::nullopt;
}

Checked<Settings> ReadJson(const json& aDocument,
                           const Environment& aEnvironment = NoVariables)
{
  return ReadSettings(aDocument.dump(), "settings.json", aEnvironment);
}

// The path of the only problem; "accepted" or the list when it is not one.
std::string PathOfProblem(const json& aDocument,
                          const Environment& aEnvironment = NoVariables)
{
  auto settings = ReadJson(aDocument, aEnvironment);
  if (settings) {
    return "accepted";
  }
  return settings.error().size() == 1 ? settings.error().front().mField
                                      : ToString(settings.error());
}

struct WrongValue
{
  const char* mPath;
  json mValue;
};

std::vector<WrongValue> WrongValues()
{
  return { { "/instance", "i1" },
           { "/instance/id", "has space" },
           { "/instance/id", "" },
           { "/instance/dataCentre", "a/b" },
           { "/instance/region", 7 },
           { "/listen", json::array() },
           { "/listen/httpAddress", "localhost:80" },
           { "/listen/httpAddress", "192.0.2.1" },
           { "/listen/httpAddress", "192.0.2.1:65536" },
           { "/listen/httpAddress", "0.0.0.0:8080" },
           { "/listen/peerAddress", "[::]:8080" },
           { "/listen/peerAddress", "192.0.2.1:8080" },
           { "/listen/peerAddress", 8080 },
           { "/platform", nullptr },
           { "/platform/address", "192.0.2.1:" },
           { "/logs", "json" },
           { "/logs/format", "xml" },
           { "/logs/level", 3 },
           { "/limits", 1 },
           { "/limits/maxBodyBytes", 1023 },
           { "/limits/maxHeaderBytes", "16k" },
           { "/limits/maxConnections", 0 },
           { "/limits/httpThreads", 1.5 },
           { "/keys", "secret" },
           { "/keys/operatorKeySha256", "secret" },
           { "/keys/operatorKeySha256Variable", "has space" },
           { "/ownership", false },
           { "/ownership/leaseMs", 499 },
           { "/ownership/renewMs", 49 },
           { "/ownership/renewMs", 2001 },
           { "/ownership/storeDownPolicy", "continue" },
           { "/instnce", "i1" },
           { "/instance/name", "i1" },
           { "/listen/address", "192.0.2.1:1" },
           { "/platform/url", "x" },
           { "/logs/file", "x" },
           { "/limits/maxBody", 1 },
           { "/keys/operatorKey", "x" },
           { "/ownership/lease", 1 },
           { "/faultInjection", true } };
}

} // namespace

// Guards against an error that does not lead to the value at fault, and
// against a value that is accepted silently.
TEST_CASE("each wrong setting is reported with its path")
{
  for (const auto& [path, value] : WrongValues()) {
    auto document = Smallest();
    document[json::json_pointer(path)] = value;
    CHECK(PathOfProblem(document) == path);
  }
}

// Guards against a daemon that starts without knowing who it is.
TEST_CASE("each missing required setting is reported with its path")
{
  for (const char* path : { "/instance",
                            "/instance/id",
                            "/instance/dataCentre",
                            "/instance/region",
                            "/listen",
                            "/listen/httpAddress",
                            "/listen/peerAddress",
                            "/platform",
                            "/platform/address" }) {
    auto document = Smallest();
    json::json_pointer pointer(path);
    document[pointer.parent_pointer()].erase(pointer.back());
    CHECK(PathOfProblem(document) == path);
  }
}

// Guards against operators who repair one error per start.
TEST_CASE("all problems are reported at once, of form and of rules")
{
  auto document = Smallest();
  document["instance"].erase("id");
  document["listen"]["httpAddress"] = "localhost:1";
  document["logs"]["level"] = "loud";
  document["ownership"] = { { "leaseMs", 1000 }, { "renewMs", 900 } };
  document["extra1"] = 1;
  document["extra2"] = 2;
  auto settings = ReadJson(document);
  REQUIRE(!settings);
  std::set<std::string> fields;
  for (const auto& problem : settings.error()) {
    fields.insert(problem.mField);
  }
  CHECK(fields == std::set<std::string>{ "/instance/id",
                                         "/listen/httpAddress",
                                         "/logs/level",
                                         "/ownership/renewMs",
                                         "/extra1",
                                         "/extra2" });
}

// Guards against messages that do not say what would be right.
TEST_CASE("messages say what the value must be")
{
  auto document = Smallest();
  document["limits"]["httpThreads"] = 0;
  document["logs"]["colour"] = "red";
  auto settings = ReadJson(document);
  REQUIRE(!settings);
  CHECK(ToString(settings.error()) ==
        "/limits/httpThreads: must be a whole number from 1 to 1024\n"
        "/logs/colour: unknown key; known here: format, level\n");
}

// Guards against a crash or an empty message on a file that is not JSON.
TEST_CASE("text that is no JSON object is refused")
{
  for (const char* text : { "", "{", "[]", "3", "null", "{\"a\":1,\"a\":2}" }) {
    auto settings = ReadSettings(text, "settings.json", NoVariables);
    REQUIRE(!settings);
    CHECK(!settings.error().front().mMessage.empty());
  }
}

// Guards against defaults that differ from the ones in the documentation.
TEST_CASE("what is left out has its default")
{
  auto settings = ReadJson(Smallest());
  REQUIRE(settings);
  CHECK(settings->mOwnership == OwnershipSettings{});
  CHECK(settings->mLimits == LimitSettings{});
  CHECK(settings->mLogs == LogSettings{});
  CHECK(settings->mOwnership.mLease == std::chrono::seconds(4));
  CHECK(settings->mOwnership.mRenew == std::chrono::seconds(1));
}

// Guards against a digest that is taken from the wrong place.
TEST_CASE("the operators' key digest can come from the environment")
{
  auto document = Smallest();
  document["keys"]["operatorKeySha256Variable"] = "OPERATOR_KEY";
  auto withDigest = [](const std::string& aName) {
    return std::optional<std::string>(aName == "OPERATOR_KEY" ? kDigest : "");
  };
  auto settings = ReadJson(document, withDigest);
  REQUIRE(settings);
  CHECK(settings->mKeys.mOperatorKeySha256 == kDigest);
  CHECK(PathOfProblem(document) == "/keys/operatorKeySha256Variable");
  document["keys"]["operatorKeySha256"] = kDigest;
  CHECK(PathOfProblem(document, withDigest) ==
        "/keys/operatorKeySha256Variable");
}

// Guards against secrets in printed settings, and against printed settings
// that cannot be used as a settings file.
TEST_CASE("printed settings read back the same, without secrets")
{
  auto document = Smallest();
  document["logs"] = { { "format", "json" }, { "level", "debug" } };
  document["limits"] = { { "maxBodyBytes", 2048 },
                         { "maxHeaderBytes", 4096 },
                         { "maxConnections", 5 },
                         { "httpThreads", 6 } };
  document["ownership"] = { { "leaseMs", 3000 },
                            { "renewMs", 500 },
                            { "storeDownPolicy", "promises" } };
  auto settings = ReadJson(document);
  REQUIRE(settings);
  CHECK(ReadJson(ToJson(*settings)) == settings);
  document["keys"]["operatorKeySha256"] = kDigest;
  auto withKey = ReadJson(document);
  REQUIRE(withKey);
  CHECK(ToJson(*withKey).dump().find(kDigest) == std::string::npos);
}

} // namespace flamingoloom::config
