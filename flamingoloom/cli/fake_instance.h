// Fake instances that listen on loopback, for tests of the command line.
#pragma once

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace flamingoloom::cli {

// A request as FakeInstance received it.
struct ReceivedRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::string mIdempotencyKey;
  std::string mAuthorization;
};

// Responds to each request with the next of the added responses, and repeats
// the last one. Thread-safe after the last call of AddResponse.
class FakeInstance
{
public:
  FakeInstance();
  ~FakeInstance();
  FakeInstance(const FakeInstance&) = delete;
  FakeInstance& operator=(const FakeInstance&) = delete;

  std::string Address() const;

  // AddResponse and SetResponseDelay must be called before the first request,
  // and AddResponse at least once.
  void AddResponse(int aStatus, nlohmann::json aBody);
  void SetResponseDelay(std::chrono::milliseconds aDelay) { mDelay = aDelay; }

  std::vector<ReceivedRequest> Requests() const;

private:
  struct PreparedResponse
  {
    int mStatus;
    std::string mBody;
  };

  void Handle(const httplib::Request& aRequest, httplib::Response& aResponse);

  httplib::Server mServer;
  mutable std::mutex mMutex;
  std::vector<PreparedResponse> mResponses;
  std::vector<ReceivedRequest> mRequests;
  std::chrono::milliseconds mDelay{ 0 };
  int mPort = 0;
  std::thread mThread;
};

// Accepts connections and closes each without a response when its request has
// arrived, so that the outcome is unknown to the client.
class UnresponsiveInstance
{
public:
  UnresponsiveInstance();
  ~UnresponsiveInstance();
  UnresponsiveInstance(const UnresponsiveInstance&) = delete;
  UnresponsiveInstance& operator=(const UnresponsiveInstance&) = delete;

  std::string Address() const;
  int Requests() const { return mRequests; }

private:
  void AcceptConnections();

  int mSocket = -1;
  int mPort = 0;
  std::atomic<int> mRequests = 0;
  std::thread mThread;
};

// Returns a loopback address on which no process listens.
std::string UnreachableAddress();

} // namespace flamingoloom::cli
