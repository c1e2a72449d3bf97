// One HTTP call and its reply as values, and the mapping of replies to errors.
#pragma once

#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/platform/json_codec.h"

namespace flamingoloom::platform {

struct HttpCall
{
  // "ip:port"
  std::string mAddress;
  // The operation and its peer, for error messages.
  std::string mStep;
  std::string mPeer;
  std::string mMethod;
  // Percent-encoded, including the query.
  std::string mPath;
  std::string mBody;
  // Counted from the call of ConnectionPool::Send.
  base::Duration mTimeout{};
};

struct HttpReply
{
  int mStatus = 0;
  std::string mBody;
};

// Percent-encodes all characters of aText except letters, digits, '-', '.', '_'
// and '~'.
std::string EncodePathSegment(std::string_view aText);

// Converts an unsuccessful reply to an error. The code is taken from the error
// document in the body. Without such a document, only statuses after which the
// request certainly had no effect are mapped to a definite error; a 5xx may
// come from a proxy that had forwarded the request.
base::Error ErrorFromReply(const HttpCall& aCall, const HttpReply& aReply);

// Decodes the body of a reply with status 200 as T; any other status is an
// error. A body that cannot be decoded gives eOutcomeUnknown, since the peer
// has processed the request.
template <class T>
base::Expected<T> DecodeReply(const HttpCall& aCall, const HttpReply& aReply)
{
  if (aReply.mStatus != 200) {
    return tl::unexpected(ErrorFromReply(aCall, aReply));
  }
  auto value = Decode<T>(aReply.mBody, aCall.mStep, aCall.mPeer);
  if (!value) {
    value.error().mCode = base::ErrorCode::eOutcomeUnknown;
  }
  return value;
}

} // namespace flamingoloom::platform
