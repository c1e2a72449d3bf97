#include "flamingoloom/platform/connection_pool.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <iterator>
#include <system_error>

#include <httplib.h>

namespace flamingoloom::platform {
namespace {

using base::ErrorCode;
using std::chrono::steady_clock;

std::uint64_t HeaderBytes(const httplib::Headers& aHeaders)
{
  std::uint64_t bytes = 0;
  for (const auto& [name, value] : aHeaders) {
    bytes += name.size() + value.size() + 4; // ": " and CRLF
  }
  return bytes;
}

// Returns the port of "ip:port", or 0 when there is none.
int PortOf(const std::string& aAddress)
{
  int port = 0;
  if (auto colon = aAddress.rfind(':'); colon != std::string::npos) {
    std::from_chars(
      aAddress.data() + colon + 1, aAddress.data() + aAddress.size(), port);
  }
  return port;
}

bool IsConnectFailure(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::ConnectionTimeout ||
         aError == httplib::Error::BindIPAddress;
}

tl::unexpected<base::Error> NotSentError(const HttpCall& aCall,
                                         std::string aMessage)
{
  return base::MakeError(ErrorCode::eUnavailable,
                         aCall.mStep,
                         aCall.mPeer,
                         "not sent: " + std::move(aMessage));
}

} // namespace

// One connection. It is opened by its first call, and reopened by the next call
// when the peer has closed it.
class ConnectionPool::Connection
{
public:
  explicit Connection(const std::string& aAddress)
    : mClient(aAddress.substr(0, aAddress.rfind(':')), PortOf(aAddress))
  {
    mClient.set_keep_alive(true);
    mClient.set_tcp_nodelay(true);
    mClient.set_url_encode(false);
  }

  httplib::Client mClient;
  SteadyTime mLastUse;
};

ConnectionPool::ConnectionPool(PoolLimits aLimits, CallCounters& aCounters)
  : mLimits(aLimits)
  , mCounters(aCounters)
{
  // The HTTP library writes to sockets without MSG_NOSIGNAL, so a write to a
  // closed connection would terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
  mWatcher = std::thread([this] { WatchDeadlines(); });
}

ConnectionPool::~ConnectionPool()
{
  std::unique_lock lock(mMutex);
  mIsStopping = true;
  mRunnableChanged.notify_all();
  mDeadlinesChanged.notify_all();
  lock.unlock();
  mWatcher.join();
  lock.lock();
  // A call cannot be aborted while it opens its connection, so this is repeated
  // until all calls have ended.
  while (!mByDeadline.empty()) {
    ExpireCalls(lock, SteadyTime::max());
    mDeadlinesChanged.wait_for(lock, std::chrono::milliseconds(10));
    for (const auto& [deadline, pending] : mByDeadline) {
      pending->mIsAborted = false;
    }
  }
  lock.unlock();
  for (std::thread& worker : mWorkers) {
    worker.join();
  }
}

void ConnectionPool::Send(HttpCall aCall, OnReply aOnReply)
{
  mCounters.AddCall(aCall.mAddress);
  auto pending = std::make_shared<PendingCall>();
  pending->mDeadline = steady_clock::now() + aCall.mTimeout;
  pending->mCall = std::move(aCall);
  pending->mOnReply = std::move(aOnReply);

  std::lock_guard lock(mMutex);
  mByDeadline.emplace(pending->mDeadline, pending);
  if (pending->mDeadline < mNextWakeUp) {
    mDeadlinesChanged.notify_all();
  }
  Peer& peer = mPeers[pending->mCall.mAddress];
  if (peer.mInUse == mLimits.mConnectionsPerAddress) {
    peer.mQueue.push_back(std::move(pending));
    return;
  }
  ++peer.mInUse;
  mRunnable.push_back(std::move(pending));
  if (mRunnable.size() > mIdleWorkers && mWorkers.size() < mLimits.mThreads) {
    try {
      mWorkers.emplace_back([this] { RunWorker(); });
    } catch (const std::system_error&) {
      // When no further thread can be started, the call waits for a running
      // one, at most until its deadline.
    }
  }
  mRunnableChanged.notify_one();
}

void ConnectionPool::RunWorker()
{
  std::unique_lock lock(mMutex);
  while (true) {
    ++mIdleWorkers;
    mRunnableChanged.wait(lock,
                          [&] { return mIsStopping || !mRunnable.empty(); });
    --mIdleWorkers;
    if (mRunnable.empty()) {
      return;
    }
    std::shared_ptr<PendingCall> pending = std::move(mRunnable.front());
    mRunnable.pop_front();
    Peer& peer = mPeers[pending->mCall.mAddress];
    if (!pending->mIsCompleted) {
      pending->mConnection = TakeConnection(peer, pending->mCall.mAddress);
      lock.unlock();
      base::Expected<HttpReply> reply = SendAndReceive(*pending);
      lock.lock();
      mByDeadline.erase({ pending->mDeadline, pending });
      std::shared_ptr<Connection> connection = std::move(pending->mConnection);
      if (reply && !pending->mIsAborted && !mIsStopping) {
        connection->mLastUse = steady_clock::now();
        peer.mIdle.push_back(std::move(connection));
        ++mIdleConnections;
        // The watcher has to wake up in time to close the connection if it
        // stays idle.
        if (mNextWakeUp > steady_clock::now() + mLimits.mIdleTimeout) {
          mDeadlinesChanged.notify_all();
        }
      }
      lock.unlock();
      connection.reset();
      pending->mOnReply(std::move(reply));
      pending->mOnReply = nullptr;
      lock.lock();
    }
    // CloseIdle may have removed unused peers from mPeers meanwhile, but not
    // this one, since it is in use.
    if (peer.mQueue.empty()) {
      --peer.mInUse;
    } else {
      mRunnable.push_back(std::move(peer.mQueue.front()));
      peer.mQueue.pop_front();
      mRunnableChanged.notify_one();
    }
    if (mIsStopping) {
      mDeadlinesChanged.notify_all();
    }
  }
}

std::shared_ptr<ConnectionPool::Connection> ConnectionPool::TakeConnection(
  Peer& aPeer,
  const std::string& aAddress)
{
  // Takes the most recently used connection, so that the others stay idle and
  // are closed when the load falls.
  if (!aPeer.mIdle.empty() &&
      aPeer.mIdle.back()->mLastUse + mLimits.mIdleTimeout <
        steady_clock::now()) {
    mIdleConnections -= aPeer.mIdle.size();
    aPeer.mIdle.clear();
  }
  if (aPeer.mIdle.empty()) {
    return std::make_shared<Connection>(aAddress);
  }
  auto connection = std::move(aPeer.mIdle.back());
  aPeer.mIdle.pop_back();
  --mIdleConnections;
  return connection;
}

base::Expected<HttpReply> ConnectionPool::SendAndReceive(
  const PendingCall& aPending)
{
  const HttpCall& call = aPending.mCall;
  const auto remaining = std::chrono::duration_cast<base::Duration>(
    aPending.mDeadline - steady_clock::now());
  if (remaining <= base::Duration::zero()) {
    return NotSentError(call, "no connection was free in time");
  }
  httplib::Client& client = aPending.mConnection->mClient;
  client.set_connection_timeout(std::min(remaining, kConnectTimeout));
  client.set_read_timeout(remaining);
  client.set_write_timeout(remaining);
  httplib::Request request;
  request.method = call.mMethod;
  request.path = call.mPath;
  request.body = call.mBody;
  if (!call.mBody.empty()) {
    request.headers.emplace("Content-Type", "application/json");
  }
  httplib::Response response;
  auto error = httplib::Error::Success;
  if (client.send(request, response, error)) {
    constexpr std::size_t kRequestLineBytes = 13; // " HTTP/1.1" and two CRLF
    const std::string_view statusLine = "HTTP/1.1 200 \r\n\r\n";
    mCounters.AddBytes(call.mAddress,
                       kRequestLineBytes + call.mMethod.size() + 1 +
                         call.mPath.size() + HeaderBytes(request.headers) +
                         call.mBody.size(),
                       statusLine.size() + response.reason.size() +
                         HeaderBytes(response.headers) + response.body.size());
    return HttpReply{ response.status, std::move(response.body) };
  }
  const std::string message = httplib::to_string(error);
  if (IsConnectFailure(error)) {
    return NotSentError(call, message);
  }
  return base::MakeError(
    ErrorCode::eOutcomeUnknown, call.mStep, call.mPeer, message);
}

void ConnectionPool::WatchDeadlines()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    const auto now = steady_clock::now();
    ExpireCalls(lock, now);
    CloseIdle(lock, now - mLimits.mIdleTimeout);
    SteadyTime next = SteadyTime::max();
    for (const auto& [deadline, pending] : mByDeadline) {
      if (!pending->mIsAborted) {
        next = deadline;
        break;
      }
    }
    if (mIdleConnections > 0) {
      next = std::min(next, now + mLimits.mIdleTimeout);
    }
    if (mIsStopping) {
      break;
    }
    mNextWakeUp = next;
    if (next == SteadyTime::max()) {
      mDeadlinesChanged.wait(lock);
    } else {
      mDeadlinesChanged.wait_until(lock, next);
    }
  }
}

