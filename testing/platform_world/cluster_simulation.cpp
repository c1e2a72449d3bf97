#include "testing/platform_world/cluster_simulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "testing/platform_world/clock_loop.h"

namespace flamingoloom::testing::platform_world {

using base::Duration;
using base::ServerId;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Decodes the rows of operators and servers; a server is found by its row's key
// alone.
class ClusterSimulation::FakeRowDecoder : public node::PlatformRowDecoder
{
public:
  explicit FakeRowDecoder(const FakeServers& aServers)
    : mServers(aServers)
  {
  }

  std::string OperatorTable() const override { return "operators"; }
  std::string ServerTable() const override { return "members"; }
  std::string ConfigurationKey() const override { return "configuration"; }
  base::Expected<node::Configuration> ReadConfiguration(
    const std::string& aValue) const override
  {
    node::Configuration configuration;
    configuration.mVersion = std::stoll(aValue);
    node::Queue queue;
    queue.mRules = { "queue", "desk", 1, 50, 3.0, milliseconds(500) };
    queue.mHost = "host";
    queue.mPathPrefix = "/q/";
    configuration.mQueues = { queue };
    configuration.mAccounts = {
      { base::AccountId("shop"), { "key" }, { 8, 0, {} } }
    };
    return configuration;
  }
  std::optional<base::DataCentreId> OutOfServiceDataCentre(
    const std::string&) const override
  {
    return std::nullopt;
  }
  base::Expected<scheduler::ServerInfo> ReadServer(
    const std::string& aKey,
    const std::string&) const override
  {
    if (const auto* info = mServers.FindInfo(ServerId(aKey))) {
      return *info;
    }
    return base::MakeError(
      base::ErrorCode::eNotFound, "read server entry", aKey, "unknown");
  }

private:
  const FakeServers& mServers;
};

// Prints the events if FLAMINGOLOOM_WORLD_LOG is set, to trace the run of a
// seed.
class ClusterSimulation::TraceLog : public node::EventLog
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

struct ClusterSimulation::Member
{
  std::string mName;
  std::unique_ptr<ClockLoop> mLoop;
  std::unique_ptr<StoreConnection> mStore;
  std::unique_ptr<ServersConnection> mServers;
  std::unique_ptr<node::Instance> mInstance;
  // It was told to stop and is not started again yet.
  bool mEnding = false;
};

ClusterSimulation::ClusterSimulation(SimulationOptions aOptions)
  : mOptions(std::move(aOptions))
  , mClock(mOptions.mSeed)
  , mStore(mClock)
  , mServers(
      mClock,
      mChecker,
      [this](const jobs::TaskName& aName) {
        const auto& step =
          mJobs.at(aName.mJob).mSteps.at(static_cast<std::size_t>(aName.mStep));
        return step.mEstimate;
      },
      [this](const jobs::TaskName& aName) {
        const auto& step =
          mJobs.at(aName.mJob).mSteps.at(static_cast<std::size_t>(aName.mStep));
        return step.mGang ? step.mTaskCount : 1;
      })
  , mRowDecoder(std::make_unique<FakeRowDecoder>(mServers))
  , mLog(std::make_unique<TraceLog>(mClock))
{
  mClock.RunUntil(base::Time(seconds(1000)));
  for (int i = 0; i < mOptions.mServers; ++i) {
    scheduler::ServerInfo info;
    info.mId = ServerId("s" + std::to_string(i));
    info.mAddress = info.mId.Value();
    info.mService = "desk";
    info.mRack = i % 2 == 0 ? "r1" : "r2";
    info.mCapacity = { 8000, 8000, 8 };
    mServers.Add(info);
  }
  StoreServerList();
  mStore.Put("operators", "configuration", "1");
  for (const auto& transaction : mOptions.mStoredRows) {
    mStore.Apply(transaction);
  }
  for (int i = 0; i < mOptions.mInstances; ++i) {
    auto member = std::make_unique<Member>();
    member->mName = "i" + std::to_string(i);
    StartInstance(*member);
    mMembers.push_back(std::move(member));
  }
}

ClusterSimulation::~ClusterSimulation() = default;

void ClusterSimulation::StoreServerList()
{
  for (const auto& info : mServers.ServerInfos()) {
    mStore.Put("members", info.mId.Value(), "entry");
  }
}

void ClusterSimulation::StartInstance(Member& aMember)
{
  aMember.mLoop = std::make_unique<ClockLoop>(mClock);
  aMember.mStore = std::make_unique<StoreConnection>(mStore, mClock);
  aMember.mServers = std::make_unique<ServersConnection>(mServers, mClock);
  node::InstanceSettings settings;
  settings.mId =
    base::InstanceId(aMember.mName + "-" + std::to_string(++mIncarnations));
  settings.mClaimDelay = mClock.Between(milliseconds(0), milliseconds(250));
  if (mOptions.mAdjustSettings) {
    mOptions.mAdjustSettings(settings);
  }
  aMember.mInstance =
    std::make_unique<node::Instance>(node::Ports{ aMember.mLoop.get(),
                                                  aMember.mStore.get(),
                                                  aMember.mServers.get(),
                                                  mRowDecoder.get(),
                                                  mLog.get() },
                                     settings);
  aMember.mInstance->Start();
}

void ClusterSimulation::KillInstance(Member& aMember)
{
  aMember.mLoop->Kill();
  aMember.mStore->Disconnect();
  aMember.mServers->Disconnect();
  // Objects of a killed instance are not destroyed: pending actions refer to
  // them.
  static_cast<void>(aMember.mInstance.release());
  static_cast<void>(aMember.mLoop.release());
  static_cast<void>(aMember.mStore.release());
  static_cast<void>(aMember.mServers.release());
}

ClusterSimulation::Member* ClusterSimulation::RandomMember()
{
  return mMembers[mClock.Random() % mMembers.size()].get();
}

void ClusterSimulation::SubmitJob(int aNumber)
{
  char id[17];
  std::snprintf(id, sizeof(id), "%016x", static_cast<unsigned>(aNumber + 1));
  jobs::JobSpec job;
  job.mId = id;
  job.mPayload = "work";
  const int steps = mClock.Chance(0.3) ? 2 : 1;
  for (int i = 0; i < steps; ++i) {
    jobs::StepSpec step;
    step.mTaskCount = 1 + static_cast<int>(mClock.Random() % 4);
    step.mPerTask = { 1000, 1000, 1 };
    step.mEstimate = mClock.Between(milliseconds(300), mOptions.mMaxTaskTime);
    step.mGang = step.mTaskCount > 1 && mClock.Chance(0.4);
    if (i > 0) {
      step.mDependsOn = { i - 1 };
    }
    job.mSteps.push_back(step);
  }
  mJobs[job.mId] = job;
  CallSubmit(job, 1);
  if (mClock.Chance(0.15)) {
    mClock.After(mClock.Between(milliseconds(50), milliseconds(3000)),
                 [this, name = job.mId] { CancelJob(name); });
  }
}

void ClusterSimulation::CallSubmit(const jobs::JobSpec& aJob, int aCallAttempt)
{
  constexpr int kMaxCalls = 12;
  if (aCallAttempt > kMaxCalls) {
    return;
  }
  mChecker.OnMaybeAccepted(aJob);
  const auto retry = [this, aJob, aCallAttempt] {
    mClock.After(milliseconds(700), [this, aJob, aCallAttempt] {
      CallSubmit(aJob, aCallAttempt + 1);
    });
  };
  RandomMember()->mInstance->Api().Submit(
    { "host", "/q/" + aJob.mId, "key", seconds(3) },
    [aJob] { return base::Expected<jobs::JobSpec>(aJob); },
    [this, aJob, retry](const node::CallerResponse& aResponse) {
      if (aResponse.mCallerStatus == node::CallerStatus::eAccepted) {
        mChecker.OnAccepted(aJob);
      } else {
        retry();
      }
    });
}

void ClusterSimulation::CancelJob(const std::string& aId)
{
  mChecker.OnCancelRequested(aId);
  RandomMember()->mInstance->Api().Cancel(
    { "host", "/q/" + aId, "key", seconds(3) },
    [this, aId](const node::CallerResponse& aResponse) {
      if (aResponse.mCallerStatus == node::CallerStatus::eCancelled ||
          aResponse.mCallerStatus == node::CallerStatus::eNoSuchJob) {
        mChecker.OnCancelled(mClock.Now(), aId);
      } else {
        // The cancellation marker may have been stored although the call
        // failed.
        mClock.After(milliseconds(500), [this, aId] { CancelJob(aId); });
      }
    });
}

void ClusterSimulation::QueryStates()
{
  for (const auto& [id, job] : mJobs) {
    RandomMember()->mInstance->Api().Query(
      { "host", "/q/" + id, "key", seconds(3) },
      [this, name = id](const node::CallerResponse& aResponse) {
        if (aResponse.mCallerStatus == node::CallerStatus::eFound) {
          mChecker.OnStateReported(name, aResponse.mState);
        }
      });
  }
}

void ClusterSimulation::InjectFault()
{
  Member* member = RandomMember();
  const auto length = mClock.Between(milliseconds(500), milliseconds(9000));
  const ServerId server(
    "s" + std::to_string(mClock.Random() %
                         static_cast<std::uint64_t>(mOptions.mServers)));
  const auto storeFault = [&](StoreFault aFault, bool aAllInstances) {
    for (auto& each : mMembers) {
      if (aAllInstances || each.get() == member) {
        each->mStore->SetFault(aFault);
      }
    }
    mClock.After(length, [this] {
      for (auto& each : mMembers) {
        each->mStore->SetFault(StoreFault::eNone);
      }
    });
  };
  switch (mClock.Random() % 10) {
    case 0:
    case 1:
      KillInstance(*member);
      StartInstance(*member);
      break;
    case 2:
      storeFault(StoreFault::eRejectsCalls, mClock.Chance(0.5));
      break;
    case 3:
      storeFault(StoreFault::eUnresponsive, mClock.Chance(0.5));
      break;
    case 4:
      storeFault(StoreFault::eLosesResponses, true);
      break;
    case 5:
      mServers.Crash(server);
      StoreServerList();
      break;
    case 6:
      mServers.SetUnreachable(server, true);
      mClock.After(length,
                   [this, server] { mServers.SetUnreachable(server, false); });
      break;
    case 7:
      mServers.SetLateCommandShare(0.2);
      mClock.After(length, [this] { mServers.SetLateCommandShare(0); });
      break;
    case 8:
      mStore.SetTransactionTime(milliseconds(250));
      mClock.After(length, [this] { mStore.SetTransactionTime(Duration(0)); });
      break;
    default:
      mStore.CompactHistory();
      break;
  }
}

void ClusterSimulation::Submit(const jobs::JobSpec& aJob)
{
  mJobs[aJob.mId] = aJob;
  CallSubmit(aJob, 1);
}

void ClusterSimulation::RemoveEntryLater(const ServerId& aServer)
{
  // Three heartbeats.
  constexpr auto kEntryLifetime = milliseconds(4500);
  mClock.After(kEntryLifetime, [this, aServer] {
    if (mServers.IsUnreachable(aServer)) {
      mStore.Put("members", aServer.Value(), std::nullopt);
    }
  });
}

void ClusterSimulation::LoseServer(const ServerId& aServer)
{
  mServers.SetUnreachable(aServer, true);
  mServers.Crash(aServer);
  RemoveEntryLater(aServer);
}

void ClusterSimulation::CutServer(const ServerId& aServer, Duration aDuration)
{
  mServers.SetUnreachable(aServer, true);
  RemoveEntryLater(aServer);
  mClock.After(aDuration, [this, aServer] {
    mServers.SetUnreachable(aServer, false);
    mStore.Put("members", aServer.Value(), "entry");
  });
}

std::int64_t ClusterSimulation::Epoch() const
{
  const auto rows = mStore.Read(node::kLeaderTable,
                                jobs::kSchedulerPartition,
                                node::kEpochKey,
                                std::string(node::kEpochKey) + '\0');
  return rows.mRows.empty()
           ? 0
           : std::stoll(rows.mRows.front().mValue.value_or("0"));
}

bool ClusterSimulation::EndLeader(bool aPlanned)
{
  const auto rows = mStore.Read(node::kLeaderTable,
                                jobs::kSchedulerPartition,
                                node::kRenewalKey,
                                std::string(node::kRenewalKey) + '\0');
  const auto holder =
    rows.mRows.empty() ? "" : rows.mRows.front().mValue.value_or("");
  for (auto& member : mMembers) {
    if (member->mEnding || holder.rfind(member->mName + "-", 0) != 0) {
      continue;
    }
    member->mEnding = true;
    if (aPlanned) {
      member->mInstance->StepDown();
    }
    // A planned stop leaves time for the calls in flight.
    mClock.After(aPlanned ? milliseconds(100) : milliseconds(0),
                 [this, &member] { KillInstance(*member); });
    mClock.After(seconds(1), [this, &member] {
      member->mEnding = false;
      StartInstance(*member);
    });
    return true;
  }
  return false;
}

void ClusterSimulation::Run()
{
  const auto start = mClock.Now() + seconds(2);
  for (int i = 0; i < mOptions.mJobs; ++i) {
    mClock.At(start + mClock.Between(Duration(0), mOptions.mLoadDuration),
              [this, i] { SubmitJob(i); });
  }
  if (mOptions.mFaults) {
    const int faults = 4 + static_cast<int>(mClock.Random() % 10);
    for (int i = 0; i < faults; ++i) {
      mClock.At(start + mClock.Between(Duration(0), mOptions.mLoadDuration),
                [this] { InjectFault(); });
    }
  }
  const auto end = start + mOptions.mLoadDuration + mOptions.mQuietDuration;
  for (auto at = start; at < end; at += seconds(2)) {
    mClock.At(at, [this] { QueryStates(); });
  }
  mClock.RunUntil(end);
}

} // namespace flamingoloom::testing::platform_world
