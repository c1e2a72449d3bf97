#include "testing/real_cluster/processor_quotas.h"

#include <atomic>
#include <csignal>
#include <ctime>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <doctest/doctest.h>

namespace flamingoloom::testing::real_cluster {
namespace {

using namespace std::chrono_literals;

// A process that uses a whole core.
struct BusyProcess
{
  BusyProcess()
    : mId(fork())
  {
    if (mId == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      std::atomic<int> count = 0;
      for (;;) {
        ++count;
      }
    }
  }

  ~BusyProcess()
  {
    kill(mId, SIGKILL);
    waitpid(mId, nullptr, 0);
  }

  std::chrono::duration<double> Used() const
  {
    clockid_t clock{};
    timespec time{};
    REQUIRE(clock_getcpuclockid(mId, &clock) == 0);
    REQUIRE(clock_gettime(clock, &time) == 0);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  }

  bool IsStopped() const
  {
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(mId), &info, WSTOPPED | WNOHANG | WNOWAIT);
    return info.si_pid == mId;
  }

  pid_t mId;
};

TEST_CASE("a busy process keeps to its share within a tenth")
{
  for (const double share : { 0.12, 0.5 }) {
    CAPTURE(share);
    boost::asio::io_context loop;
    ProcessorQuotas quotas(loop);
    const BusyProcess process;
    quotas.Add(process.mId, share);
    const auto before = process.Used();
    loop.run_for(2s);
    const double used = (process.Used() - before) / 2s;
    CHECK(used > share * 0.9);
    CHECK(used < share * 1.1);
  }
}

TEST_CASE("a process is stopped only once its quota is used up, and goes on")
{
  constexpr auto kQuota = ProcessorQuotas::kPeriod * 12 / 100;
  boost::asio::io_context loop;
  ProcessorQuotas quotas(loop);
  const BusyProcess process;
  const auto before = process.Used();
  quotas.Add(process.mId, 0.12);
  const auto await = [&](bool aStopped) {
    const auto end = std::chrono::steady_clock::now() + 2s;
    while (process.IsStopped() != aStopped &&
           std::chrono::steady_clock::now() < end) {
      loop.run_for(1ms);
    }
    return process.IsStopped() == aStopped;
  };
  REQUIRE(await(true));
  CHECK((process.Used() - before) >= kQuota);
  const auto used = process.Used();
  REQUIRE(await(false));
  REQUIRE(await(true));
  CHECK(process.Used() > used);
}

TEST_CASE("a process that was removed isn't continued")
{
  boost::asio::io_context loop;
  ProcessorQuotas quotas(loop);
  const BusyProcess process;
  quotas.Add(process.mId, 0.12);
  loop.run_for(150ms);
  quotas.Remove(process.mId);
  kill(process.mId, SIGSTOP);
  loop.run_for(50ms);
  const auto before = process.Used();
  loop.run_for(300ms);
  CHECK(process.Used() == before);
}

} // namespace
} // namespace flamingoloom::testing::real_cluster
