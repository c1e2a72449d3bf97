#include "flamingoloom/cli/request_answer.h"

#include <fmt/format.h>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/cli/table.h"

namespace flamingoloom::cli {
namespace {

using nlohmann::json;

std::string StringAt(const json& aObject, const char* aKey)
{
  auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : "";
}

ExitCode ExitCodeOfState(const std::string& aState)
{
  if (aState == "finished") {
    return ExitCode::eDone;
  }
  if (aState == "failed" || aState == "cancelled") {
    return ExitCode::eFailed;
  }
  if (aState == "pending") {
    return ExitCode::ePending;
  }
  return aState == "refused" ? ExitCode::eRefused : ExitCode::eUnknown;
}

std::string NextStep(ExitCode aCode,
                     const std::string& aAccount,
                     const std::string& aKey)
{
  switch (aCode) {
    case ExitCode::ePending:
      return fmt::format("next: flamingoloom wait {} {}\n", aAccount, aKey);
    case ExitCode::eUnknown:
      return fmt::format(
        "next: query the same request again later: flamingoloom wait {} {}\n",
        aAccount,
        aKey);
    case ExitCode::eRefused:
      return "next: the request did not run; it may be submitted again with a "
             "new "
             "idempotency key\n";
    default:
      return "";
  }
}

} // namespace

bool HasRequestState(const ApiResponse& aResponse)
{
  return aResponse.mBody.is_object() &&
         !StringAt(aResponse.mBody, "state").empty();
}

bool IsPending(const ApiResponse& aResponse)
{
  return HasRequestState(aResponse) &&
         StringAt(aResponse.mBody, "state") == "pending";
}

base::Expected<ApiResponse> CheckDigest(ApiResponse aResponse)
{
  const auto& body = aResponse.mBody;
  if (StringAt(body, "state") != "finished") {
    return aResponse;
  }
  const auto payload = StringAt(body, "answer");
  auto bytes = body.find("answerBytes");
  bool isComplete = bytes != body.end() && bytes->is_number_integer() &&
                    bytes->get<std::uint64_t>() == payload.size() &&
                    StringAt(body, "answerSha256") == base::Sha256Hex(payload);
  if (isComplete) {
    return aResponse;
  }
  return base::MakeError(base::ErrorCode::eBadAnswer,
                         "read answer",
                         aResponse.mServer,
                         "the answer does not have its declared length and "
                         "digest");
}

ExitCode PrintRequestAnswer(Context& aContext,
                            const ApiResponse& aResponse,
                            const std::string& aAccount,
                            const std::string& aKey)
{
  auto& out = aContext.mConsole.mOut;
  const auto code = ExitCodeOfState(StringAt(aResponse.mBody, "state"));
  if (aContext.mIsJson) {
    PrintJson(out, aResponse.mBody);
    return code;
  }
  auto summary = aResponse.mBody;
  summary.erase("answer");
  PrintObject(out, summary);
  const auto payload = StringAt(aResponse.mBody, "answer");
  if (!payload.empty()) {
    out << "\n" << payload << "\n";
  }
  aContext.mConsole.mErr << NextStep(code, aAccount, aKey);
  return code;
}

} // namespace flamingoloom::cli
