// An HTTP server for stand-ins: each connection has its own thread, small
// answers leave without delay, and the number of unanswered requests is known.
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
  // Further connections wait until one of aMaxConnections has closed.
  explicit HttpServer(int aMaxConnections);
  // Waits until all connections have closed, for idle ones at most 5 s.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // For setting handlers before Listen.
  httplib::Server& Routes() { return mServer; }

  // Serves on aAddress ("ip:port", port 0 for any free one) in a thread of its
  // own and returns the address with the actual port. Called at most once.
  base::Expected<std::string> Listen(const std::string& aAddress);

  // Requests that are being handled or whose answer is being sent.
  int Pending() const { return mPending; }

private:
  httplib::Server mServer;
  std::thread mListener;
  std::atomic<int> mPending = 0;
  int mSocket = -1;
};

void Answer(httplib::Response& aResponse,
            const nlohmann::json& aBody,
            int aStatus = 200);
// Answers 400, 404, 409 or 503 according to the error code.
void AnswerError(httplib::Response& aResponse, const base::Error& aError);

// Answers aResult, or its error.
template <class T>
void AnswerResult(httplib::Response& aResponse,
                  const base::Expected<T>& aResult)
{
  if (aResult) {
    Answer(aResponse, nlohmann::json(*aResult));
  } else {
    AnswerError(aResponse, aResult.error());
  }
}

// The request body as T; otherwise answers eInvalid.
template <class T>
base::Expected<T> ReadBody(const httplib::Request& aRequest,
                           httplib::Response& aResponse)
{
  auto value = platform::Decode<T>(aRequest.body, aRequest.path, "caller");
  if (!value) {
    value.error().mCode = base::ErrorCode::eInvalid;
    AnswerError(aResponse, value.error());
  }
  return value;
}

// The whole number in the parameter or 0.
long NumberParameter(const httplib::Request& aRequest,
                     const std::string& aName);

} // namespace flamingoloom::standins
