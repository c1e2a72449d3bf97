// Servers on loopback that play an instance in tests of the command line.
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

// What a test's server received.
struct Received
{
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  std::string mIdempotencyKey;
  std::string mAuthorization;
};

// Answers each request with the next prepared answer; the last one repeats.
class FakeInstance
{
public:
  FakeInstance();
  ~FakeInstance();
  FakeInstance(const FakeInstance&) = delete;
  FakeInstance& operator=(const FakeInstance&) = delete;

  std::string Address() const;

  // To be called before the first request.
  void WillAnswer(int aStatus, nlohmann::json aBody);
  void WillTake(std::chrono::milliseconds aDelay) { mDelay = aDelay; }

  std::vector<Received> Requests() const;

private:
  struct Prepared
  {
    int mStatus;
    std::string mBody;
  };

  void Handle(const httplib::Request& aRequest, httplib::Response& aResponse);

  httplib::Server mServer;
  mutable std::mutex mMutex;
  std::vector<Prepared> mAnswers;
  std::vector<Received> mRequests;
  std::chrono::milliseconds mDelay{ 0 };
  int mPort = 0;
  std::thread mThread;
};

// Accepts connections and closes each after its request has arrived, so that
// the sender cannot know whether the request took effect.
class SilentInstance
{
public:
  SilentInstance();
  ~SilentInstance();
  SilentInstance(const SilentInstance&) = delete;
  SilentInstance& operator=(const SilentInstance&) = delete;

  std::string Address() const;
  int Requests() const { return mRequests; }

private:
  void Run();

  int mSocket = -1;
  int mPort = 0;
  std::atomic<int> mRequests = 0;
  std::thread mThread;
};

// An address at which nothing listens.
std::string DeadAddress();

} // namespace flamingoloom::cli
