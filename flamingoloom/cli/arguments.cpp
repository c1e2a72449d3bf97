#include "flamingoloom/cli/command.h"

#include <charconv>

#include "flamingoloom/config/duration_text.h"

namespace flamingoloom::cli {

std::string Arguments::Text(const std::string& aName) const
{
  auto found = mValues.find(aName);
  return found == mValues.end() ? "" : found->second;
}

std::optional<std::uint64_t> Arguments::Number(const std::string& aName) const
{
  const auto text = Text(aName);
  std::uint64_t number = 0;
  auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || text.empty()) {
    return std::nullopt;
  }
  return number;
}

base::Duration Arguments::Duration(const std::string& aName) const
{
  return config::ParseDuration(Text(aName)).value_or(base::Duration::zero());
}

} // namespace flamingoloom::cli
