#include <doctest/doctest.h>

#include "flamingoloom/config/duration_text.h"

namespace flamingoloom::config {

using namespace std::chrono_literals;

// Guards against a formatted duration that differs from the value, for example
// because it is rounded to a larger unit.
TEST_CASE("durations are formatted in whole units")
{
  CHECK(DurationText(500ms) == "500 ms");
  CHECK(DurationText(1500ms) == "1500 ms");
  CHECK(DurationText(90s) == "90 s");
  CHECK(DurationText(90min) == "90 min");
  CHECK(DurationText(24h) == "1 d");
  CHECK(DurationText(1us) == "1 us");
  CHECK(DurationText(0us) == "0 ms");
}

// Guards against a text without a unit or with an unknown one that is accepted
// with an assumed unit, so that the duration is wrong by orders of magnitude.
TEST_CASE("durations need a whole number and a unit")
{
  CHECK(ParseDuration("500 ms") == 500ms);
  CHECK(ParseDuration(" 4h ") == 4h);
  CHECK(ParseDuration("365 d") == 365 * 24h);
  for (const char* text :
       { "", "500", "ms", "-1 s", "1.5 h", "1 week", "366 d", "1 h 30 min" }) {
    CHECK(!ParseDuration(text));
  }
}

// Guards against a formatted duration that ParseDuration rejects. The
// questionnaire offers earlier answers as defaults in this form, and the
// operator could then not accept the default.
TEST_CASE("a formatted duration can be parsed")
{
  for (base::Duration duration : { base::Duration(1ms),
                                   base::Duration(61s),
                                   base::Duration(25h),
                                   base::Duration(7 * 24h) }) {
    CHECK(ParseDuration(DurationText(duration)) == duration);
  }
}

} // namespace flamingoloom::config
