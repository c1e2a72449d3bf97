// Structured log of state changes, written to standard error.
//
//   Log log(settings.mLogs, "akureyri-1");
//   log.Write(LogLevel::eInfo, "lease held", { { "dataCentre", "a" } });
//
// Thread-safe. Callers must never log the value of an API key.
#pragma once

#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "flamingoloom/config/settings.h"

namespace flamingoloom::daemon {

using LogFields = std::vector<std::pair<std::string, std::string>>;

// Formats one line without the line break: time, level, instance, event, then
// aFields.
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

  // Drops the line when aLevel is below the configured level.
  void Write(config::LogLevel aLevel,
             std::string_view aEvent,
             const LogFields& aFields) const;

private:
  const config::LogSettings mSettings;
  const std::string mInstance;
  mutable std::mutex mMutex;
};

} // namespace flamingoloom::daemon
