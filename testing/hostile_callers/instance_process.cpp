#include "testing/hostile_callers/instance_process.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include "review/cluster/http.h"

namespace flamingoloom::testing::hostile_callers {

using review::Json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kHost = "shop.example";
constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";
constexpr const char* kPrefix = "/quotes/";
constexpr int kCallTimeoutMs = 5000;
// Far beyond what a start or an answer takes, so that the tests do not depend
// on the machine's speed.
constexpr auto kPatience = seconds(40);

std::string Loopback(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::string MakeFolder()
{
  std::string path = "/tmp/hostile-XXXXXX";
  REQUIRE(mkdtemp(path.data()) != nullptr);
  return path;
}

bool WaitUntil(const std::function<bool()>& aHolds)
{
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!aHolds()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return true;
}

Json MakeConfiguration(int aIdleTimeoutMs)
{
  return { { "version", 7 },
           { "routes",
             { { { "name", "quotes" },
                 { "host", kHost },
                 { "path-prefix", kPrefix },
                 { "target-latency-ms", 3000 },
                 { "priority", 0 },
                 { "service", "desk" },
                 { "max-attempts", 2 },
                 { "stretch", 3.0 },
                 { "public", false } } } },
           { "services", Json::array() },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 262144 },
               { "header-timeout-ms", 3000 },
               { "idle-timeout-ms", aIdleTimeoutMs } } },
           { "tenants",
             { { { "name", "shop" },
                 { "api-keys", { kKey } },
                 { "guaranteed", { { "gpus", 8 } } } } } } };
}

Json MakeServer(int aPort)
{
  return {
    { "service", "desk" },
    { "address", Loopback(aPort) },
    { "zone", "nordur-a" },
    { "state", "ready" },
    { "born", 1 },
    { "capacity",
      { { "cpu", 64000 }, { "requested-memory-mb", 262144 }, { "gpus", 8 } } },
    { "labels", { "kind", "r1-1" } }
  };
}

} // namespace

InstanceProcess::InstanceProcess(MachineLimits aLimits, int aServerPort)
  : mRuntime("/dev/null")
  , mStore(mRuntime)
  , mFolder(MakeFolder())
  , mCallerPort(cluster::FreePort())
  , mReadinessPort(cluster::FreePort())
{
  mStore.Put("op", "config", MakeConfiguration(aLimits.mIdleTimeoutMs));
  if (aServerPort > 0) {
    mStore.Put("servers", "s-1", MakeServer(aServerPort));
  }
  const int metricsPort = cluster::FreePort();
  const Json settings{ { "node-name", "frontend-1" },
                       { "ip", "127.0.0.1" },
                       { "zone", "nordur-a" },
                       { "region", "nordur" },
                       { "listen-addresses",
                         { { "frontend", Loopback(mCallerPort) },
                           { "readiness", Loopback(mReadinessPort) } } },
                       { "internal-port-range", { metricsPort, metricsPort } },
                       { "limits",
                         { { "cpu-share", 0.25 },
                           { "cores", 1 },
                           { "memory-mb", aLimits.mMemoryMb },
                           { "file-descriptors", aLimits.mDescriptors },
                           { "link-mbps", 1000.0 } } },
                       { "bounds", Json::object() },
                       { "platform", { { "address", mStore.Address() } } } };
  const auto path = mFolder + "/settings.json";
  std::ofstream(path) << settings.dump(2);
  mLoop = std::thread([this] {
    const auto work = boost::asio::make_work_guard(mRuntime.Loop());
    mRuntime.Loop().run();
  });
  Launch(path);
  REQUIRE(WaitUntil([this] { return IsReady(); }));
}

InstanceProcess::~InstanceProcess()
{
  if (mId > 0) {
    kill(mId, SIGKILL);
    waitpid(mId, nullptr, 0);
  }
  mRuntime.Loop().stop();
  mLoop.join();
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

void InstanceProcess::Launch(const std::string& aSettings)
{
  const char* const program = std::getenv("FLAMINGOLOOM_INSTANCE");
  REQUIRE(program != nullptr);
  const auto log = mFolder + "/log";
  mId = fork();
  if (mId == 0) {
    // The process ends with the test.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    constexpr int kFilesToClose = 4096;
    for (int other = STDERR_FILENO + 1; other < kFilesToClose; ++other) {
      close(other);
    }
    setenv("FLAMINGOLOOM_SETTINGS", aSettings.c_str(), 1);
    execl(program, program, nullptr);
    _exit(127);
  }
}

bool InstanceProcess::IsReady() const
{
  const auto answer = cluster::Call(Loopback(mReadinessPort),
                                    "GET",
                                    "/readiness",
                                    { { "Host", "node" } },
                                    "",
                                    kCallTimeoutMs);
  return answer && answer->mStatus == 200;
}

bool InstanceProcess::IsAlive() const
{
  if (mId > 0 && waitpid(mId, nullptr, WNOHANG) != 0) {
    mId = 0;
  }
  return mId > 0;
}

int InstanceProcess::PeakMemoryMb() const
{
  constexpr int kKilobytesInMegabyte = 1024;
  std::ifstream status("/proc/" + std::to_string(mId) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmHWM:") {
      int kilobytes = 0;
      status >> kilobytes;
      return kilobytes / kKilobytesInMegabyte;
    }
  }
  FAIL("the process has no memory figures");
  return 0;
}

int InstanceProcess::OpenDescriptors() const
{
  const std::filesystem::directory_iterator files("/proc/" +
                                                  std::to_string(mId) + "/fd");
  return static_cast<int>(
    std::distance(begin(files), std::filesystem::directory_iterator()));
}

bool InstanceProcess::AnswersOrdinaryRequest()
{
  return WaitUntil([this] {
    constexpr std::size_t kJobIdLength = 16;
    auto job = std::to_string(mNextJob++);
    job.insert(0, kJobIdLength - job.size(), '0');
    const auto answer = cluster::Call(
      Loopback(mCallerPort),
      "POST",
      kPrefix + job,
      { { "Host", kHost }, { "Key", kKey }, { "Deadline-Ms", "3000" } },
      R"({"specification":"quote","steps":[{"count":1,"cpu":1000}]})",
      kCallTimeoutMs);
    return answer && answer->mStatus == 200;
  });
}

} // namespace flamingoloom::testing::hostile_callers
