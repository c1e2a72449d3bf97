// Small stand-ins for the platform's store, for workers and for clients, as
// the pages describe them, for the cases of the third review. Every listener
// uses a loopback address. Thread-safe.
#ifndef FLAMINGOLOOM_REVIEW_STANDINS_3_STAGE_H_
#define FLAMINGOLOOM_REVIEW_STANDINS_3_STAGE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

namespace flamingoloom::review3 {

using Json = nlohmann::json;

struct Reply
{
  int mStatus = 0;
  std::string mBody;
};

struct Query
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mArguments;
  std::string mBody;
};

// Milliseconds of the steady clock since the start of the process.
std::int64_t NowMs();
std::int64_t UnixMs();
void SleepMs(std::int64_t aMs);

// Writes a line to the record file and to standard output.
void OpenRecord(const std::string& aPath);
void Record(const std::string& aLine);

int FreePort();

// Answers each connection on a thread of its own.
class Listener
{
public:
  using Handler = std::function<Reply(const Query&)>;

  explicit Listener(Handler aHandler);
  std::string Address() const;
  // From now on every connection is closed without an answer.
  void Close() { *mClosed = true; }

private:
  int mPort = 0;
  std::shared_ptr<std::atomic<bool>> mClosed =
    std::make_shared<std::atomic<bool>>(false);
};

// One request on a new connection; no value without a complete answer.
std::optional<Reply> Call(const std::string& aAddress,
                          const std::string& aMethod,
                          const std::string& aTarget,
                          const std::string& aHost,
                          const std::string& aKey,
                          const std::string& aBody,
                          int aTimeoutMs);

class Store
{
public:
  Store();
  std::string Address() const { return mListener.Address(); }
  void Put(const std::string& aTable,
           const std::string& aKey,
           const Json& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  using Place = std::tuple<std::string, std::string, std::string>;
  struct Value
  {
    std::int64_t mVersion = 0;
    std::string mBase64;
  };
  struct Change
  {
    Place mPlace;
    Value mValue;
    bool mDeleted = false;
  };

  Reply Handle(const Query& aQuery);
  Reply Transact(const Json& aBody);
  Reply List(const Query& aQuery);
  Reply Feed(const Query& aQuery);
  Reply Parts(const Query& aQuery);
  void Apply(const Place& aPlace, std::optional<std::string> aBase64);
  Json Tail() const;
  static Json Row(const Place& aPlace, const Value& aValue, bool aDeleted);

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::map<Place, Value> mRows;
  std::vector<Change> mHistory;
  std::int64_t mVersion = 0;
  Listener mListener;
};

struct Start
{
  std::int64_t mAtMs;
  std::string mWorker;
  std::string mTask;
  int mRun;
  std::string mSpecification;
};

// The runs of gangs on all workers of the process: members of one run work only
// together. A task is a member if its specification begins with "gang " and the
// number of members.
class Gangs
{
public:
  static Gangs& Instance();
  void Join(const std::string& aTask,
            int aRun,
            const std::string& aSpecification);
  void Break(const std::string& aTask, int aRun);
  bool IsMember(const std::string& aTask, int aRun);
  bool IsBroken(const std::string& aTask, int aRun);
  // When the last member came; none before that.
  std::optional<std::int64_t> CompleteSince(const std::string& aTask, int aRun);

private:
  struct Gang
  {
    std::size_t mSize = 0;
    std::map<std::string, bool> mMembers;
    std::optional<std::int64_t> mCompleteSince;
    bool mBroken = false;
  };
  Gang* Find(const std::string& aTask, int aRun);

  std::mutex mMutex;
  std::map<std::pair<std::string, int>, Gang> mGangs;
};

class Worker
{
public:
  // aTaskMs: how long a task of a specification works; none: it lasts.
  using Length = std::function<std::optional<int>(const std::string&)>;

  Worker(Store& aStore,
         std::string aId,
         std::string aRack,
         std::string aService,
         std::string aZone,
         Length aTaskMs,
         std::size_t aCheckpointBytes = 0);
  // Ends the run of a task as failed by its own fault.
  bool Fail(const std::string& aTask);
  bool Runs(const std::string& aTask);
  std::vector<Start> Starts();
  void Drain();
  // Ends for good: all that runs there ends, and its entry is removed.
  void Leave();
  const std::string& Id() const { return mId; }

private:
  struct Run
  {
    int mRun;
    std::int64_t mStartedMs;
    std::optional<int> mLengthMs;
  };

  // How long a run has worked.
  std::int64_t WorkedMs(const std::string& aTask, const Run& aRun) const;
  // The last checkpoint of a run; empty if there is none yet.
  std::string Saved(const std::string& aTask, const Run& aRun) const;

  Reply Handle(const Query& aQuery);
  Reply HandleStart(const Json& aBody);
  Reply HandleStop(const Json& aBody);
  Reply HandleHold(std::unique_lock<std::mutex>& aLock, const Json& aBody);
  Reply Say(int aStatus, Json aBody) const;
  std::int64_t Clock() const;
  void Register();
  void Tick();
  void End(const std::string& aTask, const std::string& aHow);
  void Extend(const Json& aBody);

  Store& mStore;
  std::string mId;
  std::string mRack;
  std::string mService;
  std::string mZone;
  Length mTaskMs;
  std::size_t mCheckpointBytes;
  std::int64_t mBorn;
  std::mutex mMutex;
  std::condition_variable mEnded;
  std::int64_t mFence = 0;
  std::int64_t mLeaseMs = 0;
  std::int64_t mSequence = 0;
  std::int64_t mLastEnd = 0;
  bool mDraining = false;
  bool mLeft = false;
  std::map<std::string, Run> mRuns;
  std::map<std::string, int> mPast;
  std::map<std::string, std::int64_t> mStopping;
  std::deque<std::pair<std::int64_t, Json>> mEnds;
  std::vector<Start> mStarts;
  Listener mListener;
};

// Writes the settings of an instance, as DEPLOY.md shows them, and returns the
// address for its clients.
struct Instance
{
  std::string mClients;
  std::string mReadiness;
};
Instance WriteSettings(const std::string& aPath,
                       const std::string& aName,
                       const std::string& aZone,
                       const std::string& aStore);

// The parts of a configuration with the service "prism" and the host below.
constexpr const char* kHost = "orders.example";
Json Route(const std::string& aName, int aPriority);
Json Tenant(const std::string& aName, const std::string& aKey);
Json Configuration(const Json& aRoutes, const Json& aTenants);

constexpr int kDeadlineMs = 3000;
// Sends a client's request and records it. Returns the status; 0 without a
// complete answer.
int Send(const std::string& aWho,
         const Instance& aInstance,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::string& aKey,
         const std::string& aBody,
         std::string* aAnswer = nullptr);
bool IsSuccess(int aStatus);

// Whether the environment asks for the disruption: TROUBLE is not 0.
bool HasTrouble();

// Waits until each instance reports itself ready.
bool AwaitReady(const std::vector<Instance>& aInstances, int aTimeoutMs);

} // namespace flamingoloom::review3

#endif