void ConnectionPool::ExpireCalls(std::unique_lock<std::mutex>& aLock,
                                 SteadyTime aTime)
{
  std::vector<std::shared_ptr<PendingCall>> notSent;
  std::vector<std::shared_ptr<Connection>> aborted;
  for (auto item = mByDeadline.begin();
       item != mByDeadline.end() && item->first <= aTime;) {
    const std::shared_ptr<PendingCall>& pending = item->second;
    if (pending->mConnection) {
      if (!pending->mIsAborted) {
        pending->mIsAborted = true;
        aborted.push_back(pending->mConnection);
      }
      ++item;
      continue;
    }
    pending->mIsCompleted = true;
    std::erase(mPeers[pending->mCall.mAddress].mQueue, pending);
    notSent.push_back(pending);
    item = mByDeadline.erase(item);
  }
  if (notSent.empty() && aborted.empty()) {
    return;
  }
  aLock.unlock();
  for (const auto& pending : notSent) {
    pending->mOnReply(
      NotSentError(pending->mCall, "no connection was free in time"));
    pending->mOnReply = nullptr;
  }
  for (const auto& connection : aborted) {
    connection->mClient.stop();
  }
  aLock.lock();
}

void ConnectionPool::CloseIdle(std::unique_lock<std::mutex>& aLock,
                               SteadyTime aUnusedSince)
{
  std::vector<std::shared_ptr<Connection>> closed;
  for (auto item = mPeers.begin(); item != mPeers.end();) {
    auto& idle = item->second.mIdle;
    auto kept = std::find_if(idle.begin(), idle.end(), [&](const auto& aIdle) {
      return aIdle->mLastUse > aUnusedSince;
    });
    std::move(idle.begin(), kept, std::back_inserter(closed));
    idle.erase(idle.begin(), kept);
    const bool isUnused = idle.empty() && item->second.mInUse == 0;
    item = isUnused ? mPeers.erase(item) : std::next(item);
  }
  mIdleConnections -= closed.size();
  aLock.unlock();
  closed.clear();
  aLock.lock();
}

} // namespace flamingoloom::platform
