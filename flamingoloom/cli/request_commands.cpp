#include "flamingoloom/cli/request_commands.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

#include <fmt/format.h>

#include "flamingoloom/cli/files.h"
#include "flamingoloom/cli/request_answer.h"

namespace flamingoloom::cli {
namespace {

using base::Duration;
using base::Expected;
using nlohmann::json;
using namespace std::chrono_literals;

// Longest time for which a single HTTP request waits. It is shorter than the
// idle timeouts of common load balancers, which would close the connection.
constexpr Duration kMaxWaitPerRequest = 20s;
// Delay between polls when the instance responds "pending" before the requested
// wait is over.
constexpr Duration kPollInterval = 200ms;

const std::vector<OptionSpec> kRequestOptions = {
  { "account", OptionType::eText, "client account of the request", true },
  { "key", OptionType::eText, "idempotency key of the request", true },
};

std::string NewIdempotencyKey()
{
  std::random_device random;
  return fmt::format("cli-{:08x}{:08x}{:08x}", random(), random(), random());
}

std::string RequestPath(const Arguments& aArguments)
{
  return fmt::format("/v1/requests/{}/{}",
                     EncodeSegment(aArguments.Text("account")),
                     EncodeSegment(aArguments.Text("key")));
}

Expected<std::string> Payload(const Arguments& aArguments)
{
  if (!aArguments.Has("--payload-file")) {
    return aArguments.Text("--payload");
  }
  if (aArguments.Has("--payload")) {
    return base::MakeError(base::ErrorCode::eInvalid,
                           "read payload",
                           "command line",
                           "give --payload or --payload-file, not both",
                           "--payload");
  }
  return ReadFile(aArguments.Text("--payload-file"));
}

// Rejects a payload that is not valid UTF-8, because JSON cannot represent it.
Expected<std::string> RequireUtf8(std::string aText)
{
  try {
    static_cast<void>(json(aText).dump());
    return aText;
  } catch (const json::exception&) {
    return base::MakeError(base::ErrorCode::eInvalid,
                           "read payload",
                           "command line",
                           "the payload must be text in UTF-8",
                           "--payload");
  }
}

// Returns a response that holds the state of a request and whose payload has
// been verified. Fails for any other response.
Expected<ApiResponse> SendAndVerify(Context& aContext,
                                    const ApiRequest& aRequest)
{
  auto response = aContext.mClient->Send(aRequest);
  if (!response) {
    return response;
  }
  if (HasRequestState(*response)) {
    return CheckDigest(std::move(*response));
  }
  return tl::unexpected(ErrorOf(*response, aRequest));
}

Expected<ExitCode> Submit(Context& aContext, const Arguments& aArguments)
{
  auto payload = Payload(aArguments).and_then(RequireUtf8);
  if (!payload) {
    return tl::unexpected(payload.error());
  }
  auto key = aArguments.Text("--idempotency-key");
  if (key.empty()) {
    key = NewIdempotencyKey();
    // Printed before the request is sent, so that the caller can query it when
    // no response arrives.
    aContext.mConsole.mErr << "idempotency key: " << key << "\n" << std::flush;
  }
  const auto account = aArguments.Text("--account");
  const auto wait = aArguments.Duration("--wait");
  ApiRequest request{ "POST",
                      "/v1/requests",
                      { { "account", account },
                        { "kind", aArguments.Text("--kind") },
                        { "payload", *payload },
                        { "waitMs", base::ToMilliseconds(wait) } },
                      key,
                      wait };
  return SendAndVerify(aContext, request)
    .map([&](const ApiResponse& aResponse) {
      return PrintRequestAnswer(aContext, aResponse, account, key);
    });
}

Expected<ApiResponse> CallRequestEndpoint(Context& aContext,
                                          const Arguments& aArguments,
                                          const std::string& aMethod,
                                          Duration aWait)
{
  ApiRequest request;
  request.mMethod = aMethod;
  request.mPath = RequestPath(aArguments);
  if (aMethod == "GET") {
    request.mPath += fmt::format("?waitMs={}", base::ToMilliseconds(aWait));
  }
  request.mWait = aWait;
  return SendAndVerify(aContext, request);
}

ExitCode Print(Context& aContext,
               const Arguments& aArguments,
               const ApiResponse& aResponse)
{
  return PrintRequestAnswer(
    aContext, aResponse, aArguments.Text("account"), aArguments.Text("key"));
}

Expected<ExitCode> Status(Context& aContext, const Arguments& aArguments)
{
  return CallRequestEndpoint(aContext, aArguments, "GET", 0s)
    .map([&](const ApiResponse& aResponse) {
      return Print(aContext, aArguments, aResponse);
    });
}

Expected<ExitCode> Cancel(Context& aContext, const Arguments& aArguments)
{
  auto response = CallRequestEndpoint(aContext, aArguments, "DELETE", 0s);
  if (!response) {
    return tl::unexpected(response.error());
  }
  const auto code = Print(aContext, aArguments, *response);
  bool isCancelled = response->mBody.at("state") == "cancelled";
  return isCancelled ? ExitCode::eDone : code;
}

Expected<ExitCode> Wait(Context& aContext, const Arguments& aArguments)
{
  using Clock = std::chrono::steady_clock;
  const auto deadline = Clock::now() + aArguments.Duration("--timeout");
  while (true) {
    const auto sentAt = Clock::now();
    const auto remaining =
      std::chrono::duration_cast<Duration>(deadline - sentAt);
    const auto wait =
      std::clamp(remaining, Duration::zero(), kMaxWaitPerRequest);
    auto response = CallRequestEndpoint(aContext, aArguments, "GET", wait);
    if (!response) {
      return tl::unexpected(response.error());
    }
    if (!IsPending(*response) || Clock::now() >= deadline) {
      return Print(aContext, aArguments, *response);
    }
    if (Clock::now() - sentAt < kPollInterval) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
}

Command SubmitCommand()
{
  return { { "submit" },
           "Send a request and wait for its answer",
           "flamingoloom submit --account blekhus --kind quote --payload '{}'",
           { { "--account", OptionType::eText, "client account", true },
             { "--kind", OptionType::eText, "kind of job", true },
             { "--payload", OptionType::eText, "text that the job receives" },
             { "--payload-file",
               OptionType::eText,
               "file with the text that the job receives" },
             { "--idempotency-key",
               OptionType::eText,
               "key of the request; a second request with the same key returns "
               "the result of the first (default: a new random key, printed)" },
             { "--wait",
               OptionType::eDuration,
               "how long to wait for the answer",
               false,
               "10 s" } },
           true,
           Submit };
}

Command WaitCommand()
{
  auto options = kRequestOptions;
  options.push_back({ "--timeout",
                      OptionType::eDuration,
                      "how long to wait in total",
                      false,
                      "10 min" });
  return { { "wait" },
           "Wait until a request has completed, and print its answer",
           "flamingoloom wait blekhus order-17 --timeout '2 h'",
           options,
           true,
           Wait };
}

} // namespace

Commands RequestCommands()
{
  return { SubmitCommand(),
           { { "status" },
             "Print the state of a request",
             "flamingoloom status blekhus order-17",
             kRequestOptions,
             true,
             Status },
           WaitCommand(),
           { { "cancel" },
             "Cancel a request; work in progress is stopped",
             "flamingoloom cancel blekhus order-17",
             kRequestOptions,
             true,
             Cancel } };
}

} // namespace flamingoloom::cli
