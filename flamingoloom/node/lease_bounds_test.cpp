#include "flamingoloom/node/lease_bounds.h"

#include <doctest/doctest.h>

namespace flamingoloom::node {
namespace {

using base::ServerId;
using base::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

const LeaseBounds kBounds{ 7,
                           200'000,
                           { { ServerId("s 1"), 101'000 },
                             { ServerId("s2"), 90'000 } } };
constexpr Time kArrived{ seconds(50) };
constexpr Time kDefault{ seconds(62) };

TEST_CASE("Lease bounds are the same after encoding and decoding")
{
  CHECK(*DecodeLeaseBounds(EncodeLeaseBounds(kBounds)) == kBounds);
  const LeaseBounds empty{ 1, std::nullopt, {} };
  CHECK(*DecodeLeaseBounds(EncodeLeaseBounds(empty)) == empty);
}

TEST_CASE("Lease bounds that cannot be read give an error")
{
  for (const char* value : { "",
                             "[]",
                             "{}",
                             R"({"epoch":"x","servers":{}})",
                             R"({"epoch":1e300,"servers":{}})",
                             R"({"epoch":1,"servers":{"s":"x"}})",
                             R"({"epoch":1,"servers":[1]})",
                             R"({"epoch":-1,"servers":{}})" }) {
    INFO(value);
    CHECK(!DecodeLeaseBounds(value));
  }
}

// Guards against work that is started twice: bounds of an older leader say
// nothing of the leases that the one after it has granted.
TEST_CASE("Lease bounds count only if the direct predecessor wrote them")
{
  const auto after = [](std::int64_t aEpoch) {
    return ToEarlierLeases(kBounds, aEpoch, 100'000, kArrived, kDefault);
  };
  for (const std::int64_t epoch : { 7, 9, 100 }) {
    CHECK(after(epoch).ExpireBy(ServerId("s2")) == kDefault);
    CHECK(after(epoch).ExpireBy(ServerId("other")) == kDefault);
  }
  CHECK(after(8).ExpireBy(ServerId("s2")) == kArrived);
  // The store's clock may be 2% slow.
  CHECK(after(8).ExpireBy(ServerId("s 1")) == kArrived + milliseconds(1020));
  CHECK(after(8).ExpireBy(ServerId("other")) == kDefault);
}

TEST_CASE("Other servers have the default bound unless leadership was released")
{
  auto bounds = kBounds;
  bounds.mOthersMs = 103'000;
  CHECK(ToEarlierLeases(bounds, 8, 100'000, kArrived, kDefault)
          .ExpireBy(ServerId("other")) == kArrived + milliseconds(3060));
  bounds.mOthersMs.reset();
  CHECK(ToEarlierLeases(bounds, 8, 100'000, kArrived, kDefault)
          .ExpireBy(ServerId("other")) == kDefault);
}

} // namespace
} // namespace flamingoloom::node
