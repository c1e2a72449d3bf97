// Workers of one service, as the platform's pages describe them: fencing
// tokens, leases, numbered ends that are listed 500 at a time, and gangs.
//
// The specification of a job tells these workers how its tasks behave:
// "ms=N" (run time), "spread=N" (added to it, by the task's index), "gang=N"
// (number of members), "lasts" (until it is stopped).
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "review/standins/http_server.h"
#include "review/standins/runtime.h"
#include "review/standins/store.h"

namespace review {

struct WorkerSpec
{
  std::string mId;
  std::string mService;
  std::string mZone;
  std::string mKind = "a";
  std::string mRack;
  int mCpu = 0;
  int mMemoryMb = 0;
  int mGpus = 0;
  int mSlots = 8;
};

// What a worker does with new work while its health answer is good.
enum class Fault
{
  eNone,
  // All that it starts fails.
  eErrors,
  // It rejects each start with 503.
  eBusy,
};

struct TaskStart
{
  double mAtMs = 0;
  std::string mTask;
  int mRun = 0;
  std::string mWorker;
  // The labels of the worker when it started the task.
  std::vector<std::string> mLabels;
};

struct TaskEnd
{
  double mAtMs = 0;
  std::string mTask;
  int mRun = 0;
  std::string mWorker;
  std::string mHow;
  // Whether acked-through has reached it before the worker's lease lapsed.
  bool mNoted = false;
  bool mLapsedBeforeNoted = false;
};

struct WorkerCrash
{
  double mAtMs = 0;
  std::string mWorker;
};

class Fleet;

class Worker
{
public:
  Worker(Runtime& aRuntime, Store& aStore, Fleet& aFleet, WorkerSpec aSpec);

  const WorkerSpec& Spec() const { return mSpec; }
  bool IsUp() const { return mUp; }
  bool IsIdle() const { return mRuns.empty(); }
  void SetFault(Fault aFault) { mFault = aFault; }
  // The worker and all that runs on it ends, and its connections are reset. The
  // store drops its entry after three heartbeats.
  void Crash();
  // A new life under the same id and address, maybe of another kind. It
  // registers before it takes calls.
  void Restart(const std::string& aKind);
  // Ends a run here, if it is there.
  void EndRun(const std::string& aTask, int aRun, const std::string& aHow);

private:
  friend class Fleet;

  struct Run
  {
    int mRun = 0;
    double mStartedMs = 0;
    double mLengthMs = 0;
    bool mWorking = false;
  };

  struct Waiter
  {
    std::int64_t mAfter = 0;
    Responder mRespond;
  };

  std::vector<std::string> Labels() const;
  std::int64_t ClockMs() const;
  void Register();
  void Beat(int aLife);
  void WatchLease(int aLife);
  void Handle(const Request& aRequest, const Responder& aRespond);
  Response Start(const Json& aBody);
  Response Stop(const Json& aBody);
  void Hold(const Json& aBody, const Responder& aRespond);
  Response Lists() const;
  Response Reply(int aStatus, Json aBody) const;
  void ExtendLease(const Json& aBody);
  bool IsFenced(const Json& aBody);
  bool HasRoom(const std::string& aTask) const;
  void Begin(const std::string& aTask, const std::string& aSpecification);

  Runtime& mRuntime;
  Store& mStore;
  Fleet& mFleet;
  WorkerSpec mSpec;
  std::shared_ptr<HttpServer> mServer;
  bool mUp = false;
  Fault mFault = Fault::eNone;
  // What follows is new in each life.
  int mLife = 0;
  std::int64_t mBorn = 0;
  std::int64_t mSequence = 0;
  double mClockStartMs = 0;
  std::int64_t mFence = 0;
  std::int64_t mLeaseUntilMs = 0;
  std::map<std::string, Run> mRuns;
  // The highest run of each task that was stopped or ended here.
  std::map<std::string, int> mPastRuns;
  std::int64_t mLastEnd = 0;
  // Ends that are not acknowledged, by number, as indices into the fleet's
  // list of ends.
  std::deque<std::pair<std::int64_t, std::size_t>> mEnds;
  std::vector<Waiter> mWaiters;
};

class Fleet
{
public:
  Fleet(Runtime& aRuntime, Store& aStore);

  Worker& Add(const WorkerSpec& aSpec);
  std::vector<std::unique_ptr<Worker>>& Workers() { return mWorkers; }
  const std::vector<TaskStart>& Starts() const { return mStarts; }
  const std::vector<TaskEnd>& Ends() const { return mEnds; }
  const std::vector<WorkerCrash>& Crashes() const { return mCrashes; }
  std::size_t MostListedEnds() const { return mMostListedEnds; }
  // What a task of a step takes, for the workers' admission check.
  void SetNeed(const std::string& aJob, const Json& aStep);

private:
  friend class Worker;

  struct Gang
  {
    std::map<std::string, Worker*> mMembers;
    bool mOver = false;
  };

  void JoinGang(const std::string& aTask, int aRun, int aSize, Worker& aWorker);
  void BreakGang(const std::string& aTask, int aRun);
  static std::string GangName(const std::string& aTask, int aRun);

  Runtime& mRuntime;
  Store& mStore;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::vector<TaskStart> mStarts;
  std::vector<TaskEnd> mEnds;
  std::vector<WorkerCrash> mCrashes;
  std::map<std::string, Gang> mGangs;
  std::map<std::string, Json> mNeeds;
  std::size_t mMostListedEnds = 0;
};

} // namespace review
