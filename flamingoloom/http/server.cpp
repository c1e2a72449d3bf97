#include "flamingoloom/http/server.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <list>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace flamingoloom::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

namespace {

// A header field takes an allocation of its own; the shortest one has 4 bytes.
constexpr std::size_t kMemoryPerHeaderByte = 32;
// A request is decoded, encoded for the store and wrapped for the call, while
// its caller waits.
constexpr std::size_t kCopiesWhileHandled = 4;
// Requests up to this size may use all of the memory for requests, larger ones
// half of it.
constexpr std::size_t kOrdinaryRequestMemory = std::size_t{ 64 } * 1024;

enum class SessionPhase
{
  // Waits for the first byte of a request.
  eIdle,
  eReading,
  // The handler has the request.
  eHandling,
  // Its response is being written; that takes long only if the peer does not
  // read it.
  eWriting,
  eClosed,
};

class Session;

// State that the connections share.
class Listener : public std::enable_shared_from_this<Listener>
{
public:
  Listener(asio::io_context& aLoop,
           ServerLimits aLimits,
           Server::Handler aHandler)
    : mLoop(aLoop)
    , mAcceptor(aLoop)
    , mAcceptTimer(aLoop)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  base::Expected<void> Listen(const std::string& aAddress);
  void Accept();
  // Closes a connection if there are as many as the limit allows. Returns
  // whether a new one may be opened.
  bool MakeRoomForConnection();
  // Gives up requests that are being read until the memory of all is within the
  // limit.
  void LimitRequestMemory();
  // Returns whether a request that takes aMemory may be passed to the handler.
  bool MayHandle(std::size_t aMemory) const;

  asio::io_context& mLoop;
  Tcp::acceptor mAcceptor;
  asio::steady_timer mAcceptTimer;
  ServerLimits mLimits;
  Server::Handler mHandler;
  bool mCloseAfterResponses = false;
  int mOpenRequests = 0;
  ServerCounters mCounters;
  // Open connections, in the order in which they entered their phase.
  std::list<Session*> mIdle;
  std::list<Session*> mReading;
  std::list<Session*> mHandling;
  std::list<Session*> mWriting;
  // Number of the last change of a phase.
  std::uint64_t mPhaseChanges = 0;
  // Sum of the sessions' memory, and the part of it that is handled.
  std::size_t mRequestMemory = 0;
  std::size_t mHandledMemory = 0;
};

// One accepted connection. It owns itself through its pending operations.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(std::shared_ptr<Listener> aOwner, Tcp::socket aSocket)
    : mOwner(std::move(aOwner))
    , mStream(std::move(aSocket))
  {
    ++mOwner->mCounters.mOpenConnections;
  }

  ~Session() { EnterPhase(SessionPhase::eClosed); }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void ReadNext()
  {
    EnterPhase(SessionPhase::eIdle);
    SetMemory(0);
    mHeaderBytes = 0;
    mParser.emplace();
    mParser->eager(true);
    mParser->header_limit(
      static_cast<std::uint32_t>(mOwner->mLimits.mMaxHeaderBytes));
    mParser->body_limit(mOwner->mLimits.mMaxBodyBytes);
    // The parser leaves a header, the head of a chunk or trailers in the buffer
    // until they are complete.
    mBuffer.max_size(
      std::max(mBuffer.size(), mOwner->mLimits.mMaxHeaderBytes + kReadBytes));
    if (mBuffer.size() > 0) {
      BeginRequest();
      return;
    }
    auto self = shared_from_this();
    mStream.expires_after(mOwner->mLimits.mIdleTimeout);
    mStream.async_read_some(mBuffer.prepare(kReadBytes),
                            [self](auto aError, std::size_t aBytes) {
                              if (aError) {
                                self->Close();
                                return;
                              }
                              self->mBuffer.commit(aBytes);
                              self->BeginRequest();
                            });
  }

  // Closes the connection without a complete response.
  void Abandon()
  {
    EnterPhase(SessionPhase::eClosed);
    Close();
  }

  std::size_t Memory() const { return mMemory; }
  // Lower for a session that has been in its phase for longer.
  std::uint64_t PhaseNumber() const { return mPhaseNumber; }

private:
  void BeginRequest()
  {
    EnterPhase(SessionPhase::eReading);
    mStream.expires_after(mOwner->mLimits.mRequestTimeout);
    ReadPart();
  }

  void ReadPart()
  {
    auto self = shared_from_this();
    beast::http::async_read_some(
      mStream, mBuffer, *mParser, [self](auto aError, std::size_t aBytes) {
        self->OnPart(aError, aBytes);
      });
  }

