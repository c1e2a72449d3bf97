// One instance as a process on loopback, beside a stand-in for the store. Its
// configuration has three accounts, and queues for urgent and for batch work.
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
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>

#include "review/standins/store.h"
#include "testing/hostile_callers/read_limiter.h"

namespace flamingoloom::testing::hostile_callers {

inline constexpr const char* kHost = "shop.example";
inline constexpr const char* kShopKey = "d4a3hwrr6x73d3zji9n7";
inline constexpr const char* kGuestKey = "m2f9x07qkq51v8s3c6te";
inline constexpr const char* kClerkKey = "u8c1n5zt40wrb7gq2x9a";
// Prefixes of the queues with priority 0 and 1.
inline constexpr const char* kUrgentPrefix = "/quotes/";
inline constexpr const char* kBatchPrefix = "/batch/";
// Prefix of the first of MachineLimits::mMoreQueues; their numbers follow.
inline constexpr const char* kMoreQueuesPrefix = "/more-";

// The limits of the machine, as its settings file names them, and the time
// without a request or in which a response is not read, by the configuration.
struct MachineLimits
{
  int mMemoryMb = 160;
  int mDescriptors = 4100;
  int mIdleTimeoutMs = 15000;
  // Queues beside the two of each instance.
  int mMoreQueues = 0;
  // Reads of rows that the store serves in a second; 0 for no limit.
  int mReadsPerSecond = 0;

  friend bool operator==(const MachineLimits&, const MachineLimits&) = default;
};

// The id of a job, from a number.
std::string JobId(int aNumber);

class InstanceProcess
{
public:
  // Starts the process and waits until it is ready. aServerPort is the port of
  // a backend server that the store lists, 0 for none.
  explicit InstanceProcess(MachineLimits aLimits, int aServerPort = 0);
  // A further instance of the deployment of aFirst, which must outlive it.
  InstanceProcess(MachineLimits aLimits, const InstanceProcess& aFirst);
  ~InstanceProcess();
  InstanceProcess(const InstanceProcess&) = delete;
  InstanceProcess& operator=(const InstanceProcess&) = delete;

  int CallerPort() const { return mCallerPort; }
  int ReadinessPort() const { return mReadinessPort; }
  int MetricsPort() const { return mMetricsPort; }
  // Whether the process has not ended.
  bool IsAlive() const;
  // How a process that is not alive any more has ended.
  std::string EndText() const;
  // The largest resident memory that the process has had, in megabytes.
  int PeakMemoryMb() const;
  // The descriptors that the process has open.
  int OpenDescriptors() const;
  // Hands in one job on a connection of its own, and again while it is refused
  // with 503. Returns whether it was accepted.
  bool AnswersOrdinaryRequest(const char* aKey = kShopKey,
                              const char* aPrefix = kUrgentPrefix);
  // Whether the length of the queue is told, which needs an instance that has
  // led for some seconds. Asks again for a while.
  bool TellsQueueLength(const std::string& aPrefix);
  // The status of one request, 0 without a response.
  int Call(const char* aMethod,
           const std::string& aPath,
           const std::string& aBody = "",
           const char* aKey = kShopKey) const;
  // The status of a question for a job, once it is no 503.
  int StatusOf(const std::string& aPath, const char* aKey) const;
  // Whether readiness and metrics are served.
  bool AnswersProbes() const;
  // Kills the process, starts it again with its store as it is, and waits until
  // it leads or has ended.
  void Restart();
  // Kills the process, and starts it; it must not run then.
  void Kill();
  void Launch();
  // Suspends the process, and lets it go on.
  void Pause() const;
  void Resume() const;
  // Makes the store of all instances answer each call with 503, or slowly.
  void SetStoreDown(bool aDown) const;
  void SetStoreSlow(bool aSlow) const;
  // Writes the configuration again, with another version.
  void ChangeConfiguration(const MachineLimits& aLimits, int aVersion) const;
  // Ends the process with SIGTERM. Returns whether it ended by itself, with the
  // status 0.
  bool Stop();
  // Whether the process has restored the jobs of the store, to lead, since it
  // was started last.
  bool HasLed() const { return Logged("jobs_loaded"); }
  // Whether the process has written a line of aEvent since it was started last.
  bool Logged(const std::string& aEvent) const;
  // Waits until HasLed, or until the process has ended.
  void AwaitLead() const;

  // Whether the process tells that callers should be sent to it.
  bool IsReady() const;

private:
  // The store, which runs on a thread of its own.
  struct Platform
  {
    explicit Platform(int aReadsPerSecond);
    ~Platform();

    // Where instances reach the store.
    std::string Address() const;

    review::Runtime mRuntime;
    review::Store mStore;
    // Set if the store's reads are limited.
    std::optional<ReadLimiter> mReadLimiter;
    // Instances that have been started.
    int mInstances = 0;
    std::thread mLoop;
  };

  InstanceProcess(MachineLimits aLimits, std::shared_ptr<Platform> aPlatform);

  std::shared_ptr<Platform> mPlatform;
  std::string mFolder;
  int mCallerPort = 0;
  int mReadinessPort = 0;
  int mMetricsPort = 0;
  int mNextJob = 1;
  mutable pid_t mId = 0;
  mutable int mStatus = 0;
};

} // namespace flamingoloom::testing::hostile_callers
