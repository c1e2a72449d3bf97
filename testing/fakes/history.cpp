#include "testing/fakes/history.h"

#include <algorithm>

#include <fmt/format.h>

namespace flamingoloom::testing::fakes {

const config::JobKind* History::Kind(const base::KindId& aId) const
{
  auto found = std::ranges::find(mKinds, aId, &config::JobKind::mId);
  return found == mKinds.end() ? nullptr : &*found;
}

// FNV-1a with a final mix, because the hashes of short texts differ in the low
// bits only.
std::uint64_t HashOf(std::string_view aText, std::uint64_t aSeed)
{
  std::uint64_t hash = 0xcbf29ce484222325 ^ aSeed;
  for (char c : aText) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  }
  hash = (hash ^ (hash >> 33)) * 0xff51afd7ed558ccd;
  return hash ^ (hash >> 33);
}

std::string AnswerOf(const base::RequestId& aRequest, std::string_view aPayload)
{
  std::string text =
    fmt::format("{}/{} {}", aRequest.mAccount.Value(), aRequest.mKey, aPayload);
  std::uint64_t hash = HashOf(text, 0);
  std::string block = fmt::format("{:016x}:{};", hash, text);
  // One answer in eight exceeds the 4 KiB that a record may hold, so that it is
  // stored as an object.
  constexpr std::size_t kLargeBytes = 8500;
  std::string answer = block;
  while (hash % 8 == 0 && answer.size() < kLargeBytes) {
    answer += block;
  }
  return answer;
}

} // namespace flamingoloom::testing::fakes
