#include <doctest/doctest.h>

#include <set>

#include <nlohmann/json.hpp>

#include "flamingoloom/config/settings.h"

namespace flamingoloom::config {
namespace {

using nlohmann::json;

const std::string kDigest(64, 'a');

json MinimalSettings()
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

// Returns the path of the only problem, "accepted" if there is none, or all
// problems if there are several.
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

// Guards against an invalid value or unknown key that is accepted, and against
// an error that names another setting than the one at fault.
TEST_CASE("each invalid setting is reported with its path")
{
  for (const auto& [path, value] : WrongValues()) {
    auto document = MinimalSettings();
    document[json::json_pointer(path)] = value;
    CHECK(PathOfProblem(document) == path);
  }
}

// Guards against a daemon that starts without its identity, its listen
// addresses or the address of the platform.
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
    auto document = MinimalSettings();
    json::json_pointer pointer(path);
    document[pointer.parent_pointer()].erase(pointer.back());
    CHECK(PathOfProblem(document) == path);
  }
}

// Guards against a check that stops at the first problem or skips the rules
// after a schema error, so that the operator must start the daemon once per
// error.
TEST_CASE("schema errors and violated rules are reported together")
{
  auto document = MinimalSettings();
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

// Guards against error messages that do not say which values or keys are
// allowed.
TEST_CASE("error messages name the allowed values")
{
  auto document = MinimalSettings();
  document["limits"]["httpThreads"] = 0;
  document["logs"]["colour"] = "red";
  auto settings = ReadJson(document);
  REQUIRE(!settings);
  CHECK(ToString(settings.error()) ==
        "/limits/httpThreads: must be a whole number from 1 to 1024\n"
        "/logs/colour: unknown key; the known keys are: format, level\n");
}

// Guards against a crash or an empty error message for a settings file that is
// not a JSON object, such as an empty file.
TEST_CASE("text that is not a JSON object is rejected")
{
  for (const char* text : { "", "{", "[]", "3", "null", "{\"a\":1,\"a\":2}" }) {
    auto settings = ReadSettings(text, "settings.json", NoVariables);
    REQUIRE(!settings);
    CHECK(!settings.error().front().mMessage.empty());
  }
}

// Guards against defaults that differ from the documented ones, for example
// because decoding sets an omitted value to zero.
TEST_CASE("omitted settings have their defaults")
{
  auto settings = ReadJson(MinimalSettings());
  REQUIRE(settings);
  CHECK(settings->mOwnership == OwnershipSettings{});
  CHECK(settings->mLimits == LimitSettings{});
  CHECK(settings->mLogs == LogSettings{});
  CHECK(settings->mOwnership.mLease == std::chrono::seconds(4));
  CHECK(settings->mOwnership.mRenew == std::chrono::seconds(1));
}

// Guards against a digest that is ignored or read from another variable.
// Settings must also be rejected if the variable is not set, because operators
// would not be authenticated, and if the file has both a digest and a variable,
// because it would be unclear which key is valid.
TEST_CASE("the operators' key digest can come from the environment")
{
  auto document = MinimalSettings();
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

// Guards against the digest of the operators' key in printed settings, and
// against printed settings that are not a valid settings file.
TEST_CASE("printed settings can be read back and contain no secrets")
{
  auto document = MinimalSettings();
  document["logs"] = { { "format", "json" }, { "level", "debug" } };
  document["limits"] = { { "maxBodyBytes", 2048 },
                         { "maxHeaderBytes", 4096 },
                         { "maxRequestMemoryBytes", 8388608 },
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
