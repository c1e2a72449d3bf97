#include "testing/platform_world/small_cluster.h"

#include <cstdio>
#include <cstdlib>
#include <sstream>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::testing::platform_world {

using node::CallerStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kOperatorTable = "operators";
constexpr const char* kServerTable = "members";
constexpr const char* kConfigurationKey = "configuration";
constexpr auto kCallerTimeout = seconds(3);
constexpr auto kCallerRetryDelay = milliseconds(300);

} // namespace

class SmallCluster::RowDecoder : public node::PlatformRowDecoder
{
public:
  explicit RowDecoder(const FakeServers& aServers)
    : mServers(aServers)
  {
  }

  std::string OperatorTable() const override { return kOperatorTable; }
  std::string ServerTable() const override { return kServerTable; }
  std::string ConfigurationKey() const override { return kConfigurationKey; }
  // A version, followed by the keys of the only account.
  base::Expected<node::Configuration> ReadConfiguration(
    const std::string& aValue) const override
  {
    node::Configuration configuration;
    node::Account account;
    account.mId = base::AccountId("shop");
    std::istringstream words(aValue);
    words >> configuration.mVersion;
    for (std::string key; words >> key;) {
      account.mKeys.insert(key);
    }
    configuration.mAccounts = { account };
    node::Queue queue;
    queue.mRules = { "queue", "desk", 1, 50, 3.0, milliseconds(500) };
    queue.mHost = "host";
    queue.mPathPrefix = "/q/";
    configuration.mQueues = { queue };
    return configuration;
  }
  std::optional<base::DataCentreId> OutOfServiceDataCentre(
    const std::string&) const override
  {
    return std::nullopt;
  }
  // The value is the server's address.
  base::Expected<scheduler::ServerInfo> ReadServer(
    const std::string& aKey,
    const std::string& aValue) const override
  {
    if (const auto* known = mServers.FindInfo(base::ServerId(aKey))) {
      auto info = *known;
      info.mAddress = aValue;
      return info;
    }
    return base::MakeError(
      base::ErrorCode::eNotFound, "read server entry", aKey, "unknown");
  }

private:
  const FakeServers& mServers;
};

// Prints the events if FLAMINGOLOOM_WORLD_LOG is set.
class SmallCluster::TraceLog : public node::EventLog
{
public:
  explicit TraceLog(const fakes::VirtualClock& aClock)
    : mClock(aClock)
    , mEnabled(std::getenv("FLAMINGOLOOM_WORLD_LOG") != nullptr)
  {
  }

  void Write(const char* aEvent, const Fields& aFields) override
  {
    if (!mEnabled) {
      return;
    }
    std::printf(
      "%lld %s", base::ToMilliseconds(mClock.Now().time_since_epoch()), aEvent);
    for (const auto& [name, value] : aFields) {
      std::printf(" %s=%s", name, value.c_str());
    }
    std::printf("\n");
  }

private:
  const fakes::VirtualClock& mClock;
  const bool mEnabled;
};

struct SmallCluster::Member
{
  Member(SmallCluster& aCluster, std::string aName)
    : mName(std::move(aName))
    , mLoop(aCluster.mClock)
    , mConnection(aCluster.mStore, aCluster.mClock)
    , mDisturbedStore(aCluster.mClock, mConnection)
    , mStore(mLoop, mDisturbedStore)
    , mServersConnection(aCluster.mServers, aCluster.mClock)
    , mDisturbedServers(aCluster.mClock,
                        mServersConnection,
                        aCluster.mOrders,
                        aCluster.mAddresses)
    , mServers(mLoop, mDisturbedServers)
  {
  }

  std::string mName;
  std::string mId;
  PausableLoop mLoop;
  StoreConnection mConnection;
  DisturbedStore mDisturbedStore;
  PausableStore mStore;
  ServersConnection mServersConnection;
  DisturbedServers mDisturbedServers;
  PausableServers mServers;
  std::unique_ptr<node::Instance> mInstance;
};