  void OnPart(const boost::system::error_code& aError, std::size_t aBytes)
  {
    if (mPhase != SessionPhase::eReading) {
      return;
    }
    if (aError == beast::http::error::header_limit ||
        aError == beast::http::error::buffer_overflow) {
      RejectRequest(431);
    } else if (aError == beast::http::error::body_limit) {
      RejectRequest(413);
    } else if (aError &&
               aError.category() ==
                 beast::http::make_error_code(beast::http::error::bad_target)
                   .category() &&
               aError != beast::http::error::end_of_stream &&
               aError != beast::http::error::partial_message) {
      RejectRequest(400);
    } else if (aError) {
      Close();
    } else {
      ContinueRequest(aBytes);
    }
  }

  void ContinueRequest(std::size_t aBytes)
  {
    if (!mParser->is_header_done() || mHeaderBytes == 0) {
      mHeaderBytes += aBytes;
    }
    SetMemory(std::min(mHeaderBytes, mOwner->mLimits.mMaxHeaderBytes) *
                kMemoryPerHeaderByte +
              mBuffer.capacity() + mParser->get().body().capacity());
    mOwner->LimitRequestMemory();
    if (mPhase != SessionPhase::eReading) {
      return;
    }
    if (mParser->is_done()) {
      Dispatch();
    } else {
      ReadPart();
    }
  }

  void Dispatch()
  {
    const auto memory =
      mMemory + (kCopiesWhileHandled - 1) * mParser->get().body().size();
    if (!mOwner->MayHandle(memory)) {
      ++mOwner->mCounters.mRejectedRequests;
      RejectRequest(503);
      return;
    }
    EnterPhase(SessionPhase::eHandling);
    SetMemory(memory);
    mStream.expires_never();
    auto message = mParser->release();
    mKeepAlive = message.keep_alive();
    Request request;
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    for (const auto& field : message) {
      request.mHeaders.emplace_back(std::string(field.name_string()),
                                    std::string(field.value()));
    }
    request.mBody = std::move(message.body());
    ++mOwner->mOpenRequests;
    auto self = shared_from_this();
    mOwner->mHandler(request, [self](Response aResponse) {
      self->Write(std::move(aResponse), true);
    });
  }

  // Responds with an error status to a request that was not passed to the
  // handler, and closes the connection.
  void RejectRequest(int aStatus)
  {
    mParser.reset();
    mKeepAlive = false;
    Response response;
    response.mStatus = aStatus;
    if (aStatus == 503) {
      response.mHeaders = { { "Retry-After", "1" } };
    }
    Write(std::move(response), false);
  }

  void Write(Response aResponse, bool aIsHandledRequest)
  {
    const bool close =
      aResponse.mClose || !mKeepAlive || mOwner->mCloseAfterResponses;
    mResponse = {};
    mResponse.version(11);
    mResponse.result(static_cast<unsigned>(aResponse.mStatus));
    for (const auto& [name, value] : aResponse.mHeaders) {
      mResponse.set(name, value);
    }
    mResponse.body() = std::move(aResponse.mBody);
    mResponse.keep_alive(!close);
    mResponse.prepare_payload();
    SetMemory(0);
    EnterPhase(SessionPhase::eWriting);
    auto self = shared_from_this();
    mStream.expires_after(mOwner->mLimits.mIdleTimeout);
    beast::http::async_write(
      mStream,
      mResponse,
      [self, close, aIsHandledRequest](auto aError, std::size_t) {
        if (aIsHandledRequest) {
          --self->mOwner->mOpenRequests;
        }
        if (aError || close) {
          self->Close();
        } else {
          self->ReadNext();
        }
      });
  }

  void Close()
  {
    boost::system::error_code ignored;
    mStream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    mStream.socket().close(ignored);
  }

  // Returns the list of the sessions in a phase, or null.
  std::list<Session*>* ListOf(SessionPhase aPhase)
  {
    switch (aPhase) {
      case SessionPhase::eIdle:
        return &mOwner->mIdle;
      case SessionPhase::eReading:
        return &mOwner->mReading;
      case SessionPhase::eHandling:
        return &mOwner->mHandling;
      case SessionPhase::eWriting:
        return &mOwner->mWriting;
      case SessionPhase::eClosed:
        break;
    }
    return nullptr;
  }

  void EnterPhase(SessionPhase aPhase)
  {
    if (mPhase == SessionPhase::eClosed) {
      if (mWasOpened) {
        return;
      }
      mWasOpened = true;
    } else {
      ListOf(mPhase)->erase(mPosition);
    }
    const auto memory = mMemory;
    SetMemory(0);
    mPhase = aPhase;
    mPhaseNumber = ++mOwner->mPhaseChanges;
    if (auto* const sessions = ListOf(aPhase)) {
      mPosition = sessions->insert(sessions->end(), this);
      SetMemory(memory);
    } else {
      --mOwner->mCounters.mOpenConnections;
    }
  }

