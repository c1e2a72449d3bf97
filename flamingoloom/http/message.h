// HTTP messages as plain value types, independent of Boost.Beast.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "flamingoloom/base/time.h"

namespace flamingoloom::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request
{
  std::string mMethod = "GET";
  // Path and query string.
  std::string mTarget = "/";
  Headers mHeaders;
  std::string mBody;

  friend bool operator==(const Request&, const Request&) = default;
};

struct Response
{
  int mStatus = 200;
  Headers mHeaders;
  std::string mBody;
  // Whether the server closes the connection after this response. The client
  // does not set it.
  bool mClose = false;
  // When the client began to write the request. The server does not set it.
  base::Time mRequestSentAt;

  friend bool operator==(const Response&, const Response&) = default;
};

// Returns the value of the first header called aName, or an empty string if
// there is none. Names are compared case-insensitively. The result lives as
// long as aHeaders.
const std::string& HeaderValue(const Headers& aHeaders, const char* aName);

} // namespace flamingoloom::http
