#include "flamingoloom/scheduler/account_rates.h"

#include <algorithm>
#include <chrono>

namespace flamingoloom::scheduler {

AccountRates::AccountRates(base::Duration aWindow)
  : mWindowSeconds(std::chrono::duration<double>(aWindow).count())
{
}

void AccountRates::SetRate(const base::AccountId& aAccount,
                           double aJobsPerSecond)
{
  mBuckets[aAccount].mRate = aJobsPerSecond;
}

bool AccountRates::IsBeyond(const base::AccountId& aAccount,
                            std::int64_t aAcceptedMs)
{
  constexpr double kMillisecondsInSecond = 1000.0;
  const auto entry = mBuckets.find(aAccount);
  if (entry == mBuckets.end() || entry->second.mRate <= 0) {
    return false;
  }
  Bucket& bucket = entry->second;
  const double capacity = std::max(1.0, bucket.mRate * mWindowSeconds);
  if (bucket.mFilledMs == 0) {
    bucket.mTokens = capacity;
    bucket.mFilledMs = aAcceptedMs;
  }
  const auto elapsed =
    std::max<std::int64_t>(0, aAcceptedMs - bucket.mFilledMs);
  bucket.mFilledMs += elapsed;
  bucket.mTokens =
    std::min(capacity,
             bucket.mTokens + bucket.mRate * static_cast<double>(elapsed) /
                                kMillisecondsInSecond);
  if (bucket.mTokens < 1.0) {
    return true;
  }
  bucket.mTokens -= 1.0;
  return false;
}

void AccountRates::Reset()
{
  for (auto& [account, bucket] : mBuckets) {
    bucket.mTokens = 0;
    bucket.mFilledMs = 0;
  }
}

} // namespace flamingoloom::scheduler
