// HTTP messages as plain values, without the transport's types.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace flamingoloom::http {

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request
{
  std::string mMethod = "GET";
  // Path and query.
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
  // The server closes the connection after this response.
  bool mClose = false;

  friend bool operator==(const Response&, const Response&) = default;
};

// The value of header aName, compared without case; empty if there is none.
const std::string& HeaderValue(const Headers& aHeaders, const char* aName);

} // namespace flamingoloom::http