SmallCluster::SmallCluster(SmallClusterOptions aOptions)
  : mServers(
      mClock,
      mChecker,
      [this](const jobs::TaskName& aName) {
        return mJobs.at(aName.mJob).mTaskTime;
      },
      [](const jobs::TaskName&) { return 1; })
  , mRowDecoder(std::make_unique<RowDecoder>(mServers))
  , mLog(std::make_unique<TraceLog>(mClock))
{
  mClock.RunUntil(base::Time(seconds(1000)));
  for (int i = 0; i < aOptions.mServers; ++i) {
    scheduler::ServerInfo info;
    info.mId = ServerId(i);
    info.mService = "desk";
    info.mRack = "r1";
    info.mCapacity = { 8000, 8000, 8 };
    mServers.Add(info);
    ListServer(i, "a" + std::to_string(i));
  }
  Configure(1, { "key" });
  for (int i = 0; i < aOptions.mInstances; ++i) {
    mMembers.push_back(
      std::make_unique<Member>(*this, "i" + std::to_string(i)));
    StartInstance(*mMembers.back());
  }
}

SmallCluster::~SmallCluster() = default;

void SmallCluster::StartInstance(Member& aMember)
{
  aMember.mId = aMember.mName + "-" + std::to_string(++mIncarnations);
  node::InstanceSettings settings;
  settings.mId = base::InstanceId(aMember.mId);
  settings.mClaimDelay = milliseconds(20 * mIncarnations);
  aMember.mInstance =
    std::make_unique<node::Instance>(node::Ports{ &aMember.mLoop,
                                                  &aMember.mStore,
                                                  &aMember.mServers,
                                                  mRowDecoder.get(),
                                                  mLog.get() },
                                     settings);
  aMember.mInstance->Start();
}

void SmallCluster::Kill(std::size_t aInstance)
{
  auto& member = mMembers.at(aInstance);
  member->mLoop.Kill();
  member->mConnection.Disconnect();
  member->mServersConnection.Disconnect();
  mKilled.push_back(std::move(member));
}

void SmallCluster::Restart(std::size_t aInstance)
{
  mMembers.at(aInstance) =
    std::make_unique<Member>(*this, "i" + std::to_string(aInstance));
  StartInstance(*mMembers[aInstance]);
}

node::Instance& SmallCluster::Instance(std::size_t aInstance)
{
  return *mMembers.at(aInstance)->mInstance;
}

PausableLoop& SmallCluster::Loop(std::size_t aInstance)
{
  return mMembers.at(aInstance)->mLoop;
}

StoreConnection& SmallCluster::Connection(std::size_t aInstance)
{
  return mMembers.at(aInstance)->mConnection;
}

DisturbedStore& SmallCluster::StoreOf(std::size_t aInstance)
{
  return mMembers.at(aInstance)->mDisturbedStore;
}

DisturbedServers& SmallCluster::ServersOf(std::size_t aInstance)
{
  return mMembers.at(aInstance)->mDisturbedServers;
}

std::size_t SmallCluster::Leader() const
{
  const auto rows = mStore.Read(node::kLeaderTable,
                                jobs::kSchedulerPartition,
                                node::kEpochKey,
                                std::string(node::kEpochKey) + '\0');
  const auto value = rows.mRows.at(0).mValue.value();
  const auto holder = value.substr(value.find(' ') + 1);
  for (std::size_t i = 0; i < mMembers.size(); ++i) {
    if (mMembers[i] && mMembers[i]->mId == holder) {
      return i;
    }
  }
  std::abort();
}

std::int64_t SmallCluster::Epoch() const
{
  const auto rows = mStore.Read(node::kLeaderTable,
                                jobs::kSchedulerPartition,
                                node::kEpochKey,
                                std::string(node::kEpochKey) + '\0');
  return rows.mRows.empty() ? 0 : std::atoll(rows.mRows[0].mValue->c_str());
}

void SmallCluster::Configure(std::int64_t aVersion,
                             const std::vector<std::string>& aKeys)
{
  auto value = std::to_string(aVersion);
  for (const auto& key : aKeys) {
    value += " " + key;
  }
  mStore.Put(kOperatorTable, kConfigurationKey, value);
}

base::ServerId SmallCluster::ServerId(int aServer)
{
  return base::ServerId("s" + std::to_string(aServer));
}

