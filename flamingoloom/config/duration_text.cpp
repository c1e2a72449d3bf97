#include "flamingoloom/config/duration_text.h"

#include <array>
#include <charconv>
#include <cstdint>

#include <fmt/format.h>

namespace flamingoloom::config {
namespace {

struct Unit
{
  std::string_view mName;
  base::Duration mLength;
};

using namespace std::chrono_literals;

// From the longest to the shortest.
constexpr std::array kUnits = { Unit{ "d", 24h },    Unit{ "h", 1h },
                                Unit{ "min", 1min }, Unit{ "s", 1s },
                                Unit{ "ms", 1ms },   Unit{ "us", 1us } };

constexpr base::Duration kMaxDuration = 365 * 24h;

std::string_view Trim(std::string_view aText)
{
  constexpr std::string_view kSpaces = " \t\r\n";
  auto first = aText.find_first_not_of(kSpaces);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kSpaces) - first + 1);
}

const Unit* FindUnit(std::string_view aName)
{
  for (const auto& unit : kUnits) {
    if (unit.mName == aName) {
      return &unit;
    }
  }
  return nullptr;
}

} // namespace

std::string DurationText(base::Duration aDuration)
{
  for (const auto& [name, length] : kUnits) {
    if (aDuration >= length && aDuration % length == base::Duration::zero()) {
      return fmt::format("{} {}", aDuration / length, name);
    }
  }
  return fmt::format("{} ms", base::ToMilliseconds(aDuration));
}

base::Expected<base::Duration> ParseDuration(std::string_view aText)
{
  auto text = Trim(aText);
  std::uint32_t count = 0;
  auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), count);
  const Unit* unit = nullptr;
  if (error == std::errc()) {
    unit = FindUnit(Trim(text.substr(end - text.data())));
  }
  if (unit != nullptr && count <= kMaxDuration / unit->mLength) {
    return count * unit->mLength;
  }
  return base::MakeError(base::ErrorCode::eInvalid,
                         "read duration",
                         "input",
                         "must be a whole number and a unit (ms, s, min, h or "
                         "d), at most 365 d, such as \"500 ms\"");
}

} // namespace flamingoloom::config
