// Decoding of JSON that other programs wrote.
//
//   const auto port = json::Decode<int>("read entry", key, text,
//     [](const json::Json& aJson) {
//       return json::IntegerField(aJson, "port", 80, 1, 65535);
//     });
//
// Any bytes give a value or an error that names the step, the peer and the
// reason. Depth and numbers are bounded before a value is used, since
// converting a number that its type cannot hold is undefined. All functions are
// thread-safe.
#pragma once

#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <utility>

#include <nlohmann/json.hpp>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::json {

using Json = nlohmann::json;

// Deeper than any document that the project reads.
inline constexpr int kMaxDepth = 32;
// Up to this magnitude each integer has its own double value, and a conversion
// to std::int64_t is exact.
inline constexpr double kMaxNumber = 9007199254740992.0; // 2^53
// Longest duration that a field may hold. Sums of such durations and a time do
// not overflow.
inline constexpr double kMaxMilliseconds = 10.0 * 365 * 24 * 3600 * 1000;

// A value that is well-formed JSON but out of its bounds. Decode makes it an
// error.
class BoundError : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

// Parses aText. Throws BoundError for a document that is too deep or has a
// number that is too large, and an exception of the JSON library if it is
// malformed.
Json ParseBounded(const std::string& aText);

// Parses aText and runs aDecode on it. Exceptions of the JSON library and
// BoundError become errors with the code eInvalid; aDecode may also return an
// error itself.
template <class T, class Decoder>
base::Expected<T> Decode(const char* aStep,
                         const std::string& aPeer,
                         const std::string& aText,
                         Decoder aDecode)
{
  const auto invalid = [&](const std::exception& aError) {
    return base::MakeError(
      base::ErrorCode::eInvalid, aStep, aPeer, aError.what());
  };
  try {
    return aDecode(ParseBounded(aText));
  } catch (const Json::exception& error) {
    return invalid(error);
  } catch (const BoundError& error) {
    return invalid(error);
  }
}

// Returns aValue as an integer. Throws BoundError if it is not within aMin and
// aMax, and an exception of the JSON library if it is not a number.
template <class T = std::int64_t>
T Integer(const Json& aValue,
          const char* aName,
          T aMin = 0,
          T aMax = std::numeric_limits<T>::max())
{
  static_assert(std::is_integral_v<T>);
  const auto value = aValue.get<std::int64_t>();
  if (!std::in_range<T>(value) || static_cast<T>(value) < aMin ||
      static_cast<T>(value) > aMax) {
    throw BoundError(std::string(aName) + " is out of range");
  }
  return static_cast<T>(value);
}

// As Integer, for the field aName of aObject; aDefault if there is no such
// field. Throws BoundError if aObject is not an object.
template <class T = std::int64_t>
T IntegerField(const Json& aObject,
               const char* aName,
               T aDefault,
               T aMin = 0,
               T aMax = std::numeric_limits<T>::max())
{
  if (!aObject.is_object()) {
    throw BoundError(std::string("no object with ") + aName);
  }
  const auto field = aObject.find(aName);
  return field == aObject.end() ? aDefault
                                : Integer<T>(*field, aName, aMin, aMax);
}

// aMilliseconds as a duration. Throws BoundError if it is negative or above
// kMaxMilliseconds.
base::Duration Milliseconds(double aMilliseconds, const char* aName);

// The field aName of aObject, a number of milliseconds, or aDefault if there is
// no such field. Throws like Integer if it is negative or above
// kMaxMilliseconds.
base::Duration MillisecondsField(const Json& aObject,
                                 const char* aName,
                                 double aDefault);

} // namespace flamingoloom::json
