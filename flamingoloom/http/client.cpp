#include "flamingoloom/http/client.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <list>
#include <map>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace flamingoloom::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

const std::string& HeaderValue(const Headers& aHeaders, const char* aName)
{
  static const std::string sNone;
  for (const auto& [name, value] : aHeaders) {
    if (beast::iequals(name, aName)) {
      return value;
    }
  }
  return sNone;
}

namespace {

// Bodies are read in parts of up to this size. The parser leaves the rest of
// what it can't use yet in the buffer: a header, the head of a chunk, trailers.
constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;

struct Connection
{
  Connection(asio::io_context& aLoop, std::size_t aMaxBufferBytes)
    : mStream(aLoop)
    , mBuffer(aMaxBufferBytes)
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  base::Time mOpenedAt;
};

using ConnectionPtr = std::shared_ptr<Connection>;

// A call that waits until it may open a connection.
struct WaitingCall
{
  std::function<bool()> mHasTimedOut;
  std::function<void()> mOpen;
};

// A connection that no call uses.
struct IdleConnection
{
  std::string mPeer;
  ConnectionPtr mConnection;
  base::Time mSince;
};

std::optional<Tcp::endpoint> ParseEndpoint(const std::string& aPeer)
{
  const auto colon = aPeer.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aPeer.substr(0, colon), error);
  const int port = std::atoi(aPeer.c_str() + colon + 1);
  if (error || port <= 0 || port > 65535) {
    return std::nullopt;
  }
  return Tcp::endpoint(address, static_cast<unsigned short>(port));
}

