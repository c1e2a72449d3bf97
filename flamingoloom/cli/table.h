// JSON answers as tables for people.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace flamingoloom::cli {

// The rows of a listing: aBody itself when it is a list, otherwise the first
// list in it, otherwise aBody as the only row.
nlohmann::json RowsOf(const nlohmann::json& aBody);

// One line per row. The columns in aFirst come first, all other keys of the
// rows follow in alphabetical order. Columns align for text in UTF-8.
void PrintTable(std::ostream& aOut,
                const nlohmann::json& aRows,
                const std::vector<std::string>& aFirstColumns);

// One line per key of aObject.
void PrintObject(std::ostream& aOut, const nlohmann::json& aObject);

// The indented JSON text, for programs.
void PrintJson(std::ostream& aOut, const nlohmann::json& aValue);

} // namespace flamingoloom::cli
