// Tables that map enumerators to the names which documents have for them.
#pragma once

#include <array>
#include <string_view>
#include <utility>

namespace flamingoloom::config::internal {

template <class Enum, std::size_t kSize>
using Names = std::array<std::pair<Enum, std::string_view>, kSize>;

// Requires that aValue is in the table.
template <class Enum, std::size_t kSize>
std::string_view NameOf(const Names<Enum, kSize>& aNames, Enum aValue)
{
  for (const auto& [value, name] : aNames) {
    if (value == aValue) {
      return name;
    }
  }
  return aNames.front().second;
}

// Requires that aName is in the table, as the schema has checked.
template <class Enum, std::size_t kSize>
Enum ValueOf(const Names<Enum, kSize>& aNames, std::string_view aName)
{
  for (const auto& [value, name] : aNames) {
    if (name == aName) {
      return value;
    }
  }
  return aNames.front().first;
}

} // namespace flamingoloom::config::internal
