// Log lines for changes of state, on standard error.
//
//   Log log(settings.mLogs, "akureyri-1");
//   log.Write(LogLevel::eInfo, "lease held", { { "dataCentre", "a" } });
//
// Thread-safe. Values of keys must never be passed in.
#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "flamingoloom/config/settings.h"

namespace flamingoloom::daemon {

using LogFields = std::vector<std::pair<std::string, std::string>>;

// One line without its end: time, level, instance, event, fields.
std::string FormatLogLine(config::LogFormat aFormat,
                          std::string_view aTime,
                          config::LogLevel aLevel,
                          const std::string& aInstance,
                          std::string_view aEvent,
                          const LogFields& aFields);

class Log
{
public:
  Log(config::LogSettings aSettings, std::string aInstance)
    : mSettings(aSettings)
    , mInstance(std::move(aInstance))
  {
  }

  // Lines below the level of the settings are dropped.
  void Write(config::LogLevel aLevel,
             std::string_view aEvent,
             const LogFields& aFields) const;

private:
  const config::LogSettings mSettings;
  const std::string mInstance;
  mutable std::mutex mMutex;
};

} // namespace flamingoloom::daemon
