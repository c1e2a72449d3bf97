#include "flamingoloom/json/decode.h"

#include <doctest/doctest.h>

namespace flamingoloom::json {
namespace {

base::Expected<int> ReadPort(const std::string& aText)
{
  return Decode<int>("read", "peer", aText, [](const Json& aJson) {
    return IntegerField<int>(aJson, "port", 80, 1, 65535);
  });
}

TEST_CASE("Integers outside of their bounds are errors")
{
  CHECK(ReadPort("{}") == 80);
  CHECK(ReadPort(R"({"port":65535})") == 65535);
  for (const std::string number : { "0",
                                    "65536",
                                    "-1",
                                    "4294967376",
                                    "1e300",
                                    "1e999",
                                    "18446744073709551616",
                                    "\"80\"",
                                    "null",
                                    "[]" }) {
    INFO(number);
    const auto read = ReadPort(R"({"port":)" + number + "}");
    REQUIRE(!read);
    CHECK(read.error().mCode == base::ErrorCode::eInvalid);
  }
  CHECK(!ReadPort("[]"));
  CHECK(!ReadPort(""));
}

TEST_CASE("Documents that are nested too deeply are errors")
{
  const auto decode = [](int aDepth) {
    const auto depth = static_cast<std::size_t>(aDepth);
    return Decode<bool>("read",
                        "peer",
                        std::string(depth, '[') + std::string(depth, ']'),
                        [](const Json&) { return true; });
  };
  CHECK(decode(kMaxDepth));
  CHECK(!decode(kMaxDepth + 2));
  CHECK(!decode(1'000'000));
}

TEST_CASE("Durations outside of their bounds are errors")
{
  const auto read = [](const std::string& aText) {
    return Decode<base::Duration>("read", "peer", aText, [](const Json& aJson) {
      return MillisecondsField(aJson, "wait", 3);
    });
  };
  CHECK(read("{}") == std::chrono::milliseconds(3));
  CHECK(read(R"({"wait":1.5})") == std::chrono::microseconds(1500));
  CHECK(!read(R"({"wait":-1})"));
  CHECK(!read(R"({"wait":1e12})"));
}

} // namespace
} // namespace flamingoloom::json
