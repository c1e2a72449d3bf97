// A request to the HTTP API and its reply, independent of the HTTP library.
#pragma once

#include <map>
#include <string>

namespace flamingoloom::frontend::internal {

struct ApiRequest
{
  std::string mMethod;
  // The percent-decoded path, without the query.
  std::string mPath;
  // The parameters of the query. Of a repeated parameter, the last value
  // counts.
  std::map<std::string, std::string> mQuery;
  // This header and the following ones are empty when absent.
  std::string mAuthorization;
  std::string mIdempotencyKey;
  std::string mContentType;
  std::string mBody;
};

struct ApiReply
{
  int mStatus = 200;
  std::string mBody;
  std::string mContentType = "application/json";
};

} // namespace flamingoloom::frontend::internal
