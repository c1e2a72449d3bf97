#include "flamingoloom/platform/backend_client.h"

#include <fmt/format.h>

namespace flamingoloom::platform {
namespace {

using nlohmann::json;

HttpCall MakeCall(const ServerAddress& aServer,
                  std::string aStep,
                  std::string aMethod,
                  std::string aPath,
                  base::Duration aTimeout)
{
  return { .mAddress = aServer.mAddress,
           .mStep = std::move(aStep),
           .mPeer = aServer.mId.Value(),
           .mMethod = std::move(aMethod),
           .mPath = std::move(aPath),
           .mTimeout = aTimeout };
}

std::string TaskPath(const base::AttemptId& aAttempt)
{
  return "/tasks/" + EncodePathSegment(aAttempt.Value());
}

base::Expected<base::Epoch> DecodeEpoch(const HttpCall& aCall,
                                        const HttpReply& aReply)
{
  using Body = std::map<std::string, std::uint64_t>;
  auto body = DecodeReply<Body>(aCall, aReply);
  if (!body) {
    return tl::unexpected(body.error());
  }
  if (!body->contains("epoch")) {
    return base::MakeError(base::ErrorCode::eOutcomeUnknown,
                           aCall.mStep,
                           aCall.mPeer,
                           "the response has no epoch");
  }
  return base::Epoch((*body)["epoch"]);
}

} // namespace

BackendClient::BackendClient(Callers aCallers, base::Duration aTimeout)
  : mCallers(aCallers)
  , mTimeout(aTimeout)
{
}

void BackendClient::Fence(const ServerAddress& aServer,
                          const base::DataCentreId& aDataCentre,
                          base::Epoch aEpoch,
                          Done<base::Epoch> aDone)
{
  mCallers.mControl.Call<base::Epoch>(
    MakeCall(aServer, "fence", "POST", "/fence", mTimeout),
    json{ { "dataCentre", aDataCentre.Value() }, { "epoch", aEpoch.Value() } },
    DecodeEpoch,
    std::move(aDone));
}

void BackendClient::StartTask(const ServerAddress& aServer,
                              const TaskStart& aStart,
                              base::Duration aWait,
                              Done<TaskStatus> aDone)
{
  mCallers.mStart.Call<TaskStatus>(
    MakeCall(aServer, "start task", "POST", "/tasks", aWait),
    aStart,
    std::move(aDone));
}

void BackendClient::ActOnTask(const ServerAddress& aServer,
                              const base::AttemptId& aAttempt,
                              TaskAction aAction,
                              base::Duration aLease,
                              Done<TaskStatus> aDone)
{
  const std::string action(TaskActionName(aAction));
  json body = json::object();
  if (aAction == TaskAction::eRenew) {
    body["leaseMs"] = base::ToMilliseconds(aLease);
  }
  mCallers.mControl.Call<TaskStatus>(MakeCall(aServer,
                                              action + " task",
                                              "POST",
                                              TaskPath(aAttempt) + "/" + action,
                                              mTimeout),
                                     body,
                                     std::move(aDone));
}

void BackendClient::AwaitTask(const ServerAddress& aServer,
                              const base::AttemptId& aAttempt,
                              base::Duration aWait,
                              Done<TaskStatus> aDone)
{
  mCallers.mAwait.Call<TaskStatus>(
    MakeCall(aServer,
             "await task",
             "GET",
             fmt::format(
               "{}?waitMs={}", TaskPath(aAttempt), base::ToMilliseconds(aWait)),
             aWait + mTimeout),
    DecodeReply<TaskStatus>,
    std::move(aDone));
}

} // namespace flamingoloom::platform
