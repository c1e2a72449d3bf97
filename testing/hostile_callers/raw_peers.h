// Peers of an instance that write bytes without regard to HTTP: callers, and a
// backend server. Blocking; each object is used by one thread at a time.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/http_server.h"
#include "review/standins/runtime.h"

namespace flamingoloom::testing::hostile_callers {

// A connection to an instance.
class RawCaller
{
public:
  // Connects to the port on loopback. With aReceiveBytes it takes little more
  // than these from the peer, as it reads nothing; 0 for the system's default.
  explicit RawCaller(int aPort, int aReceiveBytes = 0);
  ~RawCaller();
  RawCaller(RawCaller&& aOther) noexcept;
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;
  RawCaller& operator=(RawCaller&&) = delete;

  // Sends aText once. Returns false if the peer has closed the connection, or
  // has not read for some seconds.
  bool Send(const std::string& aText);
  // Sends aText again and again until aBytes are sent, or until Send fails.
  void Repeat(const std::string& aText, std::size_t aBytes);

private:
  int mSocket;
};

// A caller that sends well-formed requests, one after the other, on a
// connection that it keeps open.
class KeepAliveCaller
{
public:
  explicit KeepAliveCaller(int aPort);
  ~KeepAliveCaller();
  KeepAliveCaller(const KeepAliveCaller&) = delete;
  KeepAliveCaller& operator=(const KeepAliveCaller&) = delete;

  // Returns the status of the response; 0 if there is none, or the connection
  // is closed.
  int Call(const std::string& aMethod,
           const std::string& aPath,
           const std::string& aKey,
           const std::string& aBody);
  // Sends aText aCount times and reads nothing.
  void SendRaw(const std::string& aText, int aCount);
  void Close();

private:
  bool Connect();
  // Returns the status of a response without a body, or with a Content-Length.
  int ReadResponse();

  const int mPort;
  int mSocket = -1;
};

// Connects aCount callers, and calls aPlay for all of them at the same time.
// Returns the connections, which are still open on this side.
template <class Play>
std::vector<RawCaller> PlayCrowd(int aPort,
                                 int aCount,
                                 const Play& aPlay,
                                 int aReceiveBytes = 0)
{
  std::vector<RawCaller> callers;
  callers.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    callers.emplace_back(aPort, aReceiveBytes);
  }
  std::vector<std::thread> threads;
  threads.reserve(callers.size());
  for (auto& caller : callers) {
    threads.emplace_back([&caller, &aPlay] { aPlay(caller); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return callers;
}

// A backend server that reports itself as idle and responds to each start
// command long after its caller has given up.
class UnresponsiveServer
{
public:
  UnresponsiveServer();
  ~UnresponsiveServer();
  UnresponsiveServer(const UnresponsiveServer&) = delete;
  UnresponsiveServer& operator=(const UnresponsiveServer&) = delete;

  int Port() const { return mServer->Port(); }
  // Start commands that have arrived.
  int Starts() const { return mStarts; }

private:
  review::Runtime mRuntime;
  std::shared_ptr<review::HttpServer> mServer;
  std::atomic<int> mStarts{ 0 };
  std::thread mLoop;
};

// A backend server that answers each connection with the same bytes: a head
// once, then a part again and again.
class RawServer
{
public:
  RawServer(std::string aHead, std::string aPart, std::size_t aBytes);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  int Port() const { return mPort; }
  // Connections on which it has written as much as was asked for, or all that
  // the peer would read.
  int Finished() const { return mFinished; }

private:
  void Accept();
  void Serve(int aSocket);

  const std::string mHead;
  const std::string mPart;
  const std::size_t mBytes;
  int mListener = -1;
  int mPort = 0;
  std::atomic<int> mFinished{ 0 };
  std::mutex mMutex;
  std::set<int> mSockets;
  std::vector<std::thread> mThreads;
  std::thread mAccepting;
};

} // namespace flamingoloom::testing::hostile_callers
