// Tables that map enumerators to their names in JSON documents.
#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace flamingoloom::config::internal {

template <class Enum, std::size_t kSize>
using EnumNames = std::array<std::pair<Enum, std::string_view>, kSize>;

// Returns the name of aValue. Requires that aValue is in the table.
template <class Enum, std::size_t kSize>
std::string_view NameOf(const EnumNames<Enum, kSize>& aNames, Enum aValue)
{
  for (const auto& [value, name] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return aNames.front().second;
}

// Returns the enumerator with the name aName. Requires that aName is in the
// table; callers check the document against its schema first.
template <class Enum, std::size_t kSize>
Enum ValueOf(const EnumNames<Enum, kSize>& aNames, std::string_view aName)
{
  for (const auto& [value, name] : aNames) {
    if (name == aName) {
      return value;
    }
  }
  return aNames.front().first;
}

} // namespace flamingoloom::config::internal
