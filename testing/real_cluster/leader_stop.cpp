#include "testing/real_cluster/leader_stop.h"

#include <cctype>
#include <chrono>
#include <string_view>

namespace flamingoloom::testing::real_cluster {
namespace {

constexpr auto kTimeout = std::chrono::milliseconds(1000);

base::Time Now()
{
  return base::Time(std::chrono::duration_cast<base::Duration>(
    std::chrono::steady_clock::now().time_since_epoch()));
}

// Precondition: aText is Base64.
std::string DecodeBase64(const std::string& aText)
{
  constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  constexpr unsigned kDigitBits = 6;
  constexpr unsigned kByteBits = 8;
  std::string bytes;
  unsigned pending = 0;
  unsigned bits = 0;
  for (const char digit : aText.substr(0, aText.find('='))) {
    pending =
      (pending << kDigitBits) | static_cast<unsigned>(kDigits.find(digit));
    bits += kDigitBits;
    if (bits >= kByteBits) {
      bits -= kByteBits;
      bytes += static_cast<char>(pending >> bits);
      pending &= (1U << bits) - 1;
    }
  }
  return bytes;
}

// The holder's id begins with the name of its instance.
bool IsHolder(const std::string& aRow, const std::string& aInstance)
{
  return aRow.starts_with(aInstance) &&
         (aRow.size() == aInstance.size() ||
          std::isdigit(static_cast<unsigned char>(aRow[aInstance.size()])) ==
            0);
}

} // namespace

LeaderStop::LeaderStop(review::Runtime& aRuntime, std::string aStoreAddress)
  : mRuntime(aRuntime)
  , mStoreAddress(std::move(aStoreAddress))
  , mClient(aRuntime.Loop(), {}, Now)
{
}

void LeaderStop::Stop(InstanceProcesses& aInstances, double aDownMs)
{
  mClient.Call(
    mStoreAddress,
    { "GET", "/rows-get?table=lead&part=scheduler&from=renewal", {}, "" },
    kTimeout,
    [this, &aInstances, aDownMs](const base::Expected<http::Response>& aRows) {
      if (!aRows || aRows->mStatus != 200) {
        mRuntime.Record(
          "the leader is not known: " +
          (aRows ? std::to_string(aRows->mStatus) : aRows.error().ToString()));
        return;
      }
      const auto body = review::Json::parse(aRows->mBody);
      for (const auto& row : body.at("rows")) {
        for (std::size_t i = 0; i < aInstances.Count(); ++i) {
          if (row.at("key") == "renewal" &&
              IsHolder(DecodeBase64(row.at("value")), aInstances.Name(i))) {
            mRuntime.Record("the leader is " + aInstances.Name(i));
            aInstances.Terminate(i, aDownMs);
          }
        }
      }
    });
}

} // namespace flamingoloom::testing::real_cluster
