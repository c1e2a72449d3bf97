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
    bytes += name.size() + value.size() + 4; // ": " and the line end
  }
  return bytes;
}

// The port of "ip:port", or 0.
int PortOf(const std::string& aAddress)
{
  int port = 0;
  if (auto colon = aAddress.rfind(':'); colon != std::string::npos) {
    std::from_chars(
      aAddress.data() + colon + 1, aAddress.data() + aAddress.size(), port);
  }
  return port;
}

bool WasNotSent(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::ConnectionTimeout ||
         aError == httplib::Error::BindIPAddress;
}

tl::unexpected<base::Error> NotSent(const HttpCall& aCall, std::string aMessage)
{
  return base::MakeError(ErrorCode::eUnavailable,
                         aCall.mStep,
                         aCall.mPeer,
                         "not sent: " + std::move(aMessage));
}

} // namespace

// One connection, opened by its first call and again when the peer closed it.
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
  // The HTTP library writes to sockets without MSG_NOSIGNAL.
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
  // A call that is just opening its connection cannot be broken off yet, so
  // this is repeated until all have ended.
  while (!mByDeadline.empty()) {
    Expire(lock, SteadyTime::max());
    mDeadlinesChanged.wait_for(lock, std::chrono::milliseconds(10));
    for (const auto& [deadline, pending] : mByDeadline) {
      pending->mIsBrokenOff = false;
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
  auto pending = std::make_shared<Pending>();
  pending->mDeadline = steady_clock::now() + aCall.mTimeout;
  pending->mCall = std::move(aCall);
  pending->mOnReply = std::move(aOnReply);

  std::lock_guard lock(mMutex);
  mByDeadline.emplace(pending->mDeadline, pending);
  if (pending->mDeadline < mNextWatch) {
    mDeadlinesChanged.notify_all();
  }
  Peer& peer = mPeers[pending->mCall.mAddress];
  if (peer.mBusy == mLimits.mConnectionsPerAddress) {
    peer.mWaiting.push_back(std::move(pending));
    return;
  }
  ++peer.mBusy;
  mRunnable.push_back(std::move(pending));
  if (mRunnable.size() > mIdleWorkers && mWorkers.size() < mLimits.mThreads) {
    try {
      mWorkers.emplace_back([this] { Work(); });
    } catch (const std::system_error&) {
      // Without a further thread the call waits for one, at the longest until
      // its deadline.
    }
  }
  mRunnableChanged.notify_one();
}

void ConnectionPool::Work()
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
    std::shared_ptr<Pending> pending = std::move(mRunnable.front());
    mRunnable.pop_front();
    Peer& peer = mPeers[pending->mCall.mAddress];
    if (!pending->mIsAnswered) {
      pending->mConnection = TakeConnection(peer, pending->mCall.mAddress);
      lock.unlock();
      base::Expected<HttpReply> reply = Perform(*pending);
      lock.lock();
      mByDeadline.erase({ pending->mDeadline, pending });
      std::shared_ptr<Connection> connection = std::move(pending->mConnection);
      if (reply && !pending->mIsBrokenOff && !mIsStopping) {
        connection->mLastUse = steady_clock::now();
        peer.mIdle.push_back(std::move(connection));
        ++mIdleConnections;
        // The watcher has to close it when it stays idle.
        if (mNextWatch > steady_clock::now() + mLimits.mIdleTime) {
          mDeadlinesChanged.notify_all();
        }
      }
      lock.unlock();
      connection.reset();
      pending->mOnReply(std::move(reply));
      pending->mOnReply = nullptr;
      lock.lock();
    }
    // mPeers may have lost idle addresses meanwhile, but not a busy one.
    if (peer.mWaiting.empty()) {
      --peer.mBusy;
    } else {
      mRunnable.push_back(std::move(peer.mWaiting.front()));
      peer.mWaiting.pop_front();
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
  // The one used last, so that the others can be closed when load falls.
  if (!aPeer.mIdle.empty() &&
      aPeer.mIdle.back()->mLastUse + mLimits.mIdleTime < steady_clock::now()) {
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

base::Expected<HttpReply> ConnectionPool::Perform(const Pending& aPending)
{
  const HttpCall& call = aPending.mCall;
  const auto left = std::chrono::duration_cast<base::Duration>(
    aPending.mDeadline - steady_clock::now());
  if (left <= base::Duration::zero()) {
    return NotSent(call, "no connection was free in time");
  }
  httplib::Client& client = aPending.mConnection->mClient;
  client.set_connection_timeout(std::min(left, kConnectTimeout));
  client.set_read_timeout(left);
  client.set_write_timeout(left);
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
    constexpr std::size_t kFirstLine = 13; // " HTTP/1.1", two line ends
    const std::string_view statusLine = "HTTP/1.1 200 \r\n\r\n";
    mCounters.AddBytes(call.mAddress,
                       kFirstLine + call.mMethod.size() + 1 +
                         call.mPath.size() + HeaderBytes(request.headers) +
                         call.mBody.size(),
                       statusLine.size() + response.reason.size() +
                         HeaderBytes(response.headers) + response.body.size());
    return HttpReply{ response.status, std::move(response.body) };
  }
  const std::string message = httplib::to_string(error);
  if (WasNotSent(error)) {
    return NotSent(call, message);
  }
  return base::MakeError(
    ErrorCode::eOutcomeUnknown, call.mStep, call.mPeer, message);
}

void ConnectionPool::WatchDeadlines()
{
  std::unique_lock lock(mMutex);
  while (!mIsStopping) {
    const auto now = steady_clock::now();
    Expire(lock, now);
    CloseIdle(lock, now - mLimits.mIdleTime);
    SteadyTime next = SteadyTime::max();
    for (const auto& [deadline, pending] : mByDeadline) {
      if (!pending->mIsBrokenOff) {
        next = deadline;
        break;
      }
    }
    if (mIdleConnections > 0) {
      next = std::min(next, now + mLimits.mIdleTime);
    }
    if (mIsStopping) {
      break;
    }
    mNextWatch = next;
    if (next == SteadyTime::max()) {
      mDeadlinesChanged.wait(lock);
    } else {
      mDeadlinesChanged.wait_until(lock, next);
    }
  }
}

void ConnectionPool::Expire(std::unique_lock<std::mutex>& aLock,
                            SteadyTime aTime)
{
  std::vector<std::shared_ptr<Pending>> notSent;
  std::vector<std::shared_ptr<Connection>> brokenOff;
  for (auto item = mByDeadline.begin();
       item != mByDeadline.end() && item->first <= aTime;) {
    const std::shared_ptr<Pending>& pending = item->second;
    if (pending->mConnection) {
      if (!pending->mIsBrokenOff) {
        pending->mIsBrokenOff = true;
        brokenOff.push_back(pending->mConnection);
      }
      ++item;
      continue;
    }
    pending->mIsAnswered = true;
    std::erase(mPeers[pending->mCall.mAddress].mWaiting, pending);
    notSent.push_back(pending);
    item = mByDeadline.erase(item);
  }
  if (notSent.empty() && brokenOff.empty()) {
    return;
  }
  aLock.unlock();
  for (const auto& pending : notSent) {
    pending->mOnReply(
      NotSent(pending->mCall, "no connection was free in time"));
    pending->mOnReply = nullptr;
  }
  for (const auto& connection : brokenOff) {
    connection->mClient.stop();
  }
  aLock.lock();
}

void ConnectionPool::CloseIdle(std::unique_lock<std::mutex>& aLock,
                               SteadyTime aBefore)
{
  std::vector<std::shared_ptr<Connection>> closed;
  for (auto item = mPeers.begin(); item != mPeers.end();) {
    auto& idle = item->second.mIdle;
    auto kept = std::find_if(idle.begin(), idle.end(), [&](const auto& aIdle) {
      return aIdle->mLastUse > aBefore;
    });
    std::move(idle.begin(), kept, std::back_inserter(closed));
    idle.erase(idle.begin(), kept);
    const bool isUnused = idle.empty() && item->second.mBusy == 0;
    item = isUnused ? mPeers.erase(item) : std::next(item);
  }
  mIdleConnections -= closed.size();
  aLock.unlock();
  closed.clear();
  aLock.lock();
}

} // namespace flamingoloom::platform
