#include "testing/real_cluster/instance_processes.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <fmt/format.h>

namespace flamingoloom::testing::real_cluster {

using review::Json;

namespace {

constexpr double kEndPollMs = 20;
constexpr double kProcessCheckMs = 200;
constexpr int kFilesToClose = 20000;

// Ports below those that outgoing connections use.
int FreePort()
{
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 12000;
  constexpr int kPortsOfProcess = 400;
  static int sNext = getpid() * kPortsOfProcess;
  boost::asio::io_context loop;
  for (;;) {
    const int port = kFirstPort + sNext++ % kPorts;
    boost::asio::ip::tcp::acceptor acceptor(loop, boost::asio::ip::tcp::v4());
    boost::system::error_code error;
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"),
                    static_cast<unsigned short>(port) },
                  error);
    if (!error) {
      return port;
    }
  }
}

std::string Loopback(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// Of each data centre the first two instances are large.
Json LimitsOf(int aIndex, std::size_t aDataCentres)
{
  constexpr std::size_t kLargeInDataCentre = 2;
  const bool large =
    static_cast<std::size_t>(aIndex) < kLargeInDataCentre * aDataCentres;
  return { { "cpu-share", large ? 0.5 : 0.12 },
           { "cores", 1 },
           { "memory-mb", large ? 512 : 160 },
           { "file-descriptors", large ? 8192 : 4100 },
           { "link-mbps", large ? 200.0 : 10.0 },
           { "disk-mb", 0 } };
}

} // namespace

InstanceProcesses::InstanceProcesses(review::Runtime& aRuntime,
                                     const Json& aSettingsTemplate,
                                     StoreLinks& aLinks,
                                     const std::string& aProgram,
                                     const std::string& aFolder,
                                     int aCount,
                                     bool aLimited)
  : mRuntime(aRuntime)
  , mLinks(aLinks)
  , mProgram(aProgram)
{
  if (aLimited) {
    mQuotas.emplace(aRuntime.Loop());
  }
  std::vector<std::string> dataCentres;
  for (const auto& [dataCentre, region] :
       aSettingsTemplate.at("zones").items()) {
    dataCentres.push_back(dataCentre);
  }
  for (int i = 0; i < aCount; ++i) {
    Process process;
    const auto& dataCentre =
      dataCentres[static_cast<std::size_t>(i) % dataCentres.size()];
    process.mName = fmt::format("instance-{}", i);
    process.mCallers = Loopback(FreePort());
    process.mReadiness = Loopback(FreePort());
    process.mFiles = aFolder + "/" + process.mName;
    const int internalPort = FreePort();
    Json settings = aSettingsTemplate;
    settings["node-name"] = process.mName;
    settings["ip"] = "127.0.0.1";
    settings["zone"] = dataCentre;
    settings["region"] = aSettingsTemplate.at("zones").at(dataCentre);
    settings["listen-addresses"] = { { "frontend", process.mCallers },
                                     { "readiness", process.mReadiness } };
    settings["internal-port-range"] = { internalPort, internalPort };
    settings["seed-nodes"] = Json::array();
    settings["platform"]["address"] =
      aLinks.Add(settings["region"].get<std::string>());
    if (aLimited) {
      settings["limits"] = LimitsOf(i, dataCentres.size());
      process.mProcessorShare = settings["limits"]["cpu-share"];
    }
    std::ofstream(process.mFiles + ".json") << settings.dump(2);
    Launch(process);
    mProcesses.push_back(std::move(process));
  }
  CheckProcesses();
}

InstanceProcesses::~InstanceProcesses()
{
  for (const auto& process : mProcesses) {
    if (process.mId > 0) {
      kill(process.mId, SIGKILL);
      waitpid(process.mId, nullptr, 0);
    }
  }
}

const std::string& InstanceProcesses::Name(std::size_t aIndex) const
{
  return mProcesses.at(aIndex).mName;
}

const std::string& InstanceProcesses::CallerAddress(std::size_t aIndex) const
{
  return mProcesses.at(aIndex).mCallers;
}

const std::string& InstanceProcesses::ReadinessAddress(std::size_t aIndex) const
{
  return mProcesses.at(aIndex).mReadiness;
}

InstanceState InstanceProcesses::State(std::size_t aIndex) const
{
  return mProcesses.at(aIndex).mState;
}

double InstanceProcesses::ChangedMs(std::size_t aIndex) const
{
  return mProcesses.at(aIndex).mChangedMs;
}

void InstanceProcesses::Launch(Process& aProcess)
{
  const pid_t id = fork();
  if (id != 0) {
    aProcess.mId = id;
    Limit(aProcess);
    return;
  }
  // No process outlives this one.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(
    (aProcess.mFiles + ".log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  for (int file = 3; file < kFilesToClose; ++file) {
    close(file);
  }
  setenv("FLAMINGOLOOM_SETTINGS", (aProcess.mFiles + ".json").c_str(), 1);
  execl(mProgram.c_str(), mProgram.c_str(), nullptr);
  _exit(127);
}

