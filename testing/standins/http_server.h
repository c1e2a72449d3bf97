// HTTP server of the stub servers. Each connection has its own thread, small
// responses are sent without delay (TCP_NODELAY), and pending requests are
// counted.
#pragma once

#include <atomic>
#include <string>
#include <thread>

#include <httplib.h>

#include "flamingoloom/base/error.h"
#include "flamingoloom/platform/json_codec.h"

namespace flamingoloom::standins {

class HttpServer
{
public:
  // Serves at most aMaxConnections at a time; further connections wait until
  // one of these has closed.
  explicit HttpServer(int aMaxConnections);
  // Stops the server and waits until all connections have closed, which takes
  // up to 5 s for idle ones.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Returns the server to register handlers with before Listen is called.
  httplib::Server& Routes() { return mServer; }

  // Serves on aAddress ("ip:port", port 0 for any free one) in a thread of its
  // own and returns the address with the actual port. Called at most once.
  base::Expected<std::string> Listen(const std::string& aAddress);

  // Returns the number of requests that are being handled or whose response is
  // being sent. Thread-safe.
  int PendingRequests() const { return mPendingRequests; }

private:
  httplib::Server mServer;
  std::thread mListener;
  std::atomic<int> mPendingRequests = 0;
  int mSocket = -1;
};

// Sends aBody as JSON with the HTTP status aStatus.
void Respond(httplib::Response& aResponse,
             const nlohmann::json& aBody,
             int aStatus = 200);
// Sends aError with the HTTP status 400, 404, 409 or 503, depending on its
// code.
void RespondWithError(httplib::Response& aResponse, const base::Error& aError);

// Sends the value of aResult, or its error.
template <class T>
void RespondWithResult(httplib::Response& aResponse,
                       const base::Expected<T>& aResult)
{
  if (aResult) {
    Respond(aResponse, nlohmann::json(*aResult));
  } else {
    RespondWithError(aResponse, aResult.error());
  }
}

// Decodes the request body as T. If that fails, sends and returns an error with
// the code eInvalid.
template <class T>
base::Expected<T> ReadBody(const httplib::Request& aRequest,
                           httplib::Response& aResponse)
{
  auto value = platform::Decode<T>(aRequest.body, aRequest.path, "caller");
  if (!value) {
    value.error().mCode = base::ErrorCode::eInvalid;
    RespondWithError(aResponse, value.error());
  }
  return value;
}

// Returns the query parameter aName as an integer, or 0 if it is missing or no
// number.
long NumberParameter(const httplib::Request& aRequest,
                     const std::string& aName);

} // namespace flamingoloom::standins
