// HTTP client for the API of the instances (docs/design.md, section 9.1).
//
// The client fails over between the given instances in order. An instance that
// cannot be reached is skipped. If a request was sent and no response arrived,
// it is retried at the next instance only when it is idempotent: by its HTTP
// method, or because it carries an idempotency key by which the instances
// detect the duplicate.
// Not thread-safe.
#pragma once

#include <ostream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/config/address.h"

namespace flamingoloom::cli {

struct ApiRequest
{
  std::string mMethod;
  std::string mPath;
  // No body is sent when null.
  nlohmann::json mBody;
  // Sent in the Idempotency-Key header when not empty.
  std::string mIdempotencyKey;
  // How long the instance is requested to wait before it responds. Extends the
  // read timeout.
  base::Duration mWait{};

  // Returns whether a duplicate of the request has no further effect.
  bool IsSafeToRetry() const
  {
    return mMethod == "GET" || mMethod == "DELETE" || !mIdempotencyKey.empty();
  }
};

struct ApiResponse
{
  int mStatus = 0;
  nlohmann::json mBody;
  // Address of the instance that responded, as "ip:port".
  std::string mServer;
};

class ApiClient
{
public:
  // aServers holds the addresses of instances in order of preference. aKey is
  // sent as bearer token when not empty. Messages about slow calls are written
  // to aProgressOut, which must outlive the client.
  ApiClient(std::vector<config::Address> aServers,
            std::string aKey,
            std::ostream& aProgressOut);

  // Returns the first response with a JSON body, whatever its status. Fails
  // with eUnavailable when no instance was reached, eOutcomeUnknown when the
  // request was sent and no response arrived, eNotFound for status 404 without
  // a JSON body, and eBadAnswer for any other body that is not JSON.
  base::Expected<ApiResponse> Send(const ApiRequest& aRequest);

  // Like Send, but converts a response with a status of 400 or more to an
  // error.
  base::Expected<ApiResponse> SendChecked(const ApiRequest& aRequest);

private:
  std::vector<config::Address> mServers;
  std::string mKey;
  std::ostream& mProgressOut;
};

// Converts a response with an error status to the error that its body
// describes. Falls back to the HTTP status for a body without an error object.
base::Error ErrorOf(const ApiResponse& aResponse, const ApiRequest& aRequest);

// Returns aText for use as one segment of a URL path: everything but ASCII
// letters, digits and "-._~" is percent-encoded.
std::string EncodeSegment(const std::string& aText);

} // namespace flamingoloom::cli
