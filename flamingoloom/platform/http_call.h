// One HTTP call as a value, and what its outcome means.
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
  // For errors: what is being done, and with whom.
  std::string mStep;
  std::string mPeer;
  std::string mMethod;
  // Percent-encoded, with the query.
  std::string mPath;
  std::string mBody;
  // Counted from the moment the call is handed over.
  base::Duration mTimeout{};
};

struct HttpReply
{
  int mStatus = 0;
  std::string mBody;
};

// aText with all characters but letters, digits, '-', '.', '_' and '~'
// percent-encoded.
std::string EncodePathPart(std::string_view aText);

// The error of a reply that is no success. An error body names the code.
// Without one, only statuses that rule out an effect are mapped to a certain
// failure; a 5xx may come from a proxy that had passed the request on.
base::Error ErrorOfReply(const HttpCall& aCall, const HttpReply& aReply);

// The body of a reply with aStatus as T. A body that cannot be read gives
// eOutcomeUnknown, as the peer has acted on the request.
template <class T>
base::Expected<T> DecodeReply(const HttpCall& aCall, const HttpReply& aReply)
{
  if (aReply.mStatus != 200) {
    return tl::unexpected(ErrorOfReply(aCall, aReply));
  }
  auto value = Decode<T>(aReply.mBody, aCall.mStep, aCall.mPeer);
  if (!value) {
    value.error().mCode = base::ErrorCode::eOutcomeUnknown;
  }
  return value;
}

} // namespace flamingoloom::platform
