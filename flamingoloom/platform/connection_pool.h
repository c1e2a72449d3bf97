// Sends HTTP calls on worker threads over connections that are kept open.
//
// Send returns at once. Numbers of threads and of connections per address are
// bounded; calls beyond them wait their turn. All threads block until there is
// something to do. Thread-safe.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "flamingoloom/platform/call_counters.h"
#include "flamingoloom/platform/http_call.h"

namespace flamingoloom::platform {

struct PoolLimits
{
  std::size_t mThreads = 16;
  std::size_t mConnectionsPerAddress = 8;
  // An idle connection is closed after this time, or up to twice as long. It
  // is not used any more after it. HTTP servers commonly close idle
  // connections after 5 s, and a request that is sent while the server closes
  // has an unknown outcome.
  base::Duration mIdleTime = std::chrono::seconds(3);
};

class ConnectionPool
{
public:
  // Called exactly once per call, on a thread of the pool, or within the
  // destructor for calls that were not sent.
  //
  // eUnavailable: the request was not sent, it certainly had no effect.
  // eOutcomeUnknown: it was sent at least in part, and no whole answer came.
  // Answers of any HTTP status are no errors here.
  using OnReply = std::function<void(base::Expected<HttpReply>)>;

  static constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);

  // aCounters must outlive the pool.
  ConnectionPool(PoolLimits aLimits, CallCounters& aCounters);
  // Breaks off running calls.
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  void Send(HttpCall aCall, OnReply aOnReply);

private:
  using SteadyTime = std::chrono::steady_clock::time_point;

  class Connection;

  struct Pending
  {
    HttpCall mCall;
    OnReply mOnReply;
    SteadyTime mDeadline;
    // Set while the call is being sent or answered.
    std::shared_ptr<Connection> mConnection;
    // Answered without having been sent.
    bool mIsAnswered = false;
    // Its connection is being broken off and must not be used again.
    bool mIsBrokenOff = false;
  };

  struct Peer
  {
    // Calls that wait for a connection.
    std::deque<std::shared_ptr<Pending>> mWaiting;
    // Connections in use or reserved for a runnable call.
    std::size_t mBusy = 0;
    std::vector<std::shared_ptr<Connection>> mIdle;
  };

  void Work();
  void WatchDeadlines();
  // Ends all calls whose deadline is not after aTime.
  void Expire(std::unique_lock<std::mutex>& aLock, SteadyTime aTime);
  void CloseIdle(std::unique_lock<std::mutex>& aLock, SteadyTime aBefore);
  std::shared_ptr<Connection> TakeConnection(Peer& aPeer,
                                             const std::string& aAddress);
  base::Expected<HttpReply> Perform(const Pending& aPending);

  const PoolLimits mLimits;
  CallCounters& mCounters;

  std::mutex mMutex;
  std::condition_variable mRunnableChanged;
  std::condition_variable mDeadlinesChanged;
  std::map<std::string, Peer> mPeers;
  // Calls that have a connection reserved and wait for a thread.
  std::deque<std::shared_ptr<Pending>> mRunnable;
  // Every call that has not been answered.
  std::set<std::pair<SteadyTime, std::shared_ptr<Pending>>> mByDeadline;
  std::vector<std::thread> mWorkers;
  std::size_t mIdleWorkers = 0;
  std::size_t mIdleConnections = 0;
  // When the watcher wakes at the latest; the maximum for never.
  SteadyTime mNextWatch = SteadyTime::max();
  bool mIsStopping = false;
  std::thread mWatcher;
};

} // namespace flamingoloom::platform
