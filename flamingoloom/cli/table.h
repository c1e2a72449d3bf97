// Prints JSON documents as tables, objects or indented JSON.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace flamingoloom::cli {

// Returns the rows of a listing: aBody itself when it is an array, otherwise
// its first member that is an array, otherwise an array with aBody as its only
// row.
nlohmann::json RowsOf(const nlohmann::json& aBody);

// Prints one line per row. The columns in aFirstColumns come first, and all
// other keys of the rows follow in alphabetical order. Columns are aligned by
// code points of UTF-8.
void PrintTable(std::ostream& aOut,
                const nlohmann::json& aRows,
                const std::vector<std::string>& aFirstColumns);

// Prints one line per key of aObject.
void PrintObject(std::ostream& aOut, const nlohmann::json& aObject);

// Prints aValue as indented JSON.
void PrintJson(std::ostream& aOut, const nlohmann::json& aValue);

} // namespace flamingoloom::cli
