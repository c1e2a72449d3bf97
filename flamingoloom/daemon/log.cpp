#include "flamingoloom/daemon/log.h"

#include <chrono>
#include <cstdio>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace flamingoloom::daemon {
namespace {

std::string Timestamp()
{
  auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now());
  auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(now);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
                     (now - seconds).count());
}

// Quotes values that are empty or contain a separator, a quote or a line break,
// so that a line can be split into its fields.
std::string QuoteIfNeeded(std::string_view aValue)
{
  if (aValue.find_first_of(" \"\\=\n") == std::string_view::npos &&
      !aValue.empty()) {
    return std::string(aValue);
  }
  return nlohmann::json(aValue).dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string FormatLogLine(config::LogFormat aFormat,
                          std::string_view aTime,
                          config::LogLevel aLevel,
                          const std::string& aInstance,
                          std::string_view aEvent,
                          const LogFields& aFields)
{
  LogFields all{ { "time", std::string(aTime) },
                 { "level", std::string(config::LogLevelName(aLevel)) },
                 { "instance", aInstance },
                 { "event", std::string(aEvent) } };
  all.insert(all.end(), aFields.begin(), aFields.end());
  if (aFormat == config::LogFormat::eJson) {
    nlohmann::ordered_json line;
    for (const auto& [key, value] : all) {
      line[key] = value;
    }
    return line.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
  }
  std::string line;
  for (const auto& [key, value] : all) {
    line += (line.empty() ? "" : " ") + key + "=" + QuoteIfNeeded(value);
  }
  return line;
}

void Log::Write(config::LogLevel aLevel,
                std::string_view aEvent,
                const LogFields& aFields) const
{
  if (aLevel < mSettings.mLevel) {
    return;
  }
  std::string line = FormatLogLine(
    mSettings.mFormat, Timestamp(), aLevel, mInstance, aEvent, aFields);
  std::scoped_lock lock(mMutex);
  fmt::print(stderr, "{}\n", line);
}

} // namespace flamingoloom::daemon
