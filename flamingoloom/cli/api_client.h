// Sends requests to the HTTP interface of the instances (docs/design.md,
// section 9.1).
//
// Several instances may be given. The next one is tried when one cannot be
// reached. A request that was sent and got no answer goes to the next one only
// when it may be repeated: because it has no effect of its own, or because it
// carries an idempotency key by which an instance recognises it.
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
  // Null for no body.
  nlohmann::json mBody;
  // Sent as Idempotency-Key when not empty.
  std::string mIdempotencyKey;
  // How long the instance may take on purpose before it answers.
  base::Duration mWait{};

  // Whether a second arrival has no second effect.
  bool IsSafeToRetry() const
  {
    return mMethod == "GET" || mMethod == "DELETE" || !mIdempotencyKey.empty();
  }
};

struct ApiResponse
{
  int mStatus = 0;
  nlohmann::json mBody;
  // The instance that answered, as "ip:port".
  std::string mServer;
};

class ApiClient
{
public:
  // aKey is sent as bearer token when not empty. Progress goes to
  // aProgressOut.
  ApiClient(std::vector<config::Address> aServers,
            std::string aKey,
            std::ostream& aProgressOut);

  // Any answer with a JSON body, whatever its status. Fails with
  // eUnavailable when no instance was reached, eOutcomeUnknown when the
  // request was sent and no answer came, and eBadAnswer for a body that is
  // not JSON.
  base::Expected<ApiResponse> Send(const ApiRequest& aRequest);

  // Like Send, but an answer with an error status is an error.
  base::Expected<ApiResponse> SendChecked(const ApiRequest& aRequest);

private:
  std::vector<config::Address> mServers;
  std::string mKey;
  std::ostream& mProgressOut;
};

// The error that an answer with an error status stands for.
base::Error ErrorOf(const ApiResponse& aResponse, const ApiRequest& aRequest);

// aText with everything but letters, digits and "-._~" percent-encoded, for
// one segment of a path.
std::string EncodeSegment(const std::string& aText);

} // namespace flamingoloom::cli
