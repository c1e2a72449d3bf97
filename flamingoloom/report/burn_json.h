// The counts of one instance as JSON, in which instances exchange them under
// the status topic "burn".
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "flamingoloom/base/error.h"
#include "flamingoloom/report/burn.h"

namespace flamingoloom::report {

// Instances end a connection on a message above 1 MiB
// (peer::PeerSettings::mMaxMessageBytes), so the text stays below.
inline constexpr std::size_t kMostEncodedBytes = std::size_t{ 768 } << 10;

struct InstanceBurn
{
  BurnCounts mCounts;
  // Since the instance started to count.
  base::Duration mCountingFor{};
  // Each window's total is in its newest bucket, because the buckets did not
  // fit into a message.
  bool mTotalsOnly = false;

  friend bool operator==(const InstanceBurn&, const InstanceBurn&) = default;
};

// Encodes the totals only when the buckets exceed kMostEncodedBytes.
std::string EncodeBurn(const InstanceBurn& aBurn);

// Fails with eInvalid for text of another form, which includes more than
// kMostPairs pairs.
base::Expected<InstanceBurn> DecodeBurn(const std::string& aText);

// Non-empty buckets as [age, in time, ended].
nlohmann::json HistoryToJson(const History& aHistory);
// Throws a nlohmann::json::exception or std::out_of_range for another form.
History HistoryFromJson(const nlohmann::json& aJson);

} // namespace flamingoloom::report