void SmallCluster::ListServer(int aServer, const std::string& aAddress)
{
  mStore.Put(kServerTable, ServerId(aServer).Value(), aAddress);
}

void SmallCluster::UnlistServer(int aServer)
{
  mStore.Put(kServerTable, ServerId(aServer).Value(), std::nullopt);
}

std::string SmallCluster::JobId(int aJob)
{
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(aJob + 1));
  return id;
}

void SmallCluster::Submit(std::size_t aInstance,
                          int aJob,
                          const SmallJob& aSpec)
{
  jobs::JobSpec job;
  job.mId = JobId(aJob);
  job.mPayload = "work";
  jobs::StepSpec step;
  step.mTaskCount = aSpec.mTasks;
  step.mPerTask = { 1000, 1000, 1 };
  step.mEstimate = aSpec.mTaskTime;
  job.mSteps = { step };
  mJobs[job.mId] = aSpec;
  mAnswers.erase(aJob);
  mChecker.OnMaybeAccepted(job);
  Instance(aInstance).Api().Submit(
    { "host", "/q/" + job.mId, aSpec.mKey, kCallerTimeout },
    [job] { return base::Expected<jobs::JobSpec>(job); },
    [this, job, aJob](const node::CallerResponse& aResponse) {
      mAnswers[aJob] = aResponse.mCallerStatus;
      mSubmitAnswers[aJob].push_back(aResponse.mCallerStatus);
      if (aResponse.mCallerStatus == CallerStatus::eAccepted) {
        mChecker.OnAccepted(job);
      }
    });
}

void SmallCluster::SubmitUntilAccepted(int aJob, const SmallJob& aSpec)
{
  SubmitAgain(0, aJob, aSpec);
}

void SmallCluster::SubmitAgain(std::size_t aInstance, int aJob, SmallJob aSpec)
{
  if (mMembers[aInstance]) {
    Submit(aInstance, aJob, aSpec);
  }
  mClock.After(kCallerRetryDelay, [this, aInstance, aJob, aSpec] {
    if (Answer(aJob) != CallerStatus::eAccepted) {
      SubmitAgain((aInstance + 1) % mMembers.size(), aJob, aSpec);
    }
  });
}

void SmallCluster::Cancel(std::size_t aInstance, int aJob)
{
  mAnswers.erase(aJob);
  mChecker.OnCancelRequested(JobId(aJob));
  Instance(aInstance).Api().Cancel(
    { "host", "/q/" + JobId(aJob), "key", kCallerTimeout },
    [this, aJob](const node::CallerResponse& aResponse) {
      mAnswers[aJob] = aResponse.mCallerStatus;
      if (aResponse.mCallerStatus == CallerStatus::eCancelled) {
        mChecker.OnCancelled(mClock.Now(), JobId(aJob));
      }
    });
}

node::CallerResponse SmallCluster::QueryLength(std::size_t aInstance)
{
  std::optional<node::CallerResponse> response;
  Instance(aInstance).Api().Query(
    { "host", "/q/", "key", kCallerTimeout },
    [&response](const node::CallerResponse& aResponse) {
      response = aResponse;
    });
  // The length of a queue is answered without a call to the store.
  return response.value();
}

std::optional<CallerStatus> SmallCluster::Answer(int aJob) const
{
  const auto answer = mAnswers.find(aJob);
  return answer == mAnswers.end() ? std::nullopt
                                  : std::make_optional(answer->second);
}

bool SmallCluster::HasJobRow(int aJob) const
{
  const auto id = JobId(aJob);
  return !mStore.Read(jobs::kJobTable, jobs::PartitionOfJob(id), id, id + '\0')
            .mRows.empty();
}

bool SmallCluster::AllDone()
{
  for (const auto& [id, spec] : mJobs) {
    const auto rows =
      mStore.Read(jobs::kStateTable, jobs::kSchedulerPartition, id, id + '\0');
    if (!rows.mRows.empty()) {
      const auto state = jobs::DecodeState(rows.mRows[0].mValue.value_or(""));
      if (state) {
        mChecker.OnStateReported(id, state->mState);
      }
    }
  }
  return mChecker.Unfinished().empty();
}

} // namespace flamingoloom::testing::platform_world
