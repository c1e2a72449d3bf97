#include "testing/hostile_callers/instance_process.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <netinet/in.h>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "review/cluster/http.h"

namespace flamingoloom::testing::hostile_callers {

using review::Json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kFirstVersion = 7;
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

// A port below those that the system gives to outgoing connections: these must
// not take it while the process that listens there is started again.
int ReservePort()
{
  constexpr int kFirstPort = 12000;
  constexpr int kPorts = 20000;
  std::random_device random;
  for (;;) {
    const int port = kFirstPort + static_cast<int>(random() % kPorts);
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(listener >= 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isFree = bind(listener,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof address) == 0;
    close(listener);
    if (isFree) {
      return port;
    }
  }
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

Json MakeQueue(const std::string& aName,
               const std::string& aPrefix,
               int aPriority)
{
  return { { "name", aName },          { "host", kHost },
           { "path-prefix", aPrefix }, { "target-latency-ms", 3000 },
           { "priority", aPriority },  { "service", "desk" },
           { "max-attempts", 2 },      { "stretch", 3.0 },
           { "public", false } };
}

Json MakeAccount(const char* aName, const char* aKey, int aAccelerators)
{
  return { { "name", aName },
           { "api-keys", { aKey } },
           { "guaranteed", { { "gpus", aAccelerators } } } };
}

Json MakeConfiguration(const MachineLimits& aLimits, int aVersion)
{
  Json queues = Json::array({ MakeQueue("quotes", kUrgentPrefix, 0),
                              MakeQueue("batch", kBatchPrefix, 1) });
  for (int i = 0; i < aLimits.mMoreQueues; ++i) {
    const auto number = std::to_string(i);
    queues.push_back(MakeQueue("further-queue-with-a-name-" + number,
                               kMoreQueuesPrefix + number + "/",
                               1));
  }
  return { { "version", aVersion },
           { "routes", std::move(queues) },
           { "services", Json::array() },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 262144 },
               { "header-timeout-ms", 3000 },
               { "idle-timeout-ms", aLimits.mIdleTimeoutMs } } },
           { "tenants",
             { MakeAccount("shop", kShopKey, 8),
               MakeAccount("guest", kGuestKey, 0),
               MakeAccount("clerk", kClerkKey, 0) } } };
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

InstanceProcess::Platform::Platform(int aReadsPerSecond)
  : mRuntime("/dev/null")
  , mStore(mRuntime)
{
  if (aReadsPerSecond > 0) {
    mReadLimiter.emplace(mRuntime, mStore.Address(), aReadsPerSecond);
  }
}

std::string InstanceProcess::Platform::Address() const
{
  return mReadLimiter ? mReadLimiter->Address() : mStore.Address();
}

InstanceProcess::Platform::~Platform()
{
  mRuntime.Loop().stop();
  mLoop.join();
}

InstanceProcess::InstanceProcess(MachineLimits aLimits, int aServerPort)
  : InstanceProcess(aLimits,
                    std::make_shared<Platform>(aLimits.mReadsPerSecond))
{
  mPlatform->mStore.Put(
    "op", "config", MakeConfiguration(aLimits, kFirstVersion));
  if (aServerPort > 0) {
    mPlatform->mStore.Put("servers", "s-1", MakeServer(aServerPort));
  }
  mPlatform->mLoop = std::thread([&runtime = mPlatform->mRuntime] {
    const auto work = boost::asio::make_work_guard(runtime.Loop());
    runtime.Loop().run();
  });
  Launch();
  REQUIRE(WaitUntil([this] { return IsReady(); }));
}

InstanceProcess::InstanceProcess(MachineLimits aLimits,
                                 const InstanceProcess& aFirst)
  : InstanceProcess(aLimits, aFirst.mPlatform)
{
  Launch();
  REQUIRE(WaitUntil([this] { return IsReady(); }));
}

InstanceProcess::InstanceProcess(MachineLimits aLimits,
                                 std::shared_ptr<Platform> aPlatform)
  : mPlatform(std::move(aPlatform))
  , mFolder(MakeFolder())
  , mCallerPort(ReservePort())
  , mReadinessPort(ReservePort())
  , mMetricsPort(ReservePort())
{
  Json platform{ { "address", mPlatform->Address() } };
  if (aLimits.mReadsPerSecond > 0) {
    platform["reads-per-s"] = aLimits.mReadsPerSecond;
  }
  const Json settings{
    { "node-name", "frontend-" + std::to_string(++mPlatform->mInstances) },
    { "ip", "127.0.0.1" },
    { "zone", "nordur-a" },
    { "region", "nordur" },
    { "listen-addresses",
      { { "frontend", Loopback(mCallerPort) },
        { "readiness", Loopback(mReadinessPort) } } },
    { "internal-port-range", { mMetricsPort, mMetricsPort } },
    { "limits",
      { { "cpu-share", 0.25 },
        { "cores", 1 },
        { "memory-mb", aLimits.mMemoryMb },
        { "file-descriptors", aLimits.mDescriptors },
        { "link-mbps", 1000.0 } } },
    { "bounds", Json::object() },
    { "platform", std::move(platform) }
  };
  std::ofstream(mFolder + "/settings.json") << settings.dump(2);
}

InstanceProcess::~InstanceProcess()
{
  Kill();
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

void InstanceProcess::Kill()
{
  if (mId > 0) {
    kill(mId, SIGKILL);
    waitpid(mId, nullptr, 0);
    mId = 0;
  }
}

void InstanceProcess::Pause() const
{
  kill(mId, SIGSTOP);
}

void InstanceProcess::Resume() const
{
  kill(mId, SIGCONT);
}

void InstanceProcess::SetStoreDown(bool aDown) const
{
  boost::asio::post(mPlatform->mRuntime.Loop(), [platform = mPlatform, aDown] {
    platform->mStore.SetDown(aDown);
  });
}

void InstanceProcess::SetStoreSlow(bool aSlow) const
{
  boost::asio::post(mPlatform->mRuntime.Loop(), [platform = mPlatform, aSlow] {
    platform->mStore.SetSlow(aSlow);
  });
}

void InstanceProcess::ChangeConfiguration(const MachineLimits& aLimits,
                                          int aVersion) const
{
  boost::asio::post(mPlatform->mRuntime.Loop(),
                    [platform = mPlatform, aLimits, aVersion] {
                      platform->mStore.Put(
                        "op", "config", MakeConfiguration(aLimits, aVersion));
                    });
}

void InstanceProcess::Restart()
{
  Kill();
  Launch();
  AwaitLead();
}

void InstanceProcess::AwaitLead() const
{
  REQUIRE(WaitUntil([this] { return !IsAlive() || (IsReady() && HasLed()); }));
}

bool InstanceProcess::Stop()
{
  if (!IsAlive()) {
    return false;
  }
  kill(mId, SIGTERM);
  int status = -1;
  const bool ended =
    WaitUntil([&] { return waitpid(mId, &status, WNOHANG) == mId; });
  if (ended) {
    mId = 0;
  }
  return ended && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

std::string InstanceProcess::EndText() const
{
  std::ifstream log(mFolder + "/log");
  std::string last;
  for (std::string line; std::getline(log, line);) {
    last = line;
  }
  return "wait status " + std::to_string(mStatus) + ", last line: " + last;
}

bool InstanceProcess::Logged(const std::string& aEvent) const
{
  std::ifstream log(mFolder + "/log");
  std::string line;
  while (std::getline(log, line)) {
    if (line.find("event=" + aEvent + " ") != std::string::npos) {
      return true;
    }
  }
  return false;
}

void InstanceProcess::Launch()
{
  const auto settings = mFolder + "/settings.json";
  const char* const program = std::getenv("FLAMINGOLOOM_INSTANCE");
  REQUIRE(program != nullptr);
  const auto log = mFolder + "/log";
  // Closed by the start of the program. Until then the child has the
  // descriptors of this process.
  int started[2];
  REQUIRE(pipe2(started, O_CLOEXEC) == 0);
  mId = fork();
  if (mId == 0) {
    // The process ends with the test.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file =
      open(log.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    const auto keep = static_cast<unsigned>(started[1]);
    close_range(STDERR_FILENO + 1, keep - 1, 0);
    close_range(keep + 1, std::numeric_limits<unsigned>::max(), 0);
    setenv("FLAMINGOLOOM_SETTINGS", settings.c_str(), 1);
    execl(program, program, nullptr);
    _exit(127);
  }
  close(started[1]);
  char none = 0;
  REQUIRE(read(started[0], &none, 1) == 0);
  close(started[0]);
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
  if (mId > 0 && waitpid(mId, &mStatus, WNOHANG) != 0) {
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

int InstanceProcess::Call(const char* aMethod,
                          const std::string& aPath,
                          const std::string& aBody,
                          const char* aKey) const
{
  const auto answer = cluster::Call(
    Loopback(mCallerPort),
    aMethod,
    aPath,
    { { "Host", kHost }, { "Key", aKey }, { "Deadline-Ms", "3000" } },
    aBody,
    kCallTimeoutMs);
  return answer ? answer->mStatus : 0;
}

bool InstanceProcess::AnswersOrdinaryRequest(const char* aKey,
                                             const char* aPrefix)
{
  return WaitUntil([&] {
    const auto answer = cluster::Call(
      Loopback(mCallerPort),
      "POST",
      aPrefix + JobId(mNextJob++),
      { { "Host", kHost }, { "Key", aKey }, { "Deadline-Ms", "3000" } },
      R"({"specification":"quote","steps":[{"count":1,"cpu":1000}]})",
      kCallTimeoutMs);
    return answer && answer->mStatus == 200;
  });
}

bool InstanceProcess::TellsQueueLength(const std::string& aPrefix)
{
  // Longer than a length is told after the leader has ended.
  std::this_thread::sleep_for(seconds(3));
  return WaitUntil([&] { return Call("GET", aPrefix) == 200; });
}

int InstanceProcess::StatusOf(const std::string& aPath, const char* aKey) const
{
  int status = 0;
  WaitUntil([&] {
    status = Call("GET", aPath, "", aKey);
    return status != 0 && status != 503;
  });
  return status;
}

bool InstanceProcess::AnswersProbes() const
{
  const auto metrics = cluster::Call(Loopback(mMetricsPort),
                                     "GET",
                                     "/metrics",
                                     { { "Host", "node" } },
                                     "",
                                     kCallTimeoutMs);
  return IsReady() && metrics && metrics->mStatus == 200;
}

std::string JobId(int aNumber)
{
  constexpr std::size_t kJobIdLength = 16;
  auto id = std::to_string(aNumber);
  id.insert(0, kJobIdLength - id.size(), '0');
  return id;
}

} // namespace flamingoloom::testing::hostile_callers
