// The settings of one daemon process: the identity of its instance, its listen
// addresses, the address of the platform, and its limits.
//
// Settings differ between instances and are read once when the process starts;
// values that all instances share are in the Configuration. The types are
// immutable value types and safe to copy between threads.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/config/checked.h"

namespace flamingoloom::config {

struct InstanceSettings
{
  base::InstanceId mId;
  base::DataCentreId mDataCentre;
  base::RegionId mRegion;

  friend bool operator==(const InstanceSettings&,
                         const InstanceSettings&) = default;
};

// Listen addresses of the form "ip:port". They are announced to the other
// instances and therefore must not be wildcard addresses.
struct ListenSettings
{
  std::string mHttpAddress;
  std::string mPeerAddress;

  friend bool operator==(const ListenSettings&,
                         const ListenSettings&) = default;
};

enum class LogFormat
{
  eKeyValue,
  eJson,
};

enum class LogLevel
{
  eDebug,
  eInfo,
  eWarning,
  eError,
};

struct LogSettings
{
  LogFormat mFormat = LogFormat::eKeyValue;
  LogLevel mLevel = LogLevel::eInfo;

  friend bool operator==(const LogSettings&, const LogSettings&) = default;
};

struct LimitSettings
{
  std::size_t mMaxBodyBytes = std::size_t{ 1 } << 20U;
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } << 10U;
  // Memory of the requests that are received or decoded at the same time.
  std::size_t mMaxRequestMemoryBytes = std::size_t{ 48 } << 20U;
  int mMaxConnections = 1024;
  // Number of threads that serve HTTP requests. A request that waits for its
  // answer occupies a thread for the whole time.
  int mHttpThreads = 64;

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

struct KeySettings
{
  // SHA-256 of the operators' key in lower-case hexadecimal; empty if operators
  // are not authenticated.
  std::string mOperatorKeySha256;
  // Name of the environment variable from which the digest was read; empty if
  // the digest is in the file.
  std::string mOperatorKeySha256Variable;

  friend bool operator==(const KeySettings&, const KeySettings&) = default;
};

// What the owner of a data centre does when its lease expires while the store
// is unavailable (docs/design.md, section 4).
enum class StoreDownPolicy
{
  eStop,
  ePromises,
};

struct OwnershipSettings
{
  // Validity period of a lease.
  base::Duration mLease = std::chrono::milliseconds(4000);
  // Interval between renewals; at most half of mLease, so that the lease does
  // not expire after one lost renewal.
  base::Duration mRenew = std::chrono::milliseconds(1000);
  StoreDownPolicy mStoreDownPolicy = StoreDownPolicy::eStop;

  friend bool operator==(const OwnershipSettings&,
                         const OwnershipSettings&) = default;
};

struct Settings
{
  InstanceSettings mInstance;
  ListenSettings mListen;
  // "ip:port" of the platform's HTTP server.
  std::string mPlatformAddress;
  LogSettings mLogs;
  LimitSettings mLimits;
  KeySettings mKeys;
  OwnershipSettings mOwnership;

  friend bool operator==(const Settings&, const Settings&) = default;
};

// Returns the value of an environment variable; nullopt if it is not set.
using Environment =
  std::function<std::optional<std::string>(const std::string&)>;

// Returns the environment of this process.
Environment ProcessEnvironment();

// Decodes the settings in aText, with defaults for omitted values, or returns
// all problems. aName is the name of the file in error messages. aEnvironment
// is used to look up the environment variable for the digest of the operators'
// key.
Checked<Settings> ReadSettings(std::string_view aText,
                               const std::string& aName,
                               const Environment& aEnvironment);

// Returns aSettings as a document that ReadSettings accepts. It includes the
// defaults and omits the digest of the operators' key.
nlohmann::json ToJson(const Settings& aSettings);

// The JSON schema of a settings file.
std::string_view SettingsSchema();

// The names in the settings file, such as "keyValue" and "info".
std::string_view LogFormatName(LogFormat aFormat);
std::string_view LogLevelName(LogLevel aLevel);
std::string_view StoreDownPolicyName(StoreDownPolicy aPolicy);

} // namespace flamingoloom::config
