#include "flamingoloom/config/settings.h"

#include <algorithm>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "flamingoloom/config/check_settings.h"
#include "flamingoloom/config/enum_names.h"
#include "flamingoloom/config/json_document.h"

namespace flamingoloom::config {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr internal::EnumNames<LogFormat, 2> kLogFormats = { {
  { LogFormat::eKeyValue, "keyValue" },
  { LogFormat::eJson, "json" },
} };

constexpr internal::EnumNames<LogLevel, 4> kLogLevels = { {
  { LogLevel::eDebug, "debug" },
  { LogLevel::eInfo, "info" },
  { LogLevel::eWarning, "warning" },
  { LogLevel::eError, "error" },
} };

constexpr internal::EnumNames<StoreDownPolicy, 2> kStoreDownPolicies = { {
  { StoreDownPolicy::eStop, "stop" },
  { StoreDownPolicy::ePromises, "promises" },
} };

template <class T>
void Read(const json& aObject, const char* aKey, T& aValue)
{
  if (aObject.contains(aKey)) {
    aValue = aObject.at(aKey).get<T>();
  }
}

void ReadMs(const json& aObject, const char* aKey, base::Duration& aValue)
{
  if (aObject.contains(aKey)) {
    aValue = milliseconds(aObject.at(aKey).get<std::int64_t>());
  }
}

template <class Enum, std::size_t kSize>
void ReadName(const json& aObject,
              const char* aKey,
              const internal::EnumNames<Enum, kSize>& aNames,
              Enum& aValue)
{
  if (aObject.contains(aKey)) {
    aValue = internal::ValueOf(aNames, aObject.at(aKey).get<std::string>());
  }
}

json ReadSection(const json& aDocument, const char* aKey)
{
  return aDocument.value(aKey, json::object());
}

LogSettings ReadLogs(const json& aSection)
{
  LogSettings logs;
  ReadName(aSection, "format", kLogFormats, logs.mFormat);
  ReadName(aSection, "level", kLogLevels, logs.mLevel);
  return logs;
}

LimitSettings ReadLimits(const json& aSection)
{
  LimitSettings limits;
  Read(aSection, "maxBodyBytes", limits.mMaxBodyBytes);
  Read(aSection, "maxHeaderBytes", limits.mMaxHeaderBytes);
  Read(aSection, "maxRequestMemoryBytes", limits.mMaxRequestMemoryBytes);
  Read(aSection, "maxConnections", limits.mMaxConnections);
  Read(aSection, "httpThreads", limits.mHttpThreads);
  return limits;
}

OwnershipSettings ReadOwnership(const json& aSection)
{
  OwnershipSettings ownership;
  ReadMs(aSection, "leaseMs", ownership.mLease);
  ReadMs(aSection, "renewMs", ownership.mRenew);
  ReadName(aSection,
           "storeDownPolicy",
           kStoreDownPolicies,
           ownership.mStoreDownPolicy);
  return ownership;
}

template <class Id>
Id ReadId(const json& aSection, const char* aKey)
{
  return Id(aSection.value(aKey, std::string()));
}

KeySettings ReadKeys(const json& aSection)
{
  KeySettings keys;
  Read(aSection, "operatorKeySha256", keys.mOperatorKeySha256);
  Read(aSection, "operatorKeySha256Variable", keys.mOperatorKeySha256Variable);
  return keys;
}

// Uses the default for each value that is not in aDocument. Requires that each
// value in aDocument conforms to the schema.
Settings Decode(const json& aDocument)
{
  Settings settings;
  auto instance = ReadSection(aDocument, "instance");
  settings.mInstance = {
    ReadId<base::InstanceId>(instance, "id"),
    ReadId<base::DataCentreId>(instance, "dataCentre"),
    ReadId<base::RegionId>(instance, "region"),
  };
  auto listen = ReadSection(aDocument, "listen");
  Read(listen, "httpAddress", settings.mListen.mHttpAddress);
  Read(listen, "peerAddress", settings.mListen.mPeerAddress);
  Read(
    ReadSection(aDocument, "platform"), "address", settings.mPlatformAddress);
  settings.mLogs = ReadLogs(ReadSection(aDocument, "logs"));
  settings.mLimits = ReadLimits(ReadSection(aDocument, "limits"));
  settings.mKeys = ReadKeys(ReadSection(aDocument, "keys"));
  settings.mOwnership = ReadOwnership(ReadSection(aDocument, "ownership"));
  return settings;
}

// Removes the invalid values, so that the others can be decoded and checked.
void EraseInvalidValues(json& aDocument, const Problems& aProblems)
{
  for (const auto& problem : aProblems) {
    json::json_pointer pointer(problem.mField);
    if (!pointer.empty() && aDocument.contains(pointer)) {
      aDocument.at(pointer.parent_pointer()).erase(pointer.back());
    }
  }
}

// Whether the schema check has already reported the value of aProblem, or an
// object that contains it, as missing or invalid. The violated rule is then
// only a consequence.
bool IsReportedBySchema(const base::Error& aProblem,
                        const Problems& aSchemaProblems)
{
  return std::any_of(aSchemaProblems.begin(),
                     aSchemaProblems.end(),
                     [&](const base::Error& aOther) {
                       return aProblem.mField == aOther.mField ||
                              aProblem.mField.starts_with(aOther.mField + "/");
                     });
}

json KeysToJson(const KeySettings& aKeys)
{
  auto keys = json::object();
  if (!aKeys.mOperatorKeySha256Variable.empty()) {
    keys["operatorKeySha256Variable"] = aKeys.mOperatorKeySha256Variable;
  }
  return keys;
}

} // namespace

