#include "flamingoloom/http/server.h"

#include <cstdlib>
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

class Server::Impl : public std::enable_shared_from_this<Server::Impl>
{
public:
  Impl(asio::io_context& aLoop, ServerLimits aLimits, Handler aHandler)
    : mLoop(aLoop)
    , mAcceptor(aLoop)
    , mAcceptTimer(aLoop)
    , mLimits(aLimits)
    , mHandler(std::move(aHandler))
  {
  }

  base::Expected<void> Listen(const std::string& aAddress);
  void Accept();

  asio::io_context& mLoop;
  Tcp::acceptor mAcceptor;
  asio::steady_timer mAcceptTimer;
  ServerLimits mLimits;
  Handler mHandler;
  bool mCloseAfterResponses = false;
  int mOpenRequests = 0;
};

namespace {

// One accepted connection. It owns itself through its pending operations.
template <class Owner>
struct Session : std::enable_shared_from_this<Session<Owner>>
{
  Session(std::shared_ptr<Owner> aOwner, Tcp::socket aSocket)
    : mOwner(std::move(aOwner))
    , mStream(std::move(aSocket))
  {
  }

  void ReadNext()
  {
    auto self = this->shared_from_this();
    mParser.emplace();
    mParser->header_limit(
      static_cast<std::uint32_t>(mOwner->mLimits.mMaxHeaderBytes));
    mParser->body_limit(mOwner->mLimits.mMaxBodyBytes);
    if (mBuffer.size() > 0) {
      ReadRequest();
      return;
    }
    mStream.expires_after(mOwner->mLimits.mIdleTimeout);
    mStream.async_read_some(mBuffer.prepare(kReadBytes),
                            [self](auto aError, std::size_t aBytes) {
                              if (aError) {
                                self->Close();
                                return;
                              }
                              self->mBuffer.commit(aBytes);
                              self->ReadRequest();
                            });
  }

  void ReadRequest()
  {
    auto self = this->shared_from_this();
    mStream.expires_after(mOwner->mLimits.mRequestTimeout);
    beast::http::async_read(
      mStream, mBuffer, *mParser, [self](auto aError, std::size_t) {
        self->OnRequest(aError);
      });
  }

  void OnRequest(const boost::system::error_code& aError)
  {
    if (aError == beast::http::error::header_limit) {
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
      Dispatch();
    }
  }

  void Dispatch()
  {
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
    auto self = this->shared_from_this();
    mOwner->mHandler(request, [self](Response aResponse) {
      self->Write(std::move(aResponse), true);
    });
  }

  // Responds with an error status to a request that could not be read, and
  // closes the connection.
  void RejectRequest(int aStatus)
  {
    mKeepAlive = false;
    Response response;
    response.mStatus = aStatus;
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
    auto self = this->shared_from_this();
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

  // Most requests of callers fit into one read of this size.
  static constexpr std::size_t kReadBytes = 4096;

  std::shared_ptr<Owner> mOwner;
  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
  std::optional<beast::http::request_parser<beast::http::string_body>> mParser;
  beast::http::response<beast::http::string_body> mResponse;
  bool mKeepAlive = true;
};

} // namespace

base::Expected<void> Server::Impl::Listen(const std::string& aAddress)
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

void Server::Impl::Accept()
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
      boost::system::error_code ignored;
      aSocket.set_option(Tcp::no_delay(true), ignored);
      std::make_shared<Session<Impl>>(self, std::move(aSocket))->ReadNext();
      self->Accept();
    });
}

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

} // namespace flamingoloom::http
