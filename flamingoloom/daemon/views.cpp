#include "flamingoloom/daemon/views.h"

#include <array>
#include <utility>

#include <nlohmann/json.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace flamingoloom::daemon {
namespace {

using nlohmann::json;

json MemberJson(const platform::Member& aMember)
{
  return { { "id", aMember.mId },
           { "dataCentre", aMember.mDataCentre.Value() },
           { "region", aMember.mRegion.Value() },
           { "rack", aMember.mRack },
           { "address", aMember.mAddress },
           { "state",
             aMember.mState == platform::MemberState::eLive ? "live"
                                                            : "leaving" },
           { "slots", aMember.mSlots },
           { "accelerators", aMember.mAccelerators } };
}

json InstancesJson(DaemonInstance& aInstance)
{
  json instances = json::array();
  auto& state = aInstance.State();
  for (const platform::Member& member : state.mMembers.Instances()) {
    json owned = json::array();
    for (const auto& [name, dataCentre] : aInstance.ManagedDataCentres()) {
      const auto& lease = dataCentre->mOwnership.State().Current();
      if (lease && lease->mOwner.Value() == member.mId && !lease->mReleased) {
        owned.push_back(name.Value());
      }
    }
    json entry = MemberJson(member);
    entry["owns"] = std::move(owned);
    instances.push_back(std::move(entry));
  }
  return instances;
}

json ServersJson(DaemonInstance& aInstance)
{
  json servers = json::array();
  for (const platform::Member& server : aInstance.State().mMembers.Servers()) {
    servers.push_back(MemberJson(server));
  }
  return servers;
}

json JobJson(const ledger::Record& aRecord)
{
  json servers = json::array();
  if (aRecord.mAttempt) {
    for (const ledger::TaskPlacement& placement :
         aRecord.mAttempt->mPlacements) {
      servers.push_back(placement.mServer.mId.Value());
    }
  }
  return { { "account", aRecord.mRequest.mAccount.Value() },
           { "key", aRecord.mRequest.mKey },
           { "kind", aRecord.mKind.Value() },
           { "dataCentre", aRecord.mDataCentre.Value() },
           { "state",
             aRecord.mState == ledger::RecordState::eStarting ? "running"
                                                              : "waiting" },
           { "attempts", aRecord.mAttemptsMade },
           { "reason", aRecord.mReason },
           { "servers", std::move(servers) } };
}

json JobsJson(DaemonInstance& aInstance)
{
  json jobs = json::array();
  for (const auto& [name, dataCentre] : aInstance.ManagedDataCentres()) {
    for (const ledger::Record& record : dataCentre->mJobs.Records()) {
      jobs.push_back(JobJson(record));
    }
  }
  return jobs;
}

// Lists the allocated ranges of accelerators with the requests that hold them.
json AllocationsJson(const placement::Placement& aPlacement)
{
  json allocations = json::array();
  for (const placement::Allocation& allocation : aPlacement.Allocations()) {
    json blocks = json::array();
    for (const placement::Range& range : allocation.mBlocks) {
      blocks.push_back(
        { { "first", range.mFirst }, { "count", range.mCount } });
    }
    allocations.push_back({ { "account", allocation.mRequest.mAccount.Value() },
                            { "key", allocation.mRequest.mKey },
                            { "stopping", allocation.mStopping },
                            { "blocks", std::move(blocks) } });
  }
  return allocations;
}

json DataCentreCapacityJson(const control::AcceleratorTable& aAccelerators)
{
  const placement::Placement* placement = aAccelerators.Allocator();
  if (!placement) {
    return json::object();
  }
  json servers = json::array();
  int perServer = placement->Shape().AcceleratorsPerServer();
  int count = placement->Shape().Accelerators() / perServer;
  for (int i = 0; i < count; ++i) {
    auto server = aAccelerators.ServerAt(i);
    servers.push_back(server ? server->mId : "");
  }
  return { { "servers", std::move(servers) },
           { "acceleratorsPerServer", perServer },
           { "accelerators", placement->Shape().Accelerators() },
           { "free", placement->FreeAccelerators() },
           { "fragmentation", placement->Fragmentation() },
           { "allocations", AllocationsJson(*placement) } };
}

json CapacityJson(DaemonInstance& aInstance)
{
  json dataCentres = json::array();
  for (const auto& [name, dataCentre] : aInstance.ManagedDataCentres()) {
    json entry = DataCentreCapacityJson(dataCentre->mJobs.Accelerators());
    entry["dataCentre"] = name.Value();
    entry["ownedHere"] = dataCentre->mOwnership.Holds();
    dataCentres.push_back(std::move(entry));
  }
  return dataCentres;
}

struct CounterDescription
{
  const char* mName;
  const char* mHelp;
  std::uint64_t control::Counters::*mValue;
};

using control::Counters;

constexpr std::array kCounterDescriptions = {
  CounterDescription{ "quick_requests",
                      "Requests without a record.",
                      &Counters::mUnrecordedRequests },
  CounterDescription{ "quick_refused",
                      "Quick requests that got no answer.",
                      &Counters::mUnrecordedRefused },
  CounterDescription{ "quick_retries",
                      "Quick requests sent again.",
                      &Counters::mUnrecordedRetries },
  CounterDescription{ "recorded_requests",
                      "Requests with a record.",
                      &Counters::mRecordedRequests },
  CounterDescription{ "joined_requests",
                      "Requests that joined an earlier one.",
                      &Counters::mDeduplicatedRequests },
  CounterDescription{ "attempts",
                      "Starts sent to backend servers.",
                      &Counters::mAttempts },
  CounterDescription{ "attempts_failed",
                      "Attempts whose task failed.",
                      &Counters::mAttemptsFailed },
  CounterDescription{ "attempts_lost",
                      "Attempts with an unknown outcome.",
                      &Counters::mAttemptsLost },
  CounterDescription{ "unknown_outcomes",
                      "Requests that ended as unknown.",
                      &Counters::mUnknownOutcomes },
  CounterDescription{ "bad_answers",
                      "Answers that were not whole.",
                      &Counters::mBadAnswers },
  CounterDescription{ "epochs_held",
                      "Epochs that this instance has held.",
                      &Counters::mTakeOvers },
  CounterDescription{ "leases_lost",
                      "Leases that ended or were lost.",
                      &Counters::mLeasesLost },
  CounterDescription{ "stale_epochs",
                      "Messages refused for their epoch.",
                      &Counters::mStaleEpochs },
  CounterDescription{ "moved_requests",
                      "Requests moved to another data centre.",
                      &Counters::mRelocatedRequests },
  CounterDescription{ "preemptions",
                      "Work stopped for a guarantee.",
                      &Counters::mPreemptions },
  CounterDescription{ "store_failures",
                      "Failed calls of the platform's store.",
                      &Counters::mStoreFailures },
  CounterDescription{ "config_changes",
                      "Configurations put in force.",
                      &Counters::mConfigChanges },
};

} // namespace

