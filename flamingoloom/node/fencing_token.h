// The token that each call to a backend server carries. A server remembers the
// highest token that it has seen and executes no call with a lower one.
//
// The epoch fences the calls of earlier leaders, the generation those that the
// same leader has sent to earlier incarnations of the server:
//
//   FencingToken{ 7, 1 } < FencingToken{ 7, 2 }
//   FencingToken{ 7, 2 } < FencingToken{ 8, 0 }
#pragma once

#include <compare>
#include <cstdint>

namespace flamingoloom::node {

struct FencingToken
{
  std::int64_t mEpoch = 0;
  // Rises within an epoch; below kMaxGenerations.
  std::int64_t mGeneration = 0;

  friend auto operator<=>(const FencingToken&, const FencingToken&) = default;
};

inline constexpr std::int64_t kMaxGenerations = 1'000'000;

} // namespace flamingoloom::node
