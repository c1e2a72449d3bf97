// One request and its answer, without the HTTP library's types.
#pragma once

#include <map>
#include <string>

namespace flamingoloom::frontend::internal {

struct ApiRequest
{
  std::string mMethod;
  // Decoded, without the query.
  std::string mPath;
  // The parameters of the query; of a repeated one the last.
  std::map<std::string, std::string> mQuery;
  // Empty when absent, as are the following headers.
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