base::Expected<std::string> RenderView(DaemonInstance& aInstance,
                                       const std::string& aTopic)
{
  json view;
  if (aTopic == "instances") {
    view = InstancesJson(aInstance);
  } else if (aTopic == "servers") {
    view = ServersJson(aInstance);
  } else if (aTopic == "jobs") {
    view = JobsJson(aInstance);
  } else if (aTopic == "capacity") {
    view = CapacityJson(aInstance);
  } else {
    return base::MakeError(base::ErrorCode::eNotFound,
                           "show view",
                           aInstance.State().mIdentity.mId.Value(),
                           "no such view: " + aTopic,
                           "topic");
  }
  return json{ { aTopic, std::move(view) } }.dump(
    -1, ' ', false, json::error_handler_t::replace);
}

std::string RenderConfigHistory(
  const std::vector<control::ConfigRow>& aVersions)
{
  json versions = json::array();
  for (const control::ConfigRow& row : aVersions) {
    versions.push_back(
      { { "version", row.mVersion }, { "digest", row.mDigest } });
  }
  return json{ { "history", std::move(versions) } }.dump();
}

std::string RenderMetrics(DaemonInstance& aInstance)
{
  prometheus::Registry registry;
  const Counters& counters = aInstance.State().mCounters;
  for (const CounterDescription& entry : kCounterDescriptions) {
    auto& family =
      prometheus::BuildCounter()
        .Name(std::string("flamingoloom_") + entry.mName + "_total")
        .Help(entry.mHelp)
        .Register(registry);
    family.Add({}).Increment(static_cast<double>(counters.*entry.mValue));
  }
  auto& owned = prometheus::BuildGauge()
                  .Name("flamingoloom_owned_data_centres")
                  .Help("Data centres whose lease is held here.")
                  .Register(registry);
  auto& open = prometheus::BuildGauge()
                 .Name("flamingoloom_open_requests")
                 .Help("Recorded requests that are open here.")
                 .Register(registry);
  double held = 0;
  double openCount = 0;
  for (const auto& [name, dataCentre] : aInstance.ManagedDataCentres()) {
    held += dataCentre->mOwnership.Holds() ? 1 : 0;
    openCount += static_cast<double>(dataCentre->mJobs.OpenCount());
  }
  owned.Add({}).Set(held);
  open.Add({}).Set(openCount);
  prometheus::BuildGauge()
    .Name("flamingoloom_config_version")
    .Help("Version of the configuration in force.")
    .Register(registry)
    .Add({})
    .Set(static_cast<double>(aInstance.ConfigVersion()));
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace flamingoloom::daemon
