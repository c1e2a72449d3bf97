// Instances of the system as real processes on loopback, with settings that are
// derived from a template of the platform. Ends only the processes that it
// started, by their ids. Not thread-safe.
#pragma once

#include <sys/types.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "review/standins/runtime.h"
#include "testing/real_cluster/processor_quotas.h"
#include "testing/real_cluster/store_links.h"

namespace flamingoloom::testing::real_cluster {

// What was done to an instance last, from outside.
enum class InstanceState
{
  eRunning,
  // SIGTERM was sent, and the process has not ended yet.
  eTerminating,
  // The process has ended after SIGTERM and is not started again yet.
  eLeft,
  // Killed, stopped by SIGSTOP, or not started again yet.
  eDown,
};

class InstanceProcesses
{
public:
  // Starts aCount processes of aProgram, with their settings and logs in
  // aFolder, and adds a link to the store for each to aLinks. With aLimited
  // each has limits like those of a deployment with 41 instances, and keeps to
  // its processor share.
  InstanceProcesses(review::Runtime& aRuntime,
                    const review::Json& aSettingsTemplate,
                    StoreLinks& aLinks,
                    const std::string& aProgram,
                    const std::string& aFolder,
                    int aCount,
                    bool aLimited);
  ~InstanceProcesses();
  InstanceProcesses(const InstanceProcesses&) = delete;
  InstanceProcesses& operator=(const InstanceProcesses&) = delete;

  std::size_t Count() const { return mProcesses.size(); }
  const std::string& Name(std::size_t aIndex) const;
  const std::string& CallerAddress(std::size_t aIndex) const;
  const std::string& ReadinessAddress(std::size_t aIndex) const;
  InstanceState State(std::size_t aIndex) const;
  // When the state of the instance last changed, in ms of the runtime.
  double ChangedMs(std::size_t aIndex) const;

  // Whether the store was out of its reach at any time after aSinceMs.
  bool WasCutOffSince(std::size_t aIndex, double aSinceMs) const
  {
    return mLinks.WasCutSince(aIndex, aSinceMs);
  }

  // Sends SIGTERM, SIGKILL at the end of the grace period, and starts the
  // process again aDownMs after its end. Does nothing unless it is running.
  void Terminate(std::size_t aIndex, double aDownMs);
  // Kills the process and starts it again after aDownMs.
  void Kill(std::size_t aIndex, double aDownMs);
  // Stops the process for aMs.
  void Pause(std::size_t aIndex, double aMs);
  // Sends SIGHUP.
  void HangUp(std::size_t aIndex);
  // Number of processes that ended without being told to.
  int UnexpectedEnds() const { return mUnexpectedEnds; }

private:
  struct Process
  {
    pid_t mId = 0;
    std::string mName;
    std::string mCallers;
    std::string mReadiness;
    // Path of its settings and its log, without their suffixes.
    std::string mFiles;
    // In cores.
    double mProcessorShare = 0;
    InstanceState mState = InstanceState::eRunning;
    double mChangedMs = 0;
  };

  void Launch(Process& aProcess);
  void Change(Process& aProcess, InstanceState aState, const char* aWhat);
  void AwaitEnd(std::size_t aIndex, double aKillAtMs, double aDownMs);
  void LaunchAfter(std::size_t aIndex, double aMs);
  void CheckProcesses();
  void Limit(const Process& aProcess);
  // Before others stop the process, and once its end was waited for.
  void EndLimit(pid_t aProcess);

  review::Runtime& mRuntime;
  StoreLinks& mLinks;
  const std::string mProgram;
  std::vector<Process> mProcesses;
  std::optional<ProcessorQuotas> mQuotas;
  int mUnexpectedEnds = 0;
};

} // namespace flamingoloom::testing::real_cluster
