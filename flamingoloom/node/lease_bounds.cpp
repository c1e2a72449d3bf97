#include "flamingoloom/node/lease_bounds.h"

#include <algorithm>

#include "flamingoloom/json/decode.h"
#include "flamingoloom/node/election.h"

namespace flamingoloom::node {

using json::Json;

std::string EncodeLeaseBounds(const LeaseBounds& aBounds)
{
  Json servers = Json::object();
  for (const auto& [server, ms] : aBounds.mServersMs) {
    servers[server.Value()] = ms;
  }
  Json row{ { "epoch", aBounds.mEpoch }, { "servers", std::move(servers) } };
  if (aBounds.mOthersMs) {
    row["others"] = *aBounds.mOthersMs;
  }
  return row.dump(-1, ' ', false, Json::error_handler_t::replace);
}

base::Expected<LeaseBounds> DecodeLeaseBounds(const std::string& aValue)
{
  return json::Decode<LeaseBounds>(
    "read lease bounds", kLeaseBoundsKey, aValue, [](const Json& aJson) {
      LeaseBounds bounds;
      bounds.mEpoch = json::Integer(aJson.at("epoch"), "epoch");
      if (aJson.contains("others")) {
        bounds.mOthersMs = json::Integer(aJson.at("others"), "others");
      }
      const Json& servers = aJson.at("servers");
      if (!servers.is_object()) {
        throw json::BoundError("servers is no object");
      }
      for (const auto& [server, ms] : servers.items()) {
        bounds.mServersMs.emplace(base::ServerId(server),
                                  json::Integer(ms, "servers"));
      }
      return bounds;
    });
}

scheduler::EarlierLeases ToEarlierLeases(const LeaseBounds& aRow,
                                         std::int64_t aEpoch,
                                         std::int64_t aStoreMs,
                                         base::Time aArrivedAt,
                                         base::Time aDefault)
{
  scheduler::EarlierLeases leases(aDefault);
  if (aRow.mEpoch != aEpoch - 1) {
    return leases;
  }
  const auto toLocal = [&](std::int64_t aMs) {
    const std::chrono::milliseconds left(
      std::max<std::int64_t>(0, aMs - aStoreMs));
    return std::min(aDefault,
                    aArrivedAt + std::chrono::duration_cast<base::Duration>(
                                   left * kClockSlack));
  };
  if (aRow.mOthersMs) {
    leases = scheduler::EarlierLeases(toLocal(*aRow.mOthersMs));
  }
  for (const auto& [server, ms] : aRow.mServersMs) {
    leases.SetExpiry(server, toLocal(ms));
  }
  return leases;
}

} // namespace flamingoloom::node
