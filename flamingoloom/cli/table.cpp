#include "flamingoloom/cli/table.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace flamingoloom::cli {
namespace {

using nlohmann::json;

constexpr int kIndent = 2;

// For longer lists only the number of entries is printed, so that the cell
// stays readable. The option --json prints all entries.
constexpr std::size_t kMaxListedItems = 4;

std::string CellText(const json& aValue);

std::string ListText(const json& aList)
{
  bool hasNested =
    std::any_of(aList.begin(), aList.end(), [](const json& aElement) {
      return aElement.is_structured();
    });
  if (hasNested || aList.size() > kMaxListedItems) {
    return fmt::format(
      "{} entr{}", aList.size(), aList.size() == 1 ? "y" : "ies");
  }
  std::string text;
  for (const auto& element : aList) {
    text += (text.empty() ? "" : ",") + CellText(element);
  }
  return text.empty() ? "-" : text;
}

std::string CellText(const json& aValue)
{
  if (aValue.is_null()) {
    return "-";
  }
  if (aValue.is_boolean()) {
    return aValue.get<bool>() ? "yes" : "no";
  }
  if (aValue.is_array()) {
    return ListText(aValue);
  }
  auto text = aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
  return text.empty() ? "-" : text;
}

// Returns the number of code points: all bytes that are not UTF-8 continuation
// bytes.
std::size_t Width(const std::string& aText)
{
  return std::count_if(aText.begin(), aText.end(), [](char aByte) {
    return (static_cast<unsigned char>(aByte) & 0xC0U) != 0x80U;
  });
}

std::string Pad(const std::string& aText, std::size_t aWidth)
{
  return aText + std::string(aWidth - std::min(aWidth, Width(aText)), ' ');
}

std::vector<std::string> Columns(const json& aRows,
                                 const std::vector<std::string>& aFirstColumns)
{
  std::set<std::string> present;
  for (const auto& row : aRows) {
    if (row.is_object()) {
      for (const auto& item : row.items()) {
        present.insert(item.key());
      }
    }
  }
  std::vector<std::string> columns;
  for (const auto& name : aFirstColumns) {
    if (present.erase(name) > 0) {
      columns.push_back(name);
    }
  }
  columns.insert(columns.end(), present.begin(), present.end());
  return columns;
}

std::vector<std::string> Cells(const json& aRow,
                               const std::vector<std::string>& aColumns)
{
  std::vector<std::string> cells;
  cells.reserve(aColumns.size());
  for (const auto& column : aColumns) {
    bool isPresent = aRow.is_object() && aRow.contains(column);
    cells.push_back(isPresent ? CellText(aRow.at(column)) : "-");
  }
  return cells;
}

void PrintLine(std::ostream& aOut,
               const std::vector<std::string>& aCells,
               const std::vector<std::size_t>& aWidths)
{
  std::string line;
  for (std::size_t i = 0; i < aCells.size(); ++i) {
    line += Pad(aCells[i], aWidths[i] + 2);
  }
  line.erase(line.find_last_not_of(' ') + 1);
  aOut << line << "\n";
}

} // namespace

json RowsOf(const json& aBody)
{
  if (aBody.is_array()) {
    return aBody;
  }
  if (aBody.is_object()) {
    for (const auto& item : aBody.items()) {
      if (item.value().is_array()) {
        return item.value();
      }
    }
  }
  return json::array({ aBody });
}

void PrintTable(std::ostream& aOut,
                const json& aRows,
                const std::vector<std::string>& aFirstColumns)
{
  if (aRows.empty()) {
    aOut << "none\n";
    return;
  }
  if (!aRows.front().is_object()) {
    for (const auto& row : aRows) {
      aOut << CellText(row) << "\n";
    }
    return;
  }
  const auto columns = Columns(aRows, aFirstColumns);
  std::vector<std::vector<std::string>> lines{ columns };
  for (const auto& row : aRows) {
    lines.push_back(Cells(row, columns));
  }
  std::vector<std::size_t> widths(columns.size(), 0);
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], Width(line[i]));
    }
  }
  for (const auto& line : lines) {
    PrintLine(aOut, line, widths);
  }
}

void PrintObject(std::ostream& aOut, const json& aObject)
{
  std::size_t width = 0;
  for (const auto& item : aObject.items()) {
    width = std::max(width, Width(item.key()));
  }
  for (const auto& item : aObject.items()) {
    aOut << fmt::format(
      "{}  {}\n", Pad(item.key(), width), CellText(item.value()));
  }
}

void PrintJson(std::ostream& aOut, const json& aValue)
{
  aOut << aValue.dump(kIndent) << "\n";
}

} // namespace flamingoloom::cli
