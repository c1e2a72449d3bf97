#include "testing/real_cluster/processor_quotas.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <optional>

namespace flamingoloom::testing::real_cluster {

using std::chrono::nanoseconds;

namespace {

constexpr std::chrono::milliseconds kLookInterval{ 2 };

// Of all threads of a process. Its clock counts the same time as /proc/PID/stat
// but in nanoseconds instead of hundredths of a second.
std::optional<nanoseconds> ProcessorTime(pid_t aProcess)
{
  clockid_t clock{};
  timespec time{};
  if (clock_getcpuclockid(aProcess, &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    return {};
  }
  return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

nanoseconds QuotaOf(double aShare)
{
  return std::chrono::duration_cast<nanoseconds>(ProcessorQuotas::kPeriod *
                                                 aShare);
}

} // namespace

ProcessorQuotas::ProcessorQuotas(boost::asio::io_context& aLoop)
  : mTimer(aLoop)
  , mPeriodEnd(std::chrono::steady_clock::now() + kPeriod)
  , mLastLook(std::chrono::steady_clock::now())
{
  Look();
}

void ProcessorQuotas::Add(pid_t aProcess, double aShare)
{
  mLimits[aProcess] = { aShare,
                        ProcessorTime(aProcess).value_or(nanoseconds(0)),
                        QuotaOf(aShare),
                        false };
}

void ProcessorQuotas::Remove(pid_t aProcess)
{
  mLimits.erase(aProcess);
}

nanoseconds ProcessorQuotas::TakeLongestGap()
{
  return std::exchange(mLongestGap, nanoseconds(0));
}

void ProcessorQuotas::Look()
{
  const auto now = std::chrono::steady_clock::now();
  mLongestGap = std::max<nanoseconds>(mLongestGap, now - mLastLook);
  mLastLook = now;
  const auto periods = now < mPeriodEnd ? 0 : (now - mPeriodEnd) / kPeriod + 1;
  mPeriodEnd += periods * kPeriod;
  for (auto& [process, limit] : mLimits) {
    const auto used = ProcessorTime(process);
    if (!used) {
      continue;
    }
    if (periods > 0) {
      const auto quota = QuotaOf(limit.mShare);
      const auto left = limit.mQuota - (*used - limit.mUsedBefore);
      limit.mQuota = std::min(quota, left + periods * quota);
      limit.mUsedBefore = *used;
    }
    const bool stop = *used - limit.mUsedBefore >= limit.mQuota;
    if (stop != limit.mStopped) {
      limit.mStopped = stop;
      kill(process, stop ? SIGSTOP : SIGCONT);
    }
  }
  mTimer.expires_after(kLookInterval);
  mTimer.async_wait([this](auto aError) {
    if (!aError) {
      Look();
    }
  });
}

} // namespace flamingoloom::testing::real_cluster
