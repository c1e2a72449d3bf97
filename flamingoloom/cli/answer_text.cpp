#include "flamingoloom/cli/answer_text.h"

#include <charconv>
#include <cmath>

#include "flamingoloom/config/duration_text.h"

namespace flamingoloom::cli {
namespace {

using config::AnswerType;
using nlohmann::json;

constexpr char kNone[] = "none";

std::optional<json> ParseYesNo(std::string_view aText)
{
  if (aText == "yes" || aText == "y") {
    return true;
  }
  if (aText == "no" || aText == "n") {
    return false;
  }
  return std::nullopt;
}

// std::from_chars accepts "nan" and "inf", which JSON cannot represent.
bool IsNumber(double aValue)
{
  return std::isfinite(aValue);
}

template <class T>
std::optional<json> ParseNumber(std::string_view aText)
{
  T number{};
  const char* end = aText.data() + aText.size();
  auto [next, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || next != end || !IsNumber(number)) {
    return std::nullopt;
  }
  return number;
}

std::optional<json> ParseMilliseconds(std::string_view aText)
{
  auto duration = config::ParseDuration(aText);
  if (!duration) {
    return std::nullopt;
  }
  return base::ToMilliseconds(*duration);
}

} // namespace

std::optional<json> ParseAnswer(AnswerType aType, std::string_view aText)
{
  switch (aType) {
    case AnswerType::eName:
    case AnswerType::eText:
      if (aText.empty()) {
        return std::nullopt;
      }
      return std::string(aText);
    case AnswerType::eDigest:
      return std::string(aText == kNone ? "" : aText);
    case AnswerType::eYesNo:
      return ParseYesNo(aText);
    case AnswerType::eCount:
    case AnswerType::eSize:
      return ParseNumber<int>(aText);
    case AnswerType::eLimit:
      return aText == kNone ? std::optional<json>(json(nullptr))
                            : ParseNumber<int>(aText);
    case AnswerType::eDuration:
      return ParseMilliseconds(aText);
    case AnswerType::ePercent:
      return ParseNumber<double>(aText);
  }
  return std::nullopt;
}

std::string AnswerText(AnswerType aType, const json& aValue)
{
  if (aType == AnswerType::eYesNo) {
    return aValue.get<bool>() ? "yes" : "no";
  }
  if (aType == AnswerType::eDuration) {
    return config::DurationText(
      std::chrono::milliseconds(aValue.get<long long>()));
  }
  const auto text =
    aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
  return aValue.is_null() || text.empty() ? kNone : text;
}

std::string_view AnswerForm(AnswerType aType)
{
  switch (aType) {
    case AnswerType::eName:
      return "a name of letters, digits, '.', '_' or '-'";
    case AnswerType::eText:
      return "a text";
    case AnswerType::eYesNo:
      return "yes or no";
    case AnswerType::eCount:
    case AnswerType::eSize:
      return "a whole number";
    case AnswerType::eLimit:
      return "a whole number or \"none\"";
    case AnswerType::eDuration:
      return "a whole number and a unit (ms, s, min, h, d), such as \"500 ms\"";
    case AnswerType::ePercent:
      return "a percentage, such as 99 or 99.5";
    case AnswerType::eDigest:
      return "64 lower-case hexadecimal digits, or \"none\"";
  }
  return "";
}

} // namespace flamingoloom::cli
