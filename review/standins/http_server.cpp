#include "review/standins/http_server.h"

#include <optional>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

class HttpServer::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(std::shared_ptr<HttpServer> aServer, Tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mSocket(std::move(aSocket))
  {
  }

  void Read()
  {
    mParser.emplace();
    mParser->body_limit(std::size_t{ 16 } * 1024 * 1024);
    beast::http::async_read(
      mSocket,
      mBuffer,
      *mParser,
      [self = shared_from_this()](auto aError, std::size_t) {
        if (aError) {
          self->Close(false);
        } else {
          self->Dispatch();
        }
      });
  }

  void Close(bool aReset)
  {
    boost::system::error_code ignored;
    if (aReset && mSocket.is_open()) {
      mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    mSocket.close(ignored);
    mServer->mSessions.erase(shared_from_this());
  }

private:
  void Dispatch()
  {
    auto message = mParser->release();
    Request request;
    request.mMethod = std::string(message.method_string());
    request.mTarget = std::string(message.target());
    for (const auto& field : message) {
      request.mHeaders.emplace_back(std::string(field.name_string()),
                                    std::string(field.value()));
    }
    request.mBody = std::move(message.body());
    mServer->mHandler(request,
                      [self = shared_from_this()](const Response& aResponse) {
                        self->Write(aResponse);
                      });
  }

  void Write(const Response& aResponse)
  {
    if (!mSocket.is_open()) {
      return;
    }
    mResponse = {};
    mResponse.version(11);
    mResponse.result(static_cast<unsigned>(aResponse.mStatus));
    mResponse.set(beast::http::field::content_type, "application/json");
    mResponse.body() = aResponse.mBody;
    mResponse.keep_alive(true);
    mResponse.prepare_payload();
    beast::http::async_write(
      mSocket,
      mResponse,
      [self = shared_from_this()](auto aError, std::size_t) {
        if (aError) {
          self->Close(false);
        } else {
          self->Read();
        }
      });
  }

  std::shared_ptr<HttpServer> mServer;
  Tcp::socket mSocket;
  beast::flat_buffer mBuffer;
  std::optional<beast::http::request_parser<beast::http::string_body>> mParser;
  beast::http::response<beast::http::string_body> mResponse;
};

HttpServer::HttpServer(asio::io_context& aLoop, Handler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
{
}

void HttpServer::Start()
{
  mAcceptor = std::make_unique<Tcp::acceptor>(mLoop);
  mAcceptor->open(Tcp::v4());
  mAcceptor->set_option(Tcp::acceptor::reuse_address(true));
  mAcceptor->bind({ asio::ip::make_address("127.0.0.1"),
                    static_cast<unsigned short>(mPort) });
  mAcceptor->listen();
  mPort = mAcceptor->local_endpoint().port();
  Accept();
}

void HttpServer::Accept()
{
  mAcceptor->async_accept(
    [self = shared_from_this()](auto aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      boost::system::error_code ignored;
      aSocket.set_option(Tcp::no_delay(true), ignored);
      auto session = std::make_shared<Session>(self, std::move(aSocket));
      self->mSessions.insert(session);
      session->Read();
      self->Accept();
    });
}

void HttpServer::Crash()
{
  boost::system::error_code ignored;
  mAcceptor->close(ignored);
  const auto sessions = mSessions;
  for (const auto& session : sessions) {
    session->Close(true);
  }
}

} // namespace review