void InstanceProcesses::Change(Process& aProcess,
                               InstanceState aState,
                               const char* aWhat)
{
  aProcess.mState = aState;
  aProcess.mChangedMs = mRuntime.NowMs();
  mRuntime.Record(aProcess.mName + " " + aWhat);
}

void InstanceProcesses::LaunchAfter(std::size_t aIndex, double aMs)
{
  mRuntime.After(aMs, [this, aIndex] {
    Process& process = mProcesses[aIndex];
    Launch(process);
    Change(process, InstanceState::eRunning, "starts again");
  });
}

void InstanceProcesses::Terminate(std::size_t aIndex, double aDownMs)
{
  constexpr double kGracePeriodMs = 6000;
  Process& process = mProcesses[aIndex];
  if (process.mState != InstanceState::eRunning) {
    return;
  }
  kill(process.mId, SIGTERM);
  Change(process, InstanceState::eTerminating, "gets SIGTERM");
  AwaitEnd(aIndex, mRuntime.NowMs() + kGracePeriodMs, aDownMs);
}

void InstanceProcesses::AwaitEnd(std::size_t aIndex,
                                 double aKillAtMs,
                                 double aDownMs)
{
  Process& process = mProcesses[aIndex];
  if (mRuntime.NowMs() > aKillAtMs) {
    kill(process.mId, SIGKILL);
    mRuntime.Record(process.mName + " outlives its grace period");
  }
  if (waitpid(process.mId, nullptr, WNOHANG) == 0) {
    mRuntime.After(kEndPollMs, [this, aIndex, aKillAtMs, aDownMs] {
      AwaitEnd(aIndex, aKillAtMs, aDownMs);
    });
    return;
  }
  EndLimit(process.mId);
  process.mId = 0;
  Change(process, InstanceState::eLeft, "has ended");
  LaunchAfter(aIndex, aDownMs);
}

void InstanceProcesses::Kill(std::size_t aIndex, double aDownMs)
{
  Process& process = mProcesses[aIndex];
  if (process.mState != InstanceState::eRunning) {
    return;
  }
  kill(process.mId, SIGKILL);
  waitpid(process.mId, nullptr, 0);
  EndLimit(process.mId);
  process.mId = 0;
  Change(process, InstanceState::eDown, "is killed");
  LaunchAfter(aIndex, aDownMs);
}

void InstanceProcesses::Pause(std::size_t aIndex, double aMs)
{
  Process& process = mProcesses[aIndex];
  if (process.mState != InstanceState::eRunning) {
    return;
  }
  EndLimit(process.mId);
  kill(process.mId, SIGSTOP);
  Change(process, InstanceState::eDown, "is paused");
  mRuntime.After(aMs, [this, aIndex] {
    Process& paused = mProcesses[aIndex];
    kill(paused.mId, SIGCONT);
    Limit(paused);
    Change(paused, InstanceState::eRunning, "goes on");
  });
}

void InstanceProcesses::HangUp(std::size_t aIndex)
{
  if (State(aIndex) == InstanceState::eRunning) {
    kill(mProcesses[aIndex].mId, SIGHUP);
    mRuntime.Record(mProcesses[aIndex].mName + " gets SIGHUP");
  }
}

void InstanceProcesses::Limit(const Process& aProcess)
{
  if (mQuotas) {
    mQuotas->Add(aProcess.mId, aProcess.mProcessorShare);
  }
}

void InstanceProcesses::EndLimit(pid_t aProcess)
{
  if (mQuotas) {
    mQuotas->Remove(aProcess);
  }
}

void InstanceProcesses::CheckProcesses()
{
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    Process& process = mProcesses[i];
    if (process.mState == InstanceState::eRunning &&
        waitpid(process.mId, nullptr, WNOHANG) != 0) {
      ++mUnexpectedEnds;
      EndLimit(process.mId);
      process.mId = 0;
      Change(process, InstanceState::eDown, "HAS ENDED BY ITSELF");
      LaunchAfter(i, 0);
    }
  }
  constexpr std::chrono::milliseconds kLateLook{ 30 };
  if (mQuotas) {
    const auto gap = mQuotas->TakeLongestGap();
    if (gap > kLateLook) {
      mRuntime.Record(
        fmt::format("LATE: processors were not looked at for {:.0f} ms",
                    std::chrono::duration<double, std::milli>(gap).count()));
    }
  }
  mRuntime.After(kProcessCheckMs, [this] { CheckProcesses(); });
}

} // namespace flamingoloom::testing::real_cluster
