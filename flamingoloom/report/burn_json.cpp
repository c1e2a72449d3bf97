#include "flamingoloom/report/burn_json.h"

#include <stdexcept>

namespace flamingoloom::report {
namespace {

using nlohmann::json;

json PairToJson(const PairKey& aKey, const Windows& aWindows)
{
  json windows = json::array();
  for (const History& history : aWindows) {
    windows.push_back(HistoryToJson(history));
  }
  return { { "account", aKey.first.Value() },
           { "kind", aKey.second.Value() },
           { "windows", std::move(windows) } };
}

Windows WindowsFromJson(const json& aJson)
{
  Windows windows{};
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    windows[i] = HistoryFromJson(aJson.at(i));
  }
  return windows;
}

InstanceBurn BurnFromJson(const json& aJson)
{
  InstanceBurn burn;
  burn.mCountingFor =
    std::chrono::milliseconds(aJson.at("countingForMs").get<std::int64_t>());
  burn.mTotalsOnly = aJson.at("totalsOnly").get<bool>();
  burn.mCounts.mNotCounted = aJson.at("notCounted").get<std::uint64_t>();
  const json& pairs = aJson.at("pairs");
  if (pairs.size() > kMaxPairs) {
    throw std::out_of_range("too many pairs");
  }
  for (const json& pair : pairs) {
    PairKey key(base::AccountId(pair.at("account").get<std::string>()),
                base::KindId(pair.at("kind").get<std::string>()));
    burn.mCounts.mPairs[key] = WindowsFromJson(pair.at("windows"));
  }
  return burn;
}

InstanceBurn TotalsOf(const InstanceBurn& aBurn)
{
  InstanceBurn totals = aBurn;
  totals.mTotalsOnly = true;
  for (auto& [key, windows] : totals.mCounts.mPairs) {
    for (History& history : windows) {
      CompletionCounts total = Total(history);
      history = {};
      history[0] = total;
    }
  }
  return totals;
}

std::string Serialize(const InstanceBurn& aBurn)
{
  json pairs = json::array();
  for (const auto& [key, windows] : aBurn.mCounts.mPairs) {
    pairs.push_back(PairToJson(key, windows));
  }
  json document = { { "countingForMs",
                      base::ToMilliseconds(aBurn.mCountingFor) },
                    { "notCounted", aBurn.mCounts.mNotCounted },
                    { "totalsOnly", aBurn.mTotalsOnly },
                    { "pairs", std::move(pairs) } };
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

json HistoryToJson(const History& aHistory)
{
  json buckets = json::array();
  for (std::size_t age = 0; age < aHistory.size(); ++age) {
    const CompletionCounts& counts = aHistory[age];
    if (counts.mEnded > 0) {
      buckets.push_back({ age, counts.mInTime, counts.mEnded });
    }
  }
  return buckets;
}

History HistoryFromJson(const json& aJson)
{
  History history{};
  for (const json& bucket : aJson) {
    history.at(bucket.at(0).get<std::size_t>()) = {
      bucket.at(1).get<std::uint32_t>(), bucket.at(2).get<std::uint32_t>()
    };
  }
  return history;
}

std::string EncodeBurn(const InstanceBurn& aBurn)
{
  std::string text = Serialize(aBurn);
  return text.size() <= kMaxEncodedBytes ? text : Serialize(TotalsOf(aBurn));
}

base::Expected<InstanceBurn> DecodeBurn(const std::string& aText)
{
  try {
    return BurnFromJson(json::parse(aText));
  } catch (const std::exception& error) {
    return base::MakeError(
      base::ErrorCode::eInvalid, "read burn counts", "peer", error.what());
  }
}

} // namespace flamingoloom::report
