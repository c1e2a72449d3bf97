#include "flamingoloom/cli/api_client.h"

#include <cctype>

#include <fmt/format.h>
#include <httplib.h>

#include "flamingoloom/cli/progress.h"

namespace flamingoloom::cli {
namespace {

using base::ErrorCode;
using nlohmann::json;
using namespace std::chrono_literals;

constexpr auto kConnectTimeout = 1s;
// Added to the wait time of the request, so that the read timeout does not
// expire while the instance waits as requested.
constexpr auto kResponseTimeout = 10s;

constexpr int kFirstErrorStatus = 400;

std::string AddressText(const config::Address& aServer)
{
  bool isV6 = aServer.mIp.find(':') != std::string::npos;
  return isV6 ? fmt::format("[{}]:{}", aServer.mIp, aServer.mPort)
              : fmt::format("{}:{}", aServer.mIp, aServer.mPort);
}

std::string StepName(const ApiRequest& aRequest)
{
  return fmt::format("{} {}", aRequest.mMethod, aRequest.mPath);
}

httplib::Request MakeRequest(const ApiRequest& aRequest,
                             const std::string& aKey)
{
  httplib::Request request;
  request.method = aRequest.mMethod;
  request.path = aRequest.mPath;
  if (!aRequest.mBody.is_null()) {
    request.body = aRequest.mBody.dump();
    request.set_header("Content-Type", "application/json");
  }
  if (!aRequest.mIdempotencyKey.empty()) {
    request.set_header("Idempotency-Key", aRequest.mIdempotencyKey);
  }
  if (!aKey.empty()) {
    request.set_header("Authorization", "Bearer " + aKey);
  }
  return request;
}

bool MayHaveBeenSent(httplib::Error aError)
{
  return aError != httplib::Error::Connection &&
         aError != httplib::Error::ConnectionTimeout &&
         aError != httplib::Error::BindIPAddress;
}

base::Error NoResponse(const ApiRequest& aRequest,
                       const std::string& aServer,
                       httplib::Error aError)
{
  return { MayHaveBeenSent(aError) ? ErrorCode::eOutcomeUnknown
                                   : ErrorCode::eUnavailable,
           StepName(aRequest),
           aServer,
           MayHaveBeenSent(aError)
             ? "the request was sent, but no response arrived"
             : "no connection",
           "" };
}

base::Expected<ApiResponse> ParseResponse(
  const ApiRequest& aRequest,
  const std::string& aServer,
  const httplib::Response& aHttpResponse)
{
  auto body = json::parse(aHttpResponse.body, nullptr, false);
  if (!body.is_discarded()) {
    return ApiResponse{ aHttpResponse.status, std::move(body), aServer };
  }
  return base::MakeError(
    aHttpResponse.status == 404 ? ErrorCode::eNotFound : ErrorCode::eBadAnswer,
    StepName(aRequest),
    aServer,
    fmt::format("status {} without a JSON body", aHttpResponse.status));
}

base::Expected<ApiResponse> SendTo(const config::Address& aServer,
                                   const ApiRequest& aRequest,
                                   const std::string& aKey)
{
  httplib::Client client(aServer.mIp, aServer.mPort);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(aRequest.mWait + kResponseTimeout);
  client.set_write_timeout(kResponseTimeout);
  client.set_tcp_nodelay(true);
  auto result = client.send(MakeRequest(aRequest, aKey));
  if (!result) {
    return tl::unexpected(
      NoResponse(aRequest, AddressText(aServer), result.error()));
  }
  return ParseResponse(aRequest, AddressText(aServer), *result);
}

ErrorCode ErrorCodeOfStatus(int aStatus)
{
  switch (aStatus) {
    case 401:
    case 403:
      return ErrorCode::eDenied;
    case 404:
      return ErrorCode::eNotFound;
    case 409:
      return ErrorCode::eConflict;
    case 429:
      return ErrorCode::eBusy;
    case 400:
    case 413:
      return ErrorCode::eInvalid;
    default:
      return ErrorCode::eOutcomeUnknown;
  }
}

std::string StringAt(const json& aObject, const char* aKey)
{
  if (!aObject.is_object() || !aObject.contains(aKey) ||
      !aObject.at(aKey).is_string()) {
    return "";
  }
  return aObject.at(aKey).get<std::string>();
}

} // namespace

ApiClient::ApiClient(std::vector<config::Address> aServers,
                     std::string aKey,
                     std::ostream& aProgressOut)
  : mServers(std::move(aServers))
  , mKey(std::move(aKey))
  , mProgressOut(aProgressOut)
{
}

base::Expected<ApiResponse> ApiClient::Send(const ApiRequest& aRequest)
{
  base::Expected<ApiResponse> response =
    base::MakeError(ErrorCode::eUnavailable,
                    StepName(aRequest),
                    "command line",
                    "no instance address was given");
  // If an earlier call attempt may have taken effect, its error is returned
  // even when all later instances were unreachable.
  std::optional<base::Error> outcomeUnknown;
  for (const auto& server : mServers) {
    Progress progress(mProgressOut, "waiting for " + AddressText(server));
    response = SendTo(server, aRequest, mKey);
    if (response) {
      return response;
    }
    const auto code = response.error().mCode;
    if (code == ErrorCode::eOutcomeUnknown) {
      outcomeUnknown = response.error();
    }
    if (code != ErrorCode::eUnavailable &&
        (code != ErrorCode::eOutcomeUnknown || !aRequest.IsSafeToRetry())) {
      return response;
    }
  }
  if (outcomeUnknown) {
    return tl::unexpected(*outcomeUnknown);
  }
  return response;
}

base::Expected<ApiResponse> ApiClient::SendChecked(const ApiRequest& aRequest)
{
  auto response = Send(aRequest);
  if (response && response->mStatus >= kFirstErrorStatus) {
    return tl::unexpected(ErrorOf(*response, aRequest));
  }
  return response;
}

base::Error ErrorOf(const ApiResponse& aResponse, const ApiRequest& aRequest)
{
  json error = json::object();
  if (aResponse.mBody.is_object()) {
    error = aResponse.mBody.value("error", json::object());
  }
  auto code = StringAt(error, "code");
  auto step = StringAt(error, "step");
  auto message = StringAt(error, "message");
  return { code.empty() ? ErrorCodeOfStatus(aResponse.mStatus)
                        : base::ErrorCodeFromName(code),
           step.empty() ? StepName(aRequest) : step,
           aResponse.mServer,
           message.empty() ? fmt::format("status {}", aResponse.mStatus)
                           : message,
           StringAt(error, "field") };
}

std::string EncodeSegment(const std::string& aText)
{
  std::string encoded;
  for (unsigned char c : aText) {
    bool isPlain = std::isalnum(c) != 0 ||
                   std::string_view("-._~").find(static_cast<char>(c)) !=
                     std::string_view::npos;
    if (isPlain && c < 0x80) {
      encoded += static_cast<char>(c);
    } else {
      encoded += fmt::format("%{:02X}", c);
    }
  }
  return encoded;
}

} // namespace flamingoloom::cli
