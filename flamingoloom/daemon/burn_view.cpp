#include "flamingoloom/daemon/burn_view.h"

#include <utility>
#include <vector>

#include "flamingoloom/report/burn_report.h"

namespace flamingoloom::daemon {
namespace {

std::vector<platform::PeerAddress> OtherInstances(DaemonInstance& aInstance)
{
  std::vector<platform::PeerAddress> peers;
  auto& state = aInstance.State();
  for (const platform::Member& member : state.mMembers.Instances()) {
    if (member.mId != state.mIdentity.mId.Value()) {
      peers.push_back({ base::InstanceId(member.mId), member.mPeerAddress });
    }
  }
  return peers;
}

std::string BurnReportJson(const report::CollectedBurn& aCollected,
                           const config::Configuration& aConfiguration)
{
  report::BurnReport report{ report::ReportPairs(aCollected.mCounts,
                                                 aConfiguration),
                             aCollected.mInstances,
                             aCollected.mMissing,
                             aCollected.mCounts.mNotCounted };
  return nlohmann::json{ { "burn", report::ReportToJson(report) } }.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void CollectBurnReport(DaemonInstance& aInstance,
                       platform::Done<std::string> aDone)
{
  auto& state = aInstance.State();
  if (!state.mConfig) {
    aDone(base::MakeError(base::ErrorCode::eUnavailable,
                          "show view",
                          state.mIdentity.mId.Value(),
                          "there is no configuration yet"));
    return;
  }
  report::CollectBurn(state.mPorts,
                      state.mIdentity.mId,
                      aInstance.Burn(),
                      OtherInstances(aInstance),
                      [config = state.mConfig, done = std::move(aDone)](
                        const report::CollectedBurn& aCollected) {
                        done(BurnReportJson(aCollected, *config));
                      });
}

} // namespace flamingoloom::daemon
