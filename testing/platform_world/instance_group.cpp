#include "testing/platform_world/instance_group.h"

#include <algorithm>
#include <cstdio>
#include <optional>

namespace flamingoloom::testing::platform_world {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kOperatorTable = "operators";
constexpr const char* kServerTable = "members";
constexpr const char* kConfigurationKey = "configuration";
// What one queue takes in a configuration of the platform.
constexpr std::size_t kBytesPerQueue = 240;
constexpr int kMaxClaimDelayMs = 250;

} // namespace

std::string EncodeTestConfiguration(std::int64_t aVersion, int aQueues)
{
  auto value = std::to_string(aVersion) + " " + std::to_string(aQueues) + " ";
  value.resize(
    value.size() + static_cast<std::size_t>(aQueues) * kBytesPerQueue, '.');
  return value;
}

class InstanceGroup::RowDecoder : public node::PlatformRowDecoder
{
public:
  std::string OperatorTable() const override { return kOperatorTable; }
  std::string ServerTable() const override { return kServerTable; }
  std::string ConfigurationKey() const override { return kConfigurationKey; }

  base::Expected<node::Configuration> ReadConfiguration(
    const std::string& aValue) const override
  {
    long long version = 0;
    int queues = 0;
    if (std::sscanf(aValue.c_str(), "%lld %d", &version, &queues) != 2) {
      return base::MakeError(
        base::ErrorCode::eInvalid, "read configuration", "store", "no numbers");
    }
    node::Configuration configuration;
    configuration.mVersion = version;
    for (int i = 0; i < queues; ++i) {
      const auto number = std::to_string(i);
      node::Queue queue;
      queue.mRules = { "queue" + number, "service", 1, 50, 3.0,
                       milliseconds(500) };
      queue.mHost = "host" + number;
      queue.mPathPrefix = "/q/";
      configuration.mQueues.push_back(std::move(queue));
    }
    configuration.mAccounts = {
      { base::AccountId("shop"), { "key" }, { 8, 0, {} } }
    };
    return configuration;
  }

  std::optional<base::DataCentreId> OutOfServiceDataCentre(
    const std::string& aKey) const override
  {
    if (aKey == kConfigurationKey) {
      return std::nullopt;
    }
    return base::DataCentreId(aKey);
  }

  base::Expected<scheduler::ServerInfo> ReadServer(
    const std::string& aKey,
    const std::string&) const override
  {
    return base::MakeError(
      base::ErrorCode::eNotFound, "read server entry", aKey, "unknown");
  }
};

class InstanceGroup::CountingLog : public node::EventLog
{
public:
  void Write(const char* aEvent, const Fields&) override { ++mCounts[aEvent]; }

  std::map<std::string, int> mCounts;
};

struct InstanceGroup::Member
{
  Member(fakes::VirtualClock& aClock, FakeStore& aStore)
    : mLoop(aClock)
    , mConnection(aStore, aClock)
  {
  }

  std::string mId;
  ClockLoop mLoop;
  StoreConnection mConnection;
  std::unique_ptr<node::Instance> mInstance;
  bool mAlive = true;
};

InstanceGroup::InstanceGroup(int aNear,
                             int aRemote,
                             double aLinkBytesPerSecond,
                             std::uint64_t aSeed)
  : mClock(aSeed)
  , mLink(mClock, aLinkBytesPerSecond)
  , mLog(std::make_unique<CountingLog>())
  , mRowDecoder(std::make_unique<RowDecoder>())
{
  mClock.RunUntil(base::Time(seconds(1000)));
  for (int i = 0; i < aNear + aRemote; ++i) {
    auto member = std::make_unique<Member>(mClock, mStore);
    member->mId = "i" + std::to_string(i);
    if (i >= aNear) {
      member->mConnection.SetLink(mLink);
    }
    node::InstanceSettings settings;
    settings.mId = base::InstanceId(member->mId);
    settings.mClaimDelay =
      mClock.Between(milliseconds(0), milliseconds(kMaxClaimDelayMs));
    member->mInstance =
      std::make_unique<node::Instance>(node::Ports{ &member->mLoop,
                                                    &member->mConnection,
                                                    nullptr,
                                                    mRowDecoder.get(),
                                                    mLog.get() },
                                       settings);
    member->mInstance->Start();
    mMembers.push_back(std::move(member));
  }
}

InstanceGroup::~InstanceGroup() = default;

void InstanceGroup::Configure(std::int64_t aVersion, int aQueues)
{
  mStore.Put(kOperatorTable,
             kConfigurationKey,
             EncodeTestConfiguration(aVersion, aQueues));
}

void InstanceGroup::PutUnreadableServers(int aCount)
{
  for (int i = 0; i < aCount; ++i) {
    mStore.Put(kServerTable, "s" + std::to_string(i), "odd");
  }
}

int InstanceGroup::CountEvents(const std::string& aEvent) const
{
  const auto count = mLog->mCounts.find(aEvent);
  return count == mLog->mCounts.end() ? 0 : count->second;
}

void InstanceGroup::SetFault(std::size_t aInstance, StoreFault aFault)
{
  mMembers.at(aInstance)->mConnection.SetFault(aFault);
}

void InstanceGroup::SetFaults(StoreFault aFault)
{
  for (auto& member : mMembers) {
    member->mConnection.SetFault(aFault);
  }
}

void InstanceGroup::SetWatchDelay(std::size_t aInstance,
                                  const std::string& aTable,
                                  base::Duration aDelay)
{
  mMembers.at(aInstance)->mConnection.SetWatchDelay(aTable, aDelay);
}

int InstanceGroup::CountWithVersion(std::int64_t aVersion) const
{
  int count = 0;
  for (const auto& member : mMembers) {
    const auto& configuration = member->mInstance->ActiveConfiguration();
    count +=
      member->mAlive && configuration && configuration->mVersion == aVersion;
  }
  return count;
}

int InstanceGroup::CountReady() const
{
  return static_cast<int>(
    std::count_if(mMembers.begin(), mMembers.end(), [](const auto& aMember) {
      return aMember->mAlive && aMember->mInstance->IsReady();
    }));
}

node::CallerResponse InstanceGroup::QueryLength(std::size_t aInstance,
                                                const std::string& aHost,
                                                const std::string& aKey)
{
  std::optional<node::CallerResponse> response;
  mMembers.at(aInstance)->mInstance->Api().Query(
    { aHost, "/q/", aKey, seconds(3) },
    [&response](const node::CallerResponse& aResponse) {
      response = aResponse;
    });
  // The length of a queue is answered without a call to the store.
  return response.value();
}

void InstanceGroup::KillLeader()
{
  const auto rows = mStore.Read(node::kLeaderTable,
                                jobs::kSchedulerPartition,
                                node::kEpochKey,
                                std::string(node::kEpochKey) + '\0');
  const auto holder = rows.mRows.at(0).mValue.value();
  for (auto& member : mMembers) {
    if (holder.substr(holder.find(' ') + 1) == member->mId) {
      member->mLoop.Kill();
      member->mConnection.Disconnect();
      member->mAlive = false;
    }
  }
}

} // namespace flamingoloom::testing::platform_world
