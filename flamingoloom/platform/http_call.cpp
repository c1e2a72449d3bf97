#include "flamingoloom/platform/http_call.h"

#include <fmt/format.h>

namespace flamingoloom::platform {
namespace {

using base::ErrorCode;

ErrorCode CodeFromStatus(int aStatus)
{
  switch (aStatus) {
    case 400:
    case 413:
    case 414:
      return ErrorCode::eInvalid;
    case 401:
    case 403:
      return ErrorCode::eDenied;
    case 404:
      return ErrorCode::eNotFound;
    default:
      return ErrorCode::eOutcomeUnknown;
  }
}

} // namespace

std::string EncodePathSegment(std::string_view aText)
{
  static constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string encoded;
  for (char character : aText) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
    } else {
      encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
  }
  return encoded;
}

base::Error ErrorFromReply(const HttpCall& aCall, const HttpReply& aReply)
{
  base::Error error{ CodeFromStatus(aReply.mStatus),
                     aCall.mStep,
                     aCall.mPeer,
                     fmt::format("HTTP status {}", aReply.mStatus),
                     "" };
  const auto body = nlohmann::json::parse(aReply.mBody, nullptr, false);
  if (!body.is_object() || !body.contains("error") ||
      !body["error"].is_object()) {
    return error;
  }
  const auto text = [&](const char* aName) {
    auto found = body["error"].find(aName);
    return found != body["error"].end() && found->is_string()
             ? found->get<std::string>()
             : std::string();
  };
  const std::string name = text("code");
  const ErrorCode code = base::ErrorCodeFromName(name);
  // An unknown code, such as one of a newer version, does not tell whether the
  // request had an effect. A 504 comes from a gateway, not from the peer.
  if (base::ErrorCodeName(code) == name && aReply.mStatus != 504) {
    error.mCode = code;
  }
  error.mMessage += ": " + text("message");
  error.mField = text("field");
  return error;
}

} // namespace flamingoloom::platform
