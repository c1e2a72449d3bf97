// Callers of a cluster of real processes: they submit jobs through a balancer,
// repeat what was refused or not answered, and judge whether anything that was
// accepted is lost. Not thread-safe.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "flamingoloom/http/client.h"
#include "testing/real_cluster/backend_servers.h"
#include "testing/real_cluster/instance_processes.h"
#include "testing/real_cluster/still_judge.h"

namespace flamingoloom::testing::real_cluster {

struct QueueTraffic
{
  std::string mName;
  int mPriority = 0;
  double mJobsPerSecond = 0;
  double mMeanWidth = 1;
  int mMaxWidth = 1;
  double mMeanMs = 0;
  int mCpuMilli = 0;
  int mMemoryMb = 0;
  bool mGang = false;
  // Share of the tasks that fail by a fault of their own.
  double mErrorShare = 0;
  double mCancelShare = 0;
  // Share of the jobs that have one step more; of these, one more, and so on.
  double mMoreStepsShare = 0;
  // Share of the steps with a data rack, and of the gangs for one rack.
  double mDataRackShare = 0;
  double mSameRackShare = 0;
};

// Three queues of a deployment with 350 servers, two of them with gangs.
std::vector<QueueTraffic> LargeTraffic();
inline constexpr int kMaxAttempts = 2;
inline constexpr const char* kHost = "queues.example";
inline constexpr const char* kKey = "key-of-shop";

class Traffic
{
public:
  // Precondition: the references outlive the object and the runtime's loop.
  Traffic(review::Runtime& aRuntime,
          const InstanceProcesses& aInstances,
          BackendFleet& aFleet,
          StillJudge& aJudge,
          std::uint64_t aSeed);

  // Submits jobs of aQueues until aUntilMs, at aLoad times their rates, and a
  // few long-running jobs.
  void Start(const std::vector<QueueTraffic>& aQueues,
             double aLoad,
             double aUntilMs);
  // Asks for the state of each accepted job until it is final, or for the last
  // time at aUntilMs.
  void AskForAll(double aUntilMs);
  // Writes what was lost to the record, and returns its number.
  int Judge();

private:
  struct JobRecord
  {
    std::string mQueue;
    bool mGang = false;
    bool mCancelled = false;
    std::optional<double> mAcceptedMs;
    // The state in the last answer, or its status.
    std::string mState;
    double mAnsweredMs = 0;
    bool mGone = false;
  };

  void SubmitNext(const QueueTraffic& aQueue, double aUntilMs);
  void Submit(const QueueTraffic& aQueue);
  JobStep DrawStep(const QueueTraffic& aQueue);
  std::string PickRack();
  void SubmitLasting(const QueueTraffic& aQueue);
  std::string SubmitSteps(const QueueTraffic& aQueue, const JobSteps& aSteps);
  void Post(const std::string& aId, const std::string& aBody, int aAttempt);
  void Query(const std::string& aId);
  void Cancel(const std::string& aId, int aAttempt);
  using Then = std::function<void(int aStatus, const std::string& aBody)>;
  void Call(const char* aMethod,
            const std::string& aId,
            const std::string& aBody,
            Then aThen);
  // A request was sent and the connection ended, or the caller gave up.
  void RecordUnanswered(const std::string& aRequest,
                        std::size_t aInstance,
                        double aSentMs,
                        const std::string& aError);
  // Polls readiness as the platform's balancer does.
  void PollReadiness();
  std::size_t PickInstance();
  // Fails a share of the tasks that have started.
  void FailTasks();
  // Attempts that the servers have reported as failed: of a gang, or the most
  // of one task.
  int FailedAttempts(const std::string& aId, bool aGang) const;

  review::Runtime& mRuntime;
  const InstanceProcesses& mInstances;
  BackendFleet& mFleet;
  StillJudge& mJudge;
  std::mt19937_64 mRandom;
  http::Client mPoller;
  // Each has connections of its own, which it keeps.
  std::vector<std::unique_ptr<http::Client>> mClients;
  std::vector<std::size_t> mInstanceOfClient;
  std::vector<int> mMissedPolls;
  std::map<std::string, JobRecord> mJobs;
  std::map<std::string, double> mErrorShares;
  std::size_t mStartsSeen = 0;
  // Requests without an answer, by the state of their instance.
  std::map<std::string, int> mUnanswered;
  int mUnansweredWithoutCause = 0;
};

} // namespace flamingoloom::testing::real_cluster
