// The processes of the system under test, and a client of its callers.
#pragma once

#include <sys/types.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "flamingoloom/http/client.h"
#include "review/standins/runtime.h"
#include "review/standins/store.h"
#include "review/standins/worker.h"

namespace review {

struct InstanceOptions
{
  std::string mProgram;
  std::string mFolder;
  int mCount = 2;
};

class System
{
public:
  System(Runtime& aRuntime, Store& aStore, InstanceOptions aOptions);
  ~System();

  // Starts all processes, and calls aThen once all of them are ready.
  void Start(std::function<void()> aThen);
  const std::vector<std::string>& CallerAddresses() const { return mCallers; }
  // Kills an instance's process and starts it again after aDownMs.
  void Restart(const std::string& aCallerAddress, double aDownMs);
  bool HasEndedByItself() const;

private:
  struct Process
  {
    pid_t mId = 0;
    std::string mReadiness;
    // Path of its files, without their suffixes.
    std::string mFiles;
  };

  // Starts the program with the settings that stand in aFiles.
  pid_t Launch(const std::string& aFiles) const;
  void AwaitReady(std::function<void()> aThen);

  Runtime& mRuntime;
  Store& mStore;
  InstanceOptions mOptions;
  flamingoloom::http::Client mClient;
  std::vector<Process> mProcesses;
  std::vector<std::string> mCallers;
};

struct JobRecord
{
  std::string mQueue;
  // When it was accepted, if it was.
  std::optional<double> mAcceptedMs;
  // The state in the last answer.
  std::string mState;
};

// A client that sends jobs to the instances in turn.
class Caller
{
public:
  Caller(Runtime& aRuntime, const System& aSystem, Fleet& aFleet);

  // Submits a job with one step. A request without a final answer is repeated
  // with the same id.
  void Submit(const std::string& aQueue,
              const std::string& aKey,
              const std::string& aId,
              const std::string& aSpecification,
              const Json& aStep);
  // Asks for the state of a job.
  void Query(const std::string& aKey, const std::string& aId);
  // Asks each instance for the length of a queue.
  void QueryLength(
    const std::string& aQueue,
    const std::string& aKey,
    std::function<void(const std::string& aInstance, int aLength)> aThen);
  // Asks each instance for the length of a queue, and passes on the status.
  void Probe(
    const std::string& aQueue,
    const std::string& aKey,
    std::function<void(const std::string& aInstance, int aStatus)> aThen);
  const std::map<std::string, JobRecord>& Jobs() const { return mJobs; }

private:
  void Send(const std::string& aKey,
            const std::string& aId,
            const std::string& aBody,
            int aAttempt);
  std::string NextInstance();

  Runtime& mRuntime;
  const System& mSystem;
  Fleet& mFleet;
  flamingoloom::http::Client mClient;
  std::map<std::string, JobRecord> mJobs;
  std::size_t mNext = 0;
};

inline constexpr const char* kHost = "queues.example";
inline constexpr const char* kService = "huvo11a";

// A configuration with the queues of the small deployments, and two tenants.
// If aVersion is above 7, a queue with the name "vVERSION" is added to them.
// The tenant "shop" has one key that each version replaces.
Json MakeConfiguration(int aUrgentGuarantee, int aVersion = 7);
std::string QueueOfVersion(int aVersion);
std::string KeyOfVersion(int aVersion);

} // namespace review
