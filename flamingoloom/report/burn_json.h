// JSON form of the burn counts of one instance. Instances exchange it as the
// response to a status query for the topic "burn".
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "flamingoloom/base/error.h"
#include "flamingoloom/report/burn.h"

namespace flamingoloom::report {

// Peers close a connection when they receive a message above 1 MiB
// (peer::PeerSettings::mMaxMessageBytes), so the text must stay below that.
inline constexpr std::size_t kMaxEncodedBytes = std::size_t{ 768 } << 10;

struct InstanceBurn
{
  BurnCounts mCounts;
  // Time since the instance started to count.
  base::Duration mCountingFor{};
  // When set, the newest bucket of each window holds the total of the window,
  // because the buckets did not fit into a message.
  bool mTotalsOnly = false;

  friend bool operator==(const InstanceBurn&, const InstanceBurn&) = default;
};

// Encodes all buckets, or only the totals when the text with all buckets would
// exceed kMaxEncodedBytes.
std::string EncodeBurn(const InstanceBurn& aBurn);

// Fails with eInvalid when the text is malformed or has more than kMaxPairs
// pairs.
base::Expected<InstanceBurn> DecodeBurn(const std::string& aText);

// Encodes each non-empty bucket as [age, in time, ended].
nlohmann::json HistoryToJson(const History& aHistory);
// Throws nlohmann::json::exception or std::out_of_range when aJson is
// malformed.
History HistoryFromJson(const nlohmann::json& aJson);

} // namespace flamingoloom::report