  void SetMemory(std::size_t aMemory)
  {
    mOwner->mRequestMemory += aMemory - mMemory;
    if (mPhase == SessionPhase::eHandling) {
      mOwner->mHandledMemory += aMemory - mMemory;
    }
    mMemory = aMemory;
  }

  // Most requests of callers fit into one read of this size.
  static constexpr std::size_t kReadBytes = 4096;

  std::shared_ptr<Listener> mOwner;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::optional<beast::http::request_parser<beast::http::string_body>> mParser;
  beast::http::response<beast::http::string_body> mResponse;
  bool mKeepAlive = true;
  SessionPhase mPhase = SessionPhase::eClosed;
  bool mWasOpened = false;
  std::uint64_t mPhaseNumber = 0;
  std::list<Session*>::iterator mPosition;
  std::size_t mHeaderBytes = 0;
  std::size_t mMemory = 0;
};

bool Listener::MakeRoomForConnection()
{
  if (mCounters.mOpenConnections < mLimits.mMaxConnections) {
    return true;
  }
  ++mCounters.mClosedConnections;
  const auto isOlder = [](const auto& aLeft, const auto& aRight) {
    return aRight.empty() ||
           (!aLeft.empty() &&
            aLeft.front()->PhaseNumber() < aRight.front()->PhaseNumber());
  };
  auto& busy = isOlder(mReading, mWriting) ? mReading : mWriting;
  auto& candidates = mIdle.empty() ? busy : mIdle;
  if (candidates.empty()) {
    return false;
  }
  candidates.front()->Abandon();
  return true;
}

void Listener::LimitRequestMemory()
{
  // A request within the other limits is served if it is the only one.
  while (mRequestMemory > mLimits.mMaxRequestMemory && !mReading.empty() &&
         mReading.size() + mHandling.size() > 1) {
    const auto largest =
      std::max_element(mReading.begin(),
                       mReading.end(),
                       [](const Session* aLeft, const Session* aRight) {
                         return aLeft->Memory() < aRight->Memory();
                       });
    ++mCounters.mRejectedRequests;
    (*largest)->Abandon();
  }
}

bool Listener::MayHandle(std::size_t aMemory) const
{
  const auto limit = aMemory <= kOrdinaryRequestMemory
                       ? mLimits.mMaxRequestMemory
                       : mLimits.mMaxRequestMemory / 2;
  return mHandledMemory == 0 || mHandledMemory + aMemory <= limit;
}

base::Expected<void> Listener::Listen(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(
    aAddress.substr(0, colon == std::string::npos ? 0 : colon), error);
  if (error) {
    return base::MakeError(
      base::ErrorCode::eInvalid, "listen", aAddress, error.message());
  }
  const Tcp::endpoint endpoint(
    ip, static_cast<unsigned short>(std::atoi(aAddress.c_str() + colon + 1)));
  mAcceptor.open(endpoint.protocol(), error);
  if (!error) {
    mAcceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    mAcceptor.bind(endpoint, error);
  }
  if (!error) {
    mAcceptor.listen(Tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return base::MakeError(
      base::ErrorCode::eUnavailable, "listen", aAddress, error.message());
  }
  Accept();
  return {};
}

void Listener::Accept()
{
  // Accepting fails when the process is out of file descriptors. The delay
  // gives open connections time to close.
  static constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);
  mAcceptor.async_accept(
    [self = shared_from_this()](auto aError, Tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        self->mAcceptTimer.expires_after(kAcceptRetryDelay);
        self->mAcceptTimer.async_wait([self](auto aCancelled) {
          if (!aCancelled) {
            self->Accept();
          }
        });
        return;
      }
      if (self->MakeRoomForConnection()) {
        boost::system::error_code ignored;
        aSocket.set_option(Tcp::no_delay(true), ignored);
        std::make_shared<Session>(self, std::move(aSocket))->ReadNext();
      }
      self->Accept();
    });
}

} // namespace

class Server::Impl : public Listener
{
public:
  using Listener::Listener;
};

Server::Server(asio::io_context& aLoop, ServerLimits aLimits, Handler aHandler)
  : mImpl(std::make_shared<Impl>(aLoop, aLimits, std::move(aHandler)))
{
}

Server::~Server()
{
  boost::system::error_code ignored;
  mImpl->mAcceptor.close(ignored);
}

base::Expected<void> Server::Listen(const std::string& aAddress)
{
  return mImpl->Listen(aAddress);
}

int Server::Port() const
{
  return mImpl->mAcceptor.local_endpoint().port();
}

void Server::SetLimits(ServerLimits aLimits)
{
  mImpl->mLimits = aLimits;
}

void Server::CloseAfterResponses()
{
  mImpl->mCloseAfterResponses = true;
}

int Server::OpenRequests() const
{
  return mImpl->mOpenRequests;
}

const ServerCounters& Server::Counters() const
{
  return mImpl->mCounters;
}

} // namespace flamingoloom::http
