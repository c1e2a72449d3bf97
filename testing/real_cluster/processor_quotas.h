// Holds processes to a share of a core, as a quota for each tenth of a second:
// a process runs at full speed until the quota of the period is used up, and is
// then stopped by SIGSTOP until the next period. What it used beyond the quota
// is taken from the next periods. Only for processes that this one has started
// and not yet waited for. Not thread-safe.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace flamingoloom::testing::real_cluster {

class ProcessorQuotas
{
public:
  static constexpr std::chrono::milliseconds kPeriod{ 100 };

  explicit ProcessorQuotas(boost::asio::io_context& aLoop);

  // Limits a process from now on. aShare is in cores and above zero.
  void Add(pid_t aProcess, double aShare);
  // Forgets a process, which must happen before its end is waited for and
  // before others stop it. It stays stopped if it is stopped.
  void Remove(pid_t aProcess);
  // The longest time between two looks at the processes since the last call.
  std::chrono::nanoseconds TakeLongestGap();

private:
  struct Limit
  {
    double mShare = 0;
    // Processor time that the process had used when the period began.
    std::chrono::nanoseconds mUsedBefore{ 0 };
    // What it may use in the period.
    std::chrono::nanoseconds mQuota{ 0 };
    bool mStopped = false;
  };

  void Look();

  boost::asio::steady_timer mTimer;
  std::map<pid_t, Limit> mLimits;
  std::chrono::steady_clock::time_point mPeriodEnd;
  std::chrono::steady_clock::time_point mLastLook;
  std::chrono::nanoseconds mLongestGap{ 0 };
};

} // namespace flamingoloom::testing::real_cluster
