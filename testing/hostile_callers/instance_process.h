// One instance as a process on loopback, beside a stand-in for the store whose
// configuration has one queue.
//
//   InstanceProcess instance({ .mMemoryMb = 40, .mDescriptors = 300 });
//   RawCaller caller(instance.CallerPort());
//   ...
//   CHECK(instance.AnswersOrdinaryRequest());
//   CHECK(instance.PeakMemoryMb() <= 40);
//
// Its program is named by the variable FLAMINGOLOOM_INSTANCE. Not thread-safe.
#pragma once

#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>

#include "review/standins/store.h"

namespace flamingoloom::testing::hostile_callers {

// The limits of the machine, as its settings file names them, and the time
// without a request or in which a response is not read, by the configuration.
struct MachineLimits
{
  int mMemoryMb = 160;
  int mDescriptors = 4100;
  int mIdleTimeoutMs = 15000;

  friend bool operator==(const MachineLimits&, const MachineLimits&) = default;
};

class InstanceProcess
{
public:
  // Starts the process and waits until it is ready. aServerPort is the port of
  // a backend server that the store lists, 0 for none.
  explicit InstanceProcess(MachineLimits aLimits, int aServerPort = 0);
  ~InstanceProcess();
  InstanceProcess(const InstanceProcess&) = delete;
  InstanceProcess& operator=(const InstanceProcess&) = delete;

  int CallerPort() const { return mCallerPort; }
  // Whether the process has not ended.
  bool IsAlive() const;
  // The largest resident memory that the process has had, in megabytes.
  int PeakMemoryMb() const;
  // The descriptors that the process has open.
  int OpenDescriptors() const;
  // Hands in one job on a connection of its own, and again while it is refused
  // with 503. Returns whether it was accepted.
  bool AnswersOrdinaryRequest();

private:
  void Launch(const std::string& aSettings);
  bool IsReady() const;

  review::Runtime mRuntime;
  review::Store mStore;
  std::thread mLoop;
  std::string mFolder;
  int mCallerPort = 0;
  int mReadinessPort = 0;
  int mNextJob = 1;
  mutable pid_t mId = 0;
};

} // namespace flamingoloom::testing::hostile_callers
