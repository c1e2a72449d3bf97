#include "flamingoloom/json/decode.h"

#include <cmath>

namespace flamingoloom::json {

namespace internal {

bool CheckBounds(int aDepth, Json::parse_event_t aEvent, Json& aValue)
{
  if (aDepth > kMaxDepth) {
    throw BoundError("nested too deeply");
  }
  if (aEvent == Json::parse_event_t::value && aValue.is_number() &&
      std::abs(aValue.get<double>()) > kMaxNumber) {
    throw BoundError("a number is too large");
  }
  return true;
}

} // namespace internal

base::Duration MillisecondsField(const Json& aObject,
                                 const char* aName,
                                 double aDefault)
{
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  const double value = aObject.value(aName, aDefault);
  if (value < 0 || value > kMaxMilliseconds) {
    throw BoundError(std::string(aName) + " is out of range");
  }
  return base::Duration(
    static_cast<std::int64_t>(value * kMicrosecondsPerMillisecond));
}

} // namespace flamingoloom::json
