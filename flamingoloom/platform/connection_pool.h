// Sends HTTP calls on worker threads over persistent connections.
//
// Send returns at once. The numbers of threads and of connections per address
// are limited; further calls wait in a queue. All threads block until there is
// work. Thread-safe.
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
  // A connection that has been idle for this time is not used again, and is
  // closed after at most twice this time. HTTP servers commonly close idle
  // connections after 5 s, and a request that is sent while the server closes
  // the connection has an unknown outcome.
  base::Duration mIdleTimeout = std::chrono::seconds(3);
};

class ConnectionPool
{
public:
  // Called exactly once per call, on a thread of the pool, or within the
  // destructor for calls that were not sent.
  //
  // eUnavailable: the request was not sent and had no effect.
  // eOutcomeUnknown: the request was sent at least in part, and no complete
  // response arrived.
  // A response with any HTTP status is a reply, not an error.
  using OnReply = std::function<void(base::Expected<HttpReply>)>;

  static constexpr base::Duration kConnectTimeout = std::chrono::seconds(1);

  // aCounters must outlive the pool.
  ConnectionPool(PoolLimits aLimits, CallCounters& aCounters);
  // Aborts the calls in progress.
  ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  void Send(HttpCall aCall, OnReply aOnReply);

private:
  using SteadyTime = std::chrono::steady_clock::time_point;

  class Connection;

  struct PendingCall
  {
    HttpCall mCall;
    OnReply mOnReply;
    SteadyTime mDeadline;
    // Set from before the request is sent until the response has arrived.
    std::shared_ptr<Connection> mConnection;
    // Its callback has been called, although it was not sent.
    bool mIsCompleted = false;
    // Its connection is being aborted and must not be reused.
    bool mIsAborted = false;
  };

  struct Peer
  {
    // Calls that wait for a connection to this address.
    std::deque<std::shared_ptr<PendingCall>> mQueue;
    // Number of connections in use or reserved for a runnable call.
    std::size_t mInUse = 0;
    std::vector<std::shared_ptr<Connection>> mIdle;
  };

  void RunWorker();
  void WatchDeadlines();
  // Ends all calls with a deadline at or before aTime: calls that were not sent
  // complete with eUnavailable, and the connections of the others are aborted.
  // Releases aLock meanwhile.
  void ExpireCalls(std::unique_lock<std::mutex>& aLock, SteadyTime aTime);
  // Closes the connections that have been idle since aUnusedSince or longer.
  // Releases aLock meanwhile.
  void CloseIdle(std::unique_lock<std::mutex>& aLock, SteadyTime aUnusedSince);
  std::shared_ptr<Connection> TakeConnection(Peer& aPeer,
                                             const std::string& aAddress);
  base::Expected<HttpReply> SendAndReceive(const PendingCall& aPending);

  const PoolLimits mLimits;
  CallCounters& mCounters;

  std::mutex mMutex;
  std::condition_variable mRunnableChanged;
  std::condition_variable mDeadlinesChanged;
  std::map<std::string, Peer> mPeers;
  // Calls with a reserved connection that wait for a thread.
  std::deque<std::shared_ptr<PendingCall>> mRunnable;
  // All calls that are not completed, by deadline.
  std::set<std::pair<SteadyTime, std::shared_ptr<PendingCall>>> mByDeadline;
  std::vector<std::thread> mWorkers;
  std::size_t mIdleWorkers = 0;
  std::size_t mIdleConnections = 0;
  // Time at which the watcher thread wakes up at the latest; max() when it
  // waits only to be notified.
  SteadyTime mNextWakeUp = SteadyTime::max();
  bool mIsStopping = false;
  std::thread mWatcher;
};

} // namespace flamingoloom::platform
