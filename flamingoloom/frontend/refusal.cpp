#include "flamingoloom/frontend/refusal.h"

#include <algorithm>
#include <array>

namespace flamingoloom::frontend::internal {
namespace {

using base::ErrorCode;

// Longer than any valid path; the longest ones contain names and an idempotency
// key.
constexpr std::size_t kMaxPathLength = 512;

constexpr std::array kNonRepeatableHeaders = { "Authorization",
                                               "Idempotency-Key",
                                               "Content-Type" };

bool IsValidLength(const std::string& aText)
{
  return !aText.empty() && aText.size() <= 18 &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar >= '0' && aChar <= '9';
         });
}

bool HasAmbiguousLength(const httplib::Request& aRequest)
{
  std::size_t lengths = aRequest.get_header_value_count("Content-Length");
  std::size_t codings = aRequest.get_header_value_count("Transfer-Encoding");
  if (lengths + codings > 1) {
    return true;
  }
  if (codings == 1) {
    return aRequest.get_header_value("Transfer-Encoding") != "chunked";
  }
  return lengths == 1 &&
         !IsValidLength(aRequest.get_header_value("Content-Length"));
}

bool HasBody(const httplib::Request& aRequest)
{
  if (aRequest.has_header("Transfer-Encoding")) {
    return true;
  }
  std::string length = aRequest.get_header_value("Content-Length");
  return !length.empty() && length.find_first_not_of('0') != std::string::npos;
}

bool AllowsBody(const std::string& aMethod)
{
  return aMethod == "POST" || aMethod == "PUT";
}

base::Error InvalidHeader(const char* aField, const char* aMessage)
{
  return { ErrorCode::eInvalid, "read request", "client", aMessage, aField };
}

} // namespace

Refusal CheckHeaders(const httplib::Request& aRequest)
{
  if (HasAmbiguousLength(aRequest)) {
    return Refusal::eFraming;
  }
  if (HasBody(aRequest) && !AllowsBody(aRequest.method)) {
    return Refusal::eBodyNotAllowed;
  }
  if (aRequest.has_header("Content-Encoding")) {
    return Refusal::eEncoding;
  }
  for (const char* header : kNonRepeatableHeaders) {
    if (aRequest.get_header_value_count(header) > 1) {
      return Refusal::eRepeatedHeader;
    }
  }
  return aRequest.path.size() > kMaxPathLength ? Refusal::ePathTooLong
                                               : Refusal::eNone;
}

base::Error RefusalError(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::eBodyNotAllowed:
      return InvalidHeader("body", "the method does not allow a body");
    case Refusal::eEncoding:
      return InvalidHeader("Content-Encoding", "must be absent");
    case Refusal::eRepeatedHeader:
      return InvalidHeader("Authorization, Idempotency-Key, Content-Type",
                           "must be sent at most once");
    case Refusal::ePathTooLong:
      return InvalidHeader("path", "is too long");
    case Refusal::eShuttingDown:
      return { ErrorCode::eShuttingDown,
               "admit request",
               "instance",
               "this instance is shutting down; the request was not executed",
               "" };
    case Refusal::eNone:
    case Refusal::eFraming:
      break;
  }
  return InvalidHeader("Content-Length", "the length of the body is ambiguous");
}

} // namespace flamingoloom::frontend::internal
