#include "testing/platform_world/disturbed_ports.h"

namespace flamingoloom::testing::platform_world {

using base::Duration;
using base::ErrorCode;
using base::Expected;
using base::MakeError;
using scheduler::StartResult;

namespace {

constexpr auto kNetworkDelay = std::chrono::milliseconds(2);

// Makes the call aCall as aDisturbance says. aCall gets the callback for its
// response; aThen gets aTimedOut after aTimeout if that is lost.
template <typename Response>
void CallDisturbed(fakes::VirtualClock& aClock,
                   const std::optional<Disturbance>& aDisturbance,
                   Duration aTimeout,
                   std::function<void(std::function<void(Response)>)> aCall,
                   std::function<void(Response)> aThen,
                   Response aTimedOut)
{
  if (!aDisturbance) {
    aCall(std::move(aThen));
    return;
  }
  if (!aDisturbance->mAnswered) {
    aClock.After(aTimeout,
                 [then = std::move(aThen), aTimedOut] { then(aTimedOut); });
    aThen = [](const Response&) {};
  }
  if (aDisturbance->mDelay) {
    aClock.After(
      *aDisturbance->mDelay,
      [call = std::move(aCall), then = std::move(aThen)] { call(then); });
  }
}

} // namespace

void DisturbedStore::Commit(
  const node::Transaction& aTransaction,
  Duration aTimeout,
  std::function<void(Expected<node::CommitResult>)> aThen)
{
  CallDisturbed<Expected<node::CommitResult>>(
    mClock,
    mChoose ? mChoose(aTransaction) : std::nullopt,
    aTimeout,
    [this, aTransaction, aTimeout](auto aOnResponse) {
      mStore.Commit(aTransaction, aTimeout, std::move(aOnResponse));
    },
    std::move(aThen),
    MakeError(ErrorCode::eOutcomeUnknown, "commit", "store", "lost"));
}

bool DisturbedServers::IsReplaced(const scheduler::ServerInfo& aServer) const
{
  const auto owner = mAddresses.find(aServer.mAddress);
  return owner != mAddresses.end() && owner->second != aServer.mId;
}

std::optional<Disturbance> DisturbedServers::Record(
  OrderKind aKind,
  const scheduler::ServerInfo& aServer,
  const node::FencingToken& aToken)
{
  mOrders.push_back({ mClock.Now(), aKind, aServer.mId, aToken.mEpoch });
  return mChoose ? mChoose(aKind) : std::nullopt;
}

bool DisturbedServers::HasConnection(const scheduler::ServerInfo& aServer,
                                     base::Time aOpenedBy)
{
  return mServers.HasConnection(aServer, aOpenedBy);
}

void DisturbedServers::Start(const scheduler::ServerInfo& aServer,
                             const scheduler::StartCommand& aCommand,
                             const node::StartRequest& aRequest,
                             Duration aTimeout,
                             std::function<void(node::StartResponse)> aThen)
{
  const auto disturbance = Record(OrderKind::eStart, aServer, aRequest.mToken);
  if (IsReplaced(aServer)) {
    mClock.After(kNetworkDelay * 2, [then = std::move(aThen)] {
      then({ StartResult::eWrongServer });
    });
    return;
  }
  CallDisturbed<node::StartResponse>(
    mClock,
    disturbance,
    aTimeout,
    [this, aServer, aCommand, aRequest, aTimeout](auto aOnResponse) {
      mServers.Start(
        aServer, aCommand, aRequest, aTimeout, std::move(aOnResponse));
    },
    std::move(aThen),
    {});
}

void DisturbedServers::Stop(const scheduler::ServerInfo& aServer,
                            const scheduler::StopCommand& aCommand,
                            const node::FencingToken& aToken,
                            Duration aTimeout,
                            std::function<void(bool)> aThen)
{
  const auto disturbance = Record(OrderKind::eStop, aServer, aToken);
  if (IsReplaced(aServer)) {
    mClock.After(kNetworkDelay * 2, [then = std::move(aThen)] { then(false); });
    return;
  }
  CallDisturbed<bool>(
    mClock,
    disturbance,
    aTimeout,
    [this, aServer, aCommand, aToken, aTimeout](auto aOnResponse) {
      mServers.Stop(
        aServer, aCommand, aToken, aTimeout, std::move(aOnResponse));
    },
    std::move(aThen),
    false);
}

void DisturbedServers::Report(
  const scheduler::ServerInfo& aServer,
  const node::ReportRequest& aRequest,
  Duration aTimeout,
  std::function<void(Expected<node::ReportResponse>)> aThen)
{
  const auto disturbance = Record(OrderKind::eReport, aServer, aRequest.mToken);
  if (IsReplaced(aServer)) {
    mClock.After(
      kNetworkDelay * 2, [then = std::move(aThen), id = aServer.mId.Value()] {
        then(MakeError(ErrorCode::eNotFound, "report", id, "other server"));
      });
    return;
  }
  CallDisturbed<Expected<node::ReportResponse>>(
    mClock,
    disturbance,
    aTimeout,
    [this, aServer, aRequest, aTimeout](auto aOnResponse) {
      mServers.Report(aServer, aRequest, aTimeout, std::move(aOnResponse));
    },
    std::move(aThen),
    MakeError(
      ErrorCode::eOutcomeUnknown, "report", aServer.mId.Value(), "lost"));
}

} // namespace flamingoloom::testing::platform_world