bool IsReusable(Connection& aConnection)
{
  auto& socket = aConnection.mStream.socket();
  if (!socket.is_open()) {
    return false;
  }
  // An idle connection has nothing to read. Readable means either that the
  // peer closed it or that unexpected bytes arrived; neither can be reused.
  char byte = 0;
  const auto received =
    recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

class Client::Impl : public std::enable_shared_from_this<Client::Impl>
{
public:
  Impl(asio::io_context& aLoop,
       ClientOptions aOptions,
       Clock aClock,
       Observer aObserver)
    : mLoop(aLoop)
    , mOptions(aOptions)
    , mClock(std::move(aClock))
    , mObserver(std::move(aObserver))
  {
  }

  // Returns an idle connection to aPeer that can be used and was opened at
  // aOpenedBy or before, or null.
  ConnectionPtr TakeIdle(const std::string& aPeer, base::Time aOpenedBy)
  {
    if (!HasIdle(aPeer, aOpenedBy)) {
      return nullptr;
    }
    auto& idle = mIdleOf[aPeer];
    const auto entry = NewestIdle(idle, aOpenedBy);
    auto connection = (*entry)->mConnection;
    mIdle.erase(*entry);
    idle.erase(entry);
    return connection;
  }

  // Returns whether TakeIdle would return a connection. Closes connections that
  // can't be used any more.
  bool HasIdle(const std::string& aPeer, base::Time aOpenedBy)
  {
    CloseExpired();
    const auto idle = mIdleOf.find(aPeer);
    if (idle == mIdleOf.end()) {
      return false;
    }
    for (;;) {
      const auto entry = NewestIdle(idle->second, aOpenedBy);
      if (entry == idle->second.end()) {
        return false;
      }
      if (IsReusable(*(*entry)->mConnection)) {
        return true;
      }
      CloseIdle(*entry);
    }
  }

  // Keeps a connection for later calls.
  void ReturnIdle(const std::string& aPeer, ConnectionPtr aConnection)
  {
    auto& idle = mIdleOf[aPeer];
    idle.push_back(
      mIdle.insert(mIdle.end(), { aPeer, std::move(aConnection), mClock() }));
    if (static_cast<int>(idle.size()) > mOptions.mMaxIdlePerPeer) {
      CloseIdle(idle.front());
    }
    CloseExpired();
    OpenNext();
  }

  // Calls aCall.mOpen as soon as one more connection may be opened, and counts
  // that connection.
  void Open(WaitingCall aCall)
  {
    mWaiting.push_back(std::move(aCall));
    OpenNext();
  }

  // A connection that was counted is closed.
  void OnClosed()
  {
    --mCounters.mOpenConnections;
    OpenNext();
  }

  // Opens connections for the calls that wait, in their order, as long as the
  // limit allows it.
  void OpenNext()
  {
    while (!mWaiting.empty()) {
      if (mWaiting.front().mHasTimedOut()) {
        mWaiting.pop_front();
      } else if (mCounters.mOpenConnections < mOptions.mMaxConnections) {
        ++mCounters.mOpenConnections;
        const auto open = std::move(mWaiting.front().mOpen);
        mWaiting.pop_front();
        open();
      } else if (!mIdle.empty()) {
        CloseIdle(mIdle.begin());
      } else {
        return;
      }
    }
  }

  // Closes the connections that have been idle for too long.
  void CloseExpired()
  {
    const auto oldest = mClock() - mOptions.mMaxIdleTime;
    while (!mIdle.empty() && mIdle.front().mSince < oldest) {
      CloseIdle(mIdle.begin());
    }
  }

  void CloseIdle(std::list<IdleConnection>::iterator aIdle)
  {
    auto& ofPeer = mIdleOf[aIdle->mPeer];
    ofPeer.erase(std::find(ofPeer.begin(), ofPeer.end(), aIdle));
    mIdle.erase(aIdle);
    OnClosed();
  }

  using IdleOfPeer = std::deque<std::list<IdleConnection>::iterator>;

  // Returns the one that was used last among those that were opened at
  // aOpenedBy or before, or the end.
  static IdleOfPeer::iterator NewestIdle(IdleOfPeer& aIdle,
                                         base::Time aOpenedBy)
  {
    const auto found = std::find_if(
      aIdle.rbegin(), aIdle.rend(), [aOpenedBy](const auto& aEntry) {
        return aEntry->mConnection->mOpenedAt <= aOpenedBy;
      });
    return found == aIdle.rend() ? aIdle.end() : std::prev(found.base());
  }

  std::size_t MaxBodyBytes(const std::string& aPeer) const
  {
    const auto limit = mMaxBodyBytes.find(aPeer);
    return limit == mMaxBodyBytes.end() ? mOptions.mMaxBodyBytes
                                        : limit->second;
  }

  asio::io_context& mLoop;
  ClientOptions mOptions;
  std::map<std::string, std::size_t> mMaxBodyBytes;
  Clock mClock;
  Observer mObserver;
  ClientCounters mCounters;
  // In the order in which they became idle.
  std::list<IdleConnection> mIdle;
  std::map<std::string, IdleOfPeer> mIdleOf;
  std::deque<WaitingCall> mWaiting;
};

namespace {

// State of one call, from taking a connection to calling its callback.
template <class Pool>
struct Exchange : std::enable_shared_from_this<Exchange<Pool>>
{
  Exchange(std::shared_ptr<Pool> aPool,
           std::string aPeer,
           Client::Callback aCallback)
    : mPool(std::move(aPool))
    , mPeer(std::move(aPeer))
    , mCallback(std::move(aCallback))
    , mTimer(mPool->mLoop)
  {
  }

  // If aOpenedBy is set, only a connection that was opened by then is used.
  void Start(Request aRequest,
             base::Duration aTimeout,
             std::optional<base::Time> aOpenedBy,
             Client::MaySend aMaySend)
  {
    mMaySend = std::move(aMaySend);
    mStartedAt = mPool->mClock();
    mRequest.method_string(aRequest.mMethod);
    mRequest.target(aRequest.mTarget);
    mRequest.version(11);
    mRequest.set(beast::http::field::host, mPeer);
    for (const auto& [name, value] : aRequest.mHeaders) {
      mRequest.set(name, value);
    }
    mRequest.body() = std::move(aRequest.mBody);
    mRequest.prepare_payload();
    auto self = this->shared_from_this();
    mTimeout = aTimeout;
    RestartTimer();
    mConnection = mPool->TakeIdle(mPeer, aOpenedBy.value_or(base::Time::max()));
    if (mConnection) {
      mHoldsConnection = true;
      Send();
      return;
    }
    if (aOpenedBy) {
      asio::post(mPool->mLoop, [self] {
        self->Finish(base::MakeError(base::ErrorCode::eUnavailable,
                                     "reuse connection",
                                     self->mPeer,
                                     "none is open"));
      });
      return;
    }
    const auto endpoint = ParseEndpoint(mPeer);
    if (!endpoint) {
      asio::post(mPool->mLoop, [self] {
        self->Finish(base::MakeError(base::ErrorCode::eInvalid,
                                     "connect",
                                     self->mPeer,
                                     "invalid address"));
      });
      return;
    }
    mPool->Open({ [self] { return self->mDone; },
                  [self, endpoint = *endpoint] { self->Connect(endpoint); } });
  }

  void Connect(const Tcp::endpoint& aEndpoint)
  {
    ++mPool->mCounters.mConnectionAttempts;
    mConnection = std::make_shared<Connection>(
      mPool->mLoop, mPool->mOptions.mMaxHeaderBytes + kReadBytes);
    mHoldsConnection = true;
    mConnection->mStream.async_connect(
      aEndpoint, [self = this->shared_from_this()](auto aError) {
        if (aError) {
          self->Fail("connect", aError);
          return;
        }
        self->mConnection->mOpenedAt = self->mPool->mClock();
        boost::system::error_code ignored;
        self->mConnection->mStream.socket().set_option(Tcp::no_delay(true),
                                                       ignored);
        self->Send();
      });
  }

  void Send()
  {
    auto self = this->shared_from_this();
    mSentAt = mPool->mClock();
    if (mSentAt >= mStartedAt + mTimeout) {
      // The process stood still, and the loop has not handled the timer yet.
      asio::post(mPool->mLoop, [self] { self->OnTimeout(); });
      return;
    }
    if (mMaySend && !mMaySend()) {
      asio::post(mPool->mLoop, [self] {
        self->Finish(base::MakeError(base::ErrorCode::eUnavailable,
                                     "send request",
                                     self->mPeer,
                                     "not to be sent any more"));
        self->Close();
      });
      return;
    }
    mSent = true;
    beast::http::async_write(
      mConnection->mStream, mRequest, [self](auto aError, std::size_t) {
        if (aError) {
          self->Fail("send request", aError);
          return;
        }
        self->Receive();
      });
  }

  void RestartTimer()
  {
    auto self = this->shared_from_this();
    const base::Duration left = mStartedAt + mTimeout +
                                mPool->mOptions.mMaxTransferTime -
                                mPool->mClock();
    mTimer.expires_after(std::clamp(left, base::Duration(0), mTimeout));
    mTimer.async_wait([self](auto aError) {
      if (!aError) {
        self->OnTimeout();
      }
    });
  }

  void Receive()
  {
    mParser.header_limit(
      static_cast<std::uint32_t>(mPool->mOptions.mMaxHeaderBytes));
    mParser.body_limit(mPool->MaxBodyBytes(mPeer));
    // Reads the header and what has arrived of the body in one operation.
    mParser.eager(true);
    ReceivePart();
  }

  void ReceivePart()
  {
    auto self = this->shared_from_this();
    beast::http::async_read_some(
      mConnection->mStream,
      mConnection->mBuffer,
      mParser,
      [self](auto aError, std::size_t) { self->OnPart(aError); });
  }

  void OnPart(const boost::system::error_code& aError)
  {
    if (mDone) {
      return;
    }
    if (aError) {
      Fail("read response", aError);
    } else if (mParser.is_done()) {
      Complete();
    } else {
      RestartTimer();
      ReceivePart();
    }
  }

  void Complete()
  {
    if (mDone) {
      return;
    }
    auto message = mParser.release();
    Response response;
    response.mStatus = static_cast<int>(message.result_int());
    response.mRequestSentAt = mSentAt;
    for (const auto& field : message) {
      response.mHeaders.emplace_back(std::string(field.name_string()),
                                     std::string(field.value()));
    }
    response.mBody = std::move(message.body());
    if (message.keep_alive()) {
      mHoldsConnection = false;
      mPool->ReturnIdle(mPeer, mConnection);
    } else {
      Close();
    }
    Finish(std::move(response));
  }

  void OnTimeout()
  {
    if (mDone) {
      return;
    }
    Finish(base::MakeError(mSent ? base::ErrorCode::eOutcomeUnknown
                                 : base::ErrorCode::eUnavailable,
                           mSent ? "await response" : "connect",
                           mPeer,
                           TimeoutText()));
    Close();
  }

  // Tells a silent peer from one whose response is still arriving.
  std::string TimeoutText() const
  {
    const auto received = mParser.get().body().size();
    return received == 0 ? "timed out"
                         : "timed out with " + std::to_string(received) +
                             " bytes of the response received";
  }

  void Fail(const char* aStep, const boost::system::error_code& aError)
  {
    Finish(base::MakeError(mSent ? base::ErrorCode::eOutcomeUnknown
                                 : base::ErrorCode::eUnavailable,
                           aStep,
                           mPeer,
                           aError.message()));
    Close();
  }

  void Close()
  {
    if (!mHoldsConnection) {
      return;
    }
    mHoldsConnection = false;
    boost::system::error_code ignored;
    mConnection->mStream.socket().close(ignored);
    mPool->OnClosed();
  }

  void Finish(base::Expected<Response> aResult)
  {
    if (mDone) {
      return;
    }
    mDone = true;
    mTimer.cancel();
    if (mPool->mObserver) {
      mPool->mObserver(
        mPeer, mPool->mClock() - mStartedAt, aResult.has_value());
    }
    auto callback = std::move(mCallback);
    callback(std::move(aResult));
  }

  std::shared_ptr<Pool> mPool;
  std::string mPeer;
  Client::Callback mCallback;
  asio::steady_timer mTimer;
  base::Duration mTimeout{ 0 };
  base::Time mStartedAt;
  // Kept until the last operation on it has ended.
  ConnectionPtr mConnection;
  // Whether it is open and counted for this call.
  bool mHoldsConnection = false;
  beast::http::request<beast::http::string_body> mRequest;
  beast::http::response_parser<beast::http::string_body> mParser;
  Client::MaySend mMaySend;
  bool mSent = false;
  base::Time mSentAt;
  bool mDone = false;
};

} // namespace

Client::Client(asio::io_context& aLoop,
               ClientOptions aOptions,
               Clock aClock,
               Observer aObserver)
  : mImpl(std::make_shared<Impl>(aLoop,
                                 aOptions,
                                 std::move(aClock),
                                 std::move(aObserver)))
{
}

Client::~Client() = default;

void Client::Call(const std::string& aPeer,
                  Request aRequest,
                  base::Duration aTimeout,
                  Callback aCallback,
                  MaySend aMaySend)
{
  std::make_shared<Exchange<Impl>>(mImpl, aPeer, std::move(aCallback))
    ->Start(std::move(aRequest), aTimeout, std::nullopt, std::move(aMaySend));
}

void Client::SetMaxBodyBytes(const std::string& aPeer, std::size_t aBytes)
{
  mImpl->mMaxBodyBytes[aPeer] = aBytes;
}

bool Client::HasOpen(const std::string& aPeer, base::Time aOpenedBy)
{
  return mImpl->HasIdle(aPeer, aOpenedBy);
}

void Client::CallOnOpen(const std::string& aPeer,
                        Request aRequest,
                        base::Duration aTimeout,
                        base::Time aOpenedBy,
                        Callback aCallback)
{
  std::make_shared<Exchange<Impl>>(mImpl, aPeer, std::move(aCallback))
    ->Start(std::move(aRequest), aTimeout, aOpenedBy, {});
}

const ClientCounters& Client::Counters() const
{
  return mImpl->mCounters;
}

} // namespace flamingoloom::http
