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

TEST_CASE("a process runs at full speed until its quota is used up")
{
  boost::asio::io_context loop;
  ProcessorQuotas quotas(loop);
  const BusyProcess process;
  const auto before = process.Used();
  quotas.Add(process.mId, 0.5);
  loop.run_for(ProcessorQuotas::kPeriod * 9 / 10);
  CHECK(process.IsStopped());
  CHECK((process.Used() - before) > 40ms);
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
