#include "flamingoloom/frontend/router.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "flamingoloom/frontend/json_codec.h"
#include "flamingoloom/frontend/reply.h"

namespace flamingoloom::frontend::internal {
namespace {

using base::ErrorCode;

constexpr std::string_view kApiPrefix = "/v1/";
constexpr std::array<std::string_view, 6> kTopics = {
  "instances", "servers", "jobs", "capacity", "burn", "config/history",
};

// Returns the part of aText after aPrefix; no value when aText does not start
// with aPrefix.
std::optional<std::string_view> RemovePrefix(std::string_view aText,
                                             std::string_view aPrefix)
{
  if (!aText.starts_with(aPrefix)) {
    return std::nullopt;
  }
  return aText.substr(aPrefix.size());
}

ApiReply UnknownPath()
{
  return ErrorReply({ ErrorCode::eNotFound,
                      "find path",
                      "client",
                      "the path does not exist",
                      "path" });
}

ApiReply WrongMethod()
{
  ApiReply reply = ErrorReply({ ErrorCode::eInvalid,
                                "find path",
                                "client",
                                "the path does not accept this method",
                                "method" });
  reply.mStatus = 405;
  return reply;
}

// HEAD is handled like GET; the HTTP library omits the body.
bool IsGet(const ApiRequest& aRequest)
{
  return aRequest.mMethod == "GET" || aRequest.mMethod == "HEAD";
}

} // namespace

bool IsApiPath(std::string_view aPath)
{
  return aPath.starts_with(kApiPrefix);
}

Router::Router(const FrontendSettings& aSettings,
               const FrontendHandler& aHandler,
               std::function<bool()> aIsShuttingDown)
  : mHandler(aHandler)
  , mIsShuttingDown(std::move(aIsShuttingDown))
  , mCallers(aSettings, aHandler)
  , mOperators(aSettings, aHandler)
{
}

ApiReply Router::Handle(const ApiRequest& aRequest) const
{
  std::string_view path = aRequest.mPath;
  if (auto rest = RemovePrefix(path, "/v1/requests")) {
    return HandleRequests(aRequest, *rest);
  }
  if (auto rest = RemovePrefix(path, "/v1/datacentres")) {
    return HandleDataCentres(aRequest, *rest);
  }
  if (path == "/v1/config") {
    return HandleConfig(aRequest);
  }
  auto topic = RemovePrefix(path, kApiPrefix);
  bool isTopic =
    topic && std::find(kTopics.begin(), kTopics.end(), *topic) != kTopics.end();
  if (!isTopic && path != "/metrics" && path != "/healthz" &&
      path != "/readyz") {
    return UnknownPath();
  }
  if (!IsGet(aRequest)) {
    return WrongMethod();
  }
  if (isTopic) {
    return mOperators.View(aRequest, *topic);
  }
  if (path == "/metrics") {
    return { 200, mHandler.mMetrics(), "text/plain; version=0.0.4" };
  }
  return path == "/readyz" ? CheckReadiness()
                           : ApiReply{ 200, "{\"healthy\":true}" };
}

ApiReply Router::HandleRequests(const ApiRequest& aRequest,
                                std::string_view aRest) const
{
  if (aRest.empty()) {
    return aRequest.mMethod == "POST" ? mCallers.Submit(aRequest)
                                      : WrongMethod();
  }
  if (aRest.front() != '/') {
    return UnknownPath();
  }
  std::string_view name = aRest.substr(1);
  if (IsGet(aRequest)) {
    return mCallers.Await(aRequest, name);
  }
  return aRequest.mMethod == "DELETE" ? mCallers.Cancel(aRequest, name)
                                      : WrongMethod();
}

ApiReply Router::HandleDataCentres(const ApiRequest& aRequest,
                                   std::string_view aRest) const
{
  if (aRest.empty()) {
    return IsGet(aRequest) ? mOperators.DataCentres(aRequest) : WrongMethod();
  }
  if (aRest.front() != '/') {
    return UnknownPath();
  }
  return aRequest.mMethod == "POST"
           ? mOperators.ChangeDataCentre(aRequest, aRest.substr(1))
           : WrongMethod();
}

ApiReply Router::HandleConfig(const ApiRequest& aRequest) const
{
  if (IsGet(aRequest)) {
    return mOperators.Config(aRequest);
  }
  return aRequest.mMethod == "PUT" ? mOperators.PutConfig(aRequest)
                                   : WrongMethod();
}

ApiReply Router::CheckReadiness() const
{
  base::Expected<platform::Nothing> ready =
    mIsShuttingDown() ? base::MakeError(ErrorCode::eShuttingDown,
                                        "check readiness",
                                        "instance",
                                        "this instance is shutting down")
                      : mHandler.mReady();
  if (ready) {
    return { 200, "{\"ready\":true}" };
  }
  return { 503, EncodeError(ready.error()) };
}

} // namespace flamingoloom::frontend::internal
