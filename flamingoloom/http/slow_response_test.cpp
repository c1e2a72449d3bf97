#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "flamingoloom/event_loop/asio_loop.h"
#include "flamingoloom/http/client.h"

namespace flamingoloom::http {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr auto kPieceInterval = milliseconds(100);
constexpr auto kTimeout = milliseconds(250);
constexpr std::size_t kPieceBytes = 100;

// Responds to one request with a body that it sends in pieces. It sends
// aPiecesSent of the aPieces that its header announces.
class SlowServer
{
public:
  SlowServer(asio::io_context& aLoop, int aPieces, int aPiecesSent)
    : mAcceptor(aLoop, { asio::ip::address_v4::loopback(), 0 })
    , mSocket(aLoop)
    , mTimer(aLoop)
    , mPiecesLeft(aPiecesSent)
  {
    mHeader = "HTTP/1.1 200 OK\r\nContent-Length: " +
              std::to_string(static_cast<std::size_t>(aPieces) * kPieceBytes) +
              "\r\n\r\n";
    mAcceptor.async_accept(mSocket, [this](auto aError) {
      REQUIRE(!aError);
      asio::async_read_until(
        mSocket, mRequest, "\r\n\r\n", [this](auto aReadError, std::size_t) {
          REQUIRE(!aReadError);
          asio::write(mSocket, asio::buffer(mHeader));
          SendPiece();
        });
    });
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  void SendPiece()
  {
    if (mPiecesLeft-- == 0) {
      return;
    }
    mTimer.expires_after(kPieceInterval);
    mTimer.async_wait([this](auto aError) {
      if (!aError) {
        // The client may have closed the connection.
        boost::system::error_code ignored;
        asio::write(mSocket, asio::buffer(mPiece), ignored);
        SendPiece();
      }
    });
  }

  asio::ip::tcp::acceptor mAcceptor;
  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  asio::streambuf mRequest;
  std::string mHeader;
  const std::string mPiece = std::string(kPieceBytes, 'x');
  int mPiecesLeft;
};

base::Expected<Response> Call(asio::io_context& aLoop,
                              const SlowServer& aServer,
                              ClientOptions aOptions = {})
{
  event_loop::AsioLoop runtime(aLoop);
  Client client(aLoop, aOptions, [&runtime] { return runtime.Now(); });
  std::optional<base::Expected<Response>> result;
  client.Call(aServer.Address(),
              { "GET", "/", {}, "" },
              kTimeout,
              [&result](auto aResult) { result = std::move(aResult); });
  while (!result) {
    aLoop.run_one();
  }
  return *result;
}

// A client that gives it up and requests all of it again may never get it.
TEST_CASE("A response that keeps arriving may take longer than the timeout")
{
  asio::io_context loop;
  constexpr int kPieces = 8;
  const SlowServer server(loop, kPieces, kPieces);
  const auto response = Call(loop, server);
  REQUIRE(response);
  CHECK(response->mBody.size() == kPieces * kPieceBytes);
}

TEST_CASE("A response that stops arriving fails the call")
{
  asio::io_context loop;
  const SlowServer server(loop, 3, 1);
  const auto response = Call(loop, server);
  REQUIRE(!response);
  CHECK(response.error().mCode == base::ErrorCode::eOutcomeUnknown);
}

TEST_CASE("A response that arrives for longer than the limit fails the call")
{
  asio::io_context loop;
  constexpr int kPieces = 20;
  const SlowServer server(loop, kPieces, kPieces);
  ClientOptions options;
  options.mMaxTransferTime = 5 * kPieceInterval;
  const auto response = Call(loop, server, options);
  REQUIRE(!response);
  CHECK(response.error().mCode == base::ErrorCode::eOutcomeUnknown);
}

} // namespace
} // namespace flamingoloom::http
