// The settings of one daemon process: who it is, where it listens, where the
// platform is, and its limits.
//
// Settings differ between instances and are read once at the start; what all
// instances share is in the Configuration. Immutable value types; safe to
// copy between threads.
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

// "ip:port" each. The addresses are announced to the other instances, so they
// are never a wildcard address.
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
  int mMaxConnections = 1024;
  // A caller that waits for its answer holds a thread.
  int mHttpThreads = 64;

  friend bool operator==(const LimitSettings&, const LimitSettings&) = default;
};

struct KeySettings
{
  // SHA-256 of the operators' key in lower-case hexadecimal; empty when
  // operators are not checked.
  std::string mOperatorKeySha256;
  // Environment variable from which the digest was read; empty when it was
  // in the file.
  std::string mOperatorKeySha256Variable;

  friend bool operator==(const KeySettings&, const KeySettings&) = default;
};

// What an owner does when its lease ends while the store is down
// (docs/design.md, section 4).
enum class StoreDownPolicy
{
  eStop,
  ePromises,
};

struct OwnershipSettings
{
  base::Duration mLease = std::chrono::milliseconds(4000);
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

// Value of an environment variable; none when it is not set.
using Environment =
  std::function<std::optional<std::string>(const std::string&)>;

// The environment of this process.
Environment ProcessEnvironment();

// The settings in aText, with defaults for what it leaves out. aName is the
// name of the file for messages. All problems are reported at once.
Checked<Settings> ReadSettings(std::string_view aText,
                               const std::string& aName,
                               const Environment& aEnvironment);

// aSettings in the form that ReadSettings reads, defaults included, secrets
// left out.
nlohmann::json ToJson(const Settings& aSettings);

// The JSON schema of a settings file.
std::string_view SettingsSchema();

// Names as they are in the file, such as "keyValue" and "info".
std::string_view LogFormatName(LogFormat aFormat);
std::string_view LogLevelName(LogLevel aLevel);
std::string_view StoreDownPolicyName(StoreDownPolicy aPolicy);

} // namespace flamingoloom::config
