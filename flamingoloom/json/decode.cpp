#include "flamingoloom/json/decode.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace flamingoloom::json {

namespace {

constexpr char kNumberCharacters[] = "0123456789+-.eE";
// A number of so many characters without an exponent is below kMaxNumber.
constexpr std::size_t kShortNumberLength = 15;

bool IsNumberTooLarge(const std::string& aNumber)
{
  const bool isShort = aNumber.size() <= kShortNumberLength &&
                       aNumber.find_first_of("eE") == std::string::npos;
  return !isShort &&
         !(std::abs(std::strtod(aNumber.c_str(), nullptr)) <= kMaxNumber);
}

// The position after the string that begins at aStart.
std::size_t SkipString(const std::string& aText, std::size_t aStart)
{
  for (auto i = aStart + 1; i < aText.size(); ++i) {
    if (aText[i] == '\\') {
      ++i;
    } else if (aText[i] == '"') {
      return i + 1;
    }
  }
  return aText.size();
}

// Throws BoundError if aText exceeds a bound. Syntax is left to the parser; the
// parser's callback for each element would take quadratic time in the length of
// an array.
void CheckBounds(const std::string& aText)
{
  int depth = 0;
  for (std::size_t i = 0; i < aText.size();) {
    const char c = aText[i];
    if (c == '"') {
      i = SkipString(aText, i);
      continue;
    }
    if (c == '-' || (c >= '0' && c <= '9')) {
      const auto end =
        std::min(aText.find_first_not_of(kNumberCharacters, i), aText.size());
      if (IsNumberTooLarge(aText.substr(i, end - i))) {
        throw BoundError("a number is too large");
      }
      i = end;
      continue;
    }
    if (c == '[' || c == '{') {
      if (++depth > kMaxDepth) {
        throw BoundError("nested too deeply");
      }
    } else if (c == ']' || c == '}') {
      --depth;
    }
    ++i;
  }
}

} // namespace

Json ParseBounded(const std::string& aText)
{
  CheckBounds(aText);
  return Json::parse(aText);
}

base::Duration Milliseconds(double aMilliseconds, const char* aName)
{
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  // Written so that it holds for no value that is not a number.
  if (!(aMilliseconds >= 0 && aMilliseconds <= kMaxMilliseconds)) {
    throw BoundError(std::string(aName) + " is out of range");
  }
  return base::Duration(
    static_cast<std::int64_t>(aMilliseconds * kMicrosecondsPerMillisecond));
}

base::Duration MillisecondsField(const Json& aObject,
                                 const char* aName,
                                 double aDefault)
{
  return Milliseconds(aObject.value(aName, aDefault), aName);
}

} // namespace flamingoloom::json
