// Stand-ins for the backend servers of one service, as the platform's pages
// describe them: fencing tokens, leases, numbered ends, gangs, data racks, and
// servers that drain, leave or are lost for good. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "review/standins/http_server.h"
#include "review/standins/runtime.h"
#include "review/standins/store.h"
#include "testing/real_cluster/job_steps.h"
#include "testing/real_cluster/still_judge.h"

namespace flamingoloom::testing::real_cluster {

struct ServerSpec
{
  std::string mId;
  std::string mService;
  std::string mDataCentre;
  std::string mRack;
  Capacity mCapacity;

  bool operator==(const ServerSpec&) const = default;
};

// The bounds of the settings that concern servers.
struct ServerBounds
{
  double mBeatMs = 0;
  std::int64_t mMaxHoldMs = 0;
  double mStopMs = 0;
  double mGangTimeoutMs = 0;
  double mRemoteFactor = 1;

  bool operator==(const ServerBounds&) const = default;
  static ServerBounds From(const review::Json& aSettings);
};

struct TaskStart
{
  std::string mTask;
  int mRun = 0;
  std::string mServer;
};

struct TaskEnd
{
  std::string mTask;
  int mRun = 0;
  std::string mHow;
};

class BackendFleet;

class BackendServer
{
public:
  // Precondition: aFleet outlives the server and the loop of its runtime.
  BackendServer(BackendFleet& aFleet, ServerSpec aSpec);

  const ServerSpec& Spec() const { return mSpec; }
  bool IsUp() const { return mUp; }
  // Up, not draining, and what it starts doesn't fail by its fault.
  bool IsSound() const { return mUp && !mDraining && !mFailsStarts; }
  void SetFailsStarts(bool aFails) { mFailsStarts = aFails; }
  Capacity Used() const;
  // What runs here ends, and the connections are reset. The entry is removed
  // after three heartbeats, unless the server starts again before.
  void Crash();
  // A new life under the same id and address.
  // Precondition: the server is not up.
  void Restart();
  // Reports that it drains, and leaves after aMs: its entry is removed, and
  // its port closed for good.
  void Drain(double aMs);
  // Ends a run here, if it is there.
  void EndRun(const std::string& aTask, int aRun, const std::string& aHow);

private:
  friend class BackendFleet;

  struct Run
  {
    int mRun = 0;
    double mStartedMs = 0;
    double mLengthMs = 0;
    bool mWorking = false;
  };

  struct NumberedEnd
  {
    std::int64_t mNumber = 0;
    TaskEnd mEnd;
    // Somebody may know of it.
    bool mListed = false;
  };

  std::int64_t ClockMs() const;
  // Calls aThen after aMs, unless this life has ended.
  void InThisLife(double aMs, std::function<void()> aThen);
  void Register();
  void Beat();
  void WatchLease();
  // Ends this life; what ran here is lost.
  void Vanish(const std::string& aWhat);
  void Handle(const review::Request& aRequest,
              const review::Responder& aRespond);
  review::Response Start(const review::Json& aBody);
  review::Response Stop(const review::Json& aBody);
  void Hold(const review::Json& aBody, const review::Responder& aRespond);
  review::Response Lists();
  review::Response Reply(int aStatus, review::Json aBody) const;
  void ExtendLease(const review::Json& aBody);
  bool IsFenced(const review::Json& aBody);
  void Begin(const std::string& aTask);

  BackendFleet& mFleet;
  review::Runtime& mRuntime;
  ServerSpec mSpec;
  std::shared_ptr<review::HttpServer> mServer;
  bool mUp = false;
  bool mFailsStarts = false;
  // What follows is new in each life.
  int mLife = 0;
  bool mDraining = false;
  double mLeavesMs = 0;
  std::int64_t mBorn = 0;
  std::int64_t mSequence = 0;
  double mClockStartMs = 0;
  std::int64_t mFence = 0;
  std::int64_t mLeaseUntilMs = 0;
  std::map<std::string, Run> mRuns;
  // The highest run of each task that was stopped or ended here.
  std::map<std::string, int> mPastRuns;
  std::int64_t mLastEnd = 0;
  std::deque<NumberedEnd> mEnds;
  std::vector<review::Responder> mWaiters;
};

class BackendFleet
{
public:
  BackendFleet(review::Runtime& aRuntime,
               review::Store& aStore,
               StillJudge& aJudge,
               ServerBounds aBounds);

  BackendServer& Add(const ServerSpec& aSpec);
  // Also those that are gone.
  const std::vector<std::unique_ptr<BackendServer>>& Servers() const
  {
    return mServers;
  }
  const std::vector<TaskStart>& Starts() const { return mStarts; }
  const std::vector<TaskEnd>& Ends() const { return mEnds; }
  // How the tasks of a job behave. Precondition: before it is submitted.
  void SetSteps(const std::string& aJob, JobSteps aSteps);
  // Crashes a share of the servers for good; new ones at new addresses join in
  // their racks after aReplaceMs.
  void LoseForGood(std::mt19937_64& aRandom, double aShare, double aReplaceMs);
  // Lets one sound server drain and leave, and a new one join in its rack.
  void DrainOne(std::mt19937_64& aRandom, double aLeaveMs, double aReplaceMs);
  // Lets the judge look now.
  void ShowToJudge();

private:
  friend class BackendServer;

  struct Gang
  {
    std::map<std::string, BackendServer*> mMembers;
    bool mOver = false;
  };

  const JobStep* StepOf(const std::string& aTask) const;
  void ReplaceAfter(const ServerSpec& aSpec, double aMs);
  void JoinGang(const std::string& aTask, int aRun, BackendServer& aServer);
  void BreakGang(const std::string& aTask, int aRun);
  static std::string GangName(const std::string& aTask, int aRun);

  review::Runtime& mRuntime;
  review::Store& mStore;
  StillJudge& mJudge;
  const ServerBounds mBounds;
  std::vector<std::unique_ptr<BackendServer>> mServers;
  std::vector<TaskStart> mStarts;
  std::vector<TaskEnd> mEnds;
  std::map<std::string, Gang> mGangs;
  std::map<std::string, JobSteps> mSteps;
  int mReplaced = 0;
};

} // namespace flamingoloom::testing::real_cluster