Environment ProcessEnvironment()
{
  return [](const std::string& aName) -> std::optional<std::string> {
    const char* value = std::getenv(aName.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
}

Checked<Settings> ReadSettings(std::string_view aText,
                               const std::string& aName,
                               const Environment& aEnvironment)
{
  const DocumentSource source{ "read settings", aName };
  auto document = ParseDocument(aText, source);
  if (!document) {
    return tl::unexpected(document.error());
  }
  auto problems = CheckSchema(SettingsSchema(), *document, source);
  if (!document->is_object()) {
    return tl::unexpected(problems);
  }
  EraseInvalidValues(*document, problems);
  auto settings = Decode(*document);
  const auto schemaProblems = problems;
  for (auto& problem :
       internal::CheckSettings(settings, source, aEnvironment)) {
    if (!IsReportedBySchema(problem, schemaProblems)) {
      problems.push_back(std::move(problem));
    }
  }
  if (!problems.empty()) {
    return tl::unexpected(problems);
  }
  return settings;
}

json ToJson(const Settings& aSettings)
{
  const auto& [maxBody, maxHeader, maxMemory, maxConnections, threads] =
    aSettings.mLimits;
  return {
    { "instance",
      { { "id", aSettings.mInstance.mId.Value() },
        { "dataCentre", aSettings.mInstance.mDataCentre.Value() },
        { "region", aSettings.mInstance.mRegion.Value() } } },
    { "listen",
      { { "httpAddress", aSettings.mListen.mHttpAddress },
        { "peerAddress", aSettings.mListen.mPeerAddress } } },
    { "platform", { { "address", aSettings.mPlatformAddress } } },
    { "logs",
      { { "format", LogFormatName(aSettings.mLogs.mFormat) },
        { "level", LogLevelName(aSettings.mLogs.mLevel) } } },
    { "limits",
      { { "maxBodyBytes", maxBody },
        { "maxHeaderBytes", maxHeader },
        { "maxRequestMemoryBytes", maxMemory },
        { "maxConnections", maxConnections },
        { "httpThreads", threads } } },
    { "keys", KeysToJson(aSettings.mKeys) },
    { "ownership",
      { { "leaseMs", base::ToMilliseconds(aSettings.mOwnership.mLease) },
        { "renewMs", base::ToMilliseconds(aSettings.mOwnership.mRenew) },
        { "storeDownPolicy",
          StoreDownPolicyName(aSettings.mOwnership.mStoreDownPolicy) } } },
  };
}

std::string_view LogFormatName(LogFormat aFormat)
{
  return internal::NameOf(kLogFormats, aFormat);
}

std::string_view LogLevelName(LogLevel aLevel)
{
  return internal::NameOf(kLogLevels, aLevel);
}

std::string_view StoreDownPolicyName(StoreDownPolicy aPolicy)
{
  return internal::NameOf(kStoreDownPolicies, aPolicy);
}

} // namespace flamingoloom::config
