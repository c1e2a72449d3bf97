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
// How long an instance may take beyond the time that it was asked to wait.
constexpr auto kAnswerTimeout = 10s;

constexpr int kFirstErrorStatus = 400;

std::string Name(const config::Address& aServer)
{
  bool isV6 = aServer.mIp.find(':') != std::string::npos;
  return isV6 ? fmt::format("[{}]:{}", aServer.mIp, aServer.mPort)
              : fmt::format("{}:{}", aServer.mIp, aServer.mPort);
}

std::string Step(const ApiRequest& aRequest)
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

bool WasSent(httplib::Error aError)
{
  return aError != httplib::Error::Connection &&
         aError != httplib::Error::ConnectionTimeout &&
         aError != httplib::Error::BindIPAddress;
}

base::Error NoAnswer(const ApiRequest& aRequest,
                     const std::string& aServer,
                     httplib::Error aError)
{
  return { WasSent(aError) ? ErrorCode::eOutcomeUnknown
                           : ErrorCode::eUnavailable,
           Step(aRequest),
           aServer,
           WasSent(aError) ? "the request was sent, but no answer arrived"
                           : "no connection",
           "" };
}

base::Expected<ApiAnswer> ReadAnswer(const ApiRequest& aRequest,
                                     const std::string& aServer,
                                     const httplib::Response& aResponse)
{
  auto body = json::parse(aResponse.body, nullptr, false);
  if (!body.is_discarded()) {
    return ApiAnswer{ aResponse.status, std::move(body), aServer };
  }
  return base::MakeError(
    aResponse.status == 404 ? ErrorCode::eNotFound : ErrorCode::eBadAnswer,
    Step(aRequest),
    aServer,
    fmt::format("status {} without a JSON body", aResponse.status));
}

base::Expected<ApiAnswer> SendTo(const config::Address& aServer,
                                 const ApiRequest& aRequest,
                                 const std::string& aKey)
{
  httplib::Client client(aServer.mIp, aServer.mPort);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(aRequest.mWait + kAnswerTimeout);
  client.set_write_timeout(kAnswerTimeout);
  client.set_tcp_nodelay(true);
  auto result = client.send(MakeRequest(aRequest, aKey));
  if (!result) {
    return tl::unexpected(NoAnswer(aRequest, Name(aServer), result.error()));
  }
  return ReadAnswer(aRequest, Name(aServer), *result);
}

ErrorCode CodeOfStatus(int aStatus)
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

std::string TextAt(const json& aObject, const char* aKey)
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

base::Expected<ApiAnswer> ApiClient::Send(const ApiRequest& aRequest)
{
  base::Expected<ApiAnswer> answer =
    base::MakeError(ErrorCode::eUnavailable,
                    Step(aRequest),
                    "command line",
                    "no instance address was given");
  // A later instance that cannot be reached does not make the outcome of an
  // earlier attempt known.
  std::optional<base::Error> unknown;
  for (const auto& server : mServers) {
    Progress progress(mProgressOut, "waiting for " + Name(server));
    answer = SendTo(server, aRequest, mKey);
    if (answer) {
      return answer;
    }
    const auto code = answer.error().mCode;
    if (code == ErrorCode::eOutcomeUnknown) {
      unknown = answer.error();
    }
    if (code != ErrorCode::eUnavailable &&
        (code != ErrorCode::eOutcomeUnknown || !aRequest.MayBeRepeated())) {
      return answer;
    }
  }
  if (unknown) {
    return tl::unexpected(*unknown);
  }
  return answer;
}

base::Expected<ApiAnswer> ApiClient::SendChecked(const ApiRequest& aRequest)
{
  auto answer = Send(aRequest);
  if (answer && answer->mStatus >= kFirstErrorStatus) {
    return tl::unexpected(ErrorOf(*answer, aRequest));
  }
  return answer;
}

base::Error ErrorOf(const ApiAnswer& aAnswer, const ApiRequest& aRequest)
{
  json error = json::object();
  if (aAnswer.mBody.is_object()) {
    error = aAnswer.mBody.value("error", json::object());
  }
  auto code = TextAt(error, "code");
  auto step = TextAt(error, "step");
  auto message = TextAt(error, "message");
  return { code.empty() ? CodeOfStatus(aAnswer.mStatus)
                        : base::ErrorCodeFromName(code),
           step.empty() ? Step(aRequest) : step,
           aAnswer.mServer,
           message.empty() ? fmt::format("status {}", aAnswer.mStatus)
                           : message,
           TextAt(error, "field") };
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
