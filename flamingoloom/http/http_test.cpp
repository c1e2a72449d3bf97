#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "flamingoloom/event_loop/asio_loop.h"
#include "flamingoloom/http/client.h"
#include "flamingoloom/http/server.h"

namespace flamingoloom::http {
namespace {

using std::chrono::milliseconds;

struct Fixture
{
  explicit Fixture(Server::Handler aHandler, ServerLimits aLimits = {})
    : mServer(mLoop, aLimits, std::move(aHandler))
    , mClient(mLoop, {}, [this] { return mRuntime.Now(); })
  {
    REQUIRE(mServer.Listen("127.0.0.1:0"));
    mPeer = "127.0.0.1:" + std::to_string(mServer.Port());
  }

  base::Expected<Response> Call(Request aRequest,
                                base::Duration aTimeout = milliseconds(500))
  {
    std::optional<base::Expected<Response>> result;
    mClient.Call(mPeer, std::move(aRequest), aTimeout, [&](auto aResult) {
      result = std::move(aResult);
    });
    while (!result) {
      mLoop.run_one();
    }
    return *result;
  }

  boost::asio::io_context mLoop;
  event_loop::AsioLoop mRuntime{ mLoop };
  Server mServer;
  Client mClient;
  std::string mPeer;
};

// Guards against a client that opens a new connection for each call, which adds
// a TCP handshake to its latency.
TEST_CASE("Consecutive calls reuse one connection")
{
  Fixture fixture([](const Request& aRequest, Server::Responder aDone) {
    aDone({ 200, {}, aRequest.mBody + aRequest.mTarget });
  });
  for (int i = 0; i < 3; ++i) {
    const auto response = fixture.Call({ "POST", "/x", {}, "body" });
    REQUIRE(response);
    CHECK(response->mBody == "body/x");
  }
  CHECK(fixture.mClient.Counters().mConnectionAttempts == 1);
}

// Guards against a call that timed out after its request was sent being
// reported as one without effect: the caller would repeat work that was already
// done.
TEST_CASE("A timeout after sending the request reports an unknown outcome")
{
  std::vector<Server::Responder> pending;
  Fixture fixture([&](const Request&, Server::Responder aDone) {
    pending.push_back(std::move(aDone));
  });
  const auto response = fixture.Call({}, milliseconds(50));
  REQUIRE(!response);
  CHECK(response.error().mCode == base::ErrorCode::eOutcomeUnknown);
}

// Guards against an order that a process sends long after it was due: it stood
// still while it connected, and another process acts in its place by now.
TEST_CASE("A request whose time has passed is not sent")
{
  int requests = 0;
  Fixture fixture([&](const Request&, Server::Responder aDone) {
    ++requests;
    aDone({ 200 });
  });
  base::Duration stoodStill{ 0 };
  Client client(
    fixture.mLoop, {}, [&] { return fixture.mRuntime.Now() + stoodStill; });
  std::optional<base::Expected<Response>> result;
  client.Call(fixture.mPeer, {}, milliseconds(500), [&](auto aResult) {
    result = std::move(aResult);
  });
  // The connection is not open yet.
  stoodStill = milliseconds(600);
  while (!result) {
    fixture.mLoop.run_one();
  }
  REQUIRE(!*result);
  CHECK(result->error().mCode == base::ErrorCode::eUnavailable);
  CHECK(client.Counters().mOpenConnections == 0);
  CHECK(requests == 0);
}

// Guards against an order that is sent after its sender has lost the right to
// give it, while it waited for a connection.
TEST_CASE("A request that may not be sent any more is not sent")
{
  int requests = 0;
  Fixture fixture([&](const Request&, Server::Responder aDone) {
    ++requests;
    aDone({ 200 });
  });
  // The last call finds a connection and needs not wait.
  for (const bool maySend : { false, true, false }) {
    bool asked = false;
    const bool waits = requests == 0;
    std::optional<base::Expected<Response>> result;
    fixture.mClient.Call(
      fixture.mPeer,
      {},
      milliseconds(500),
      [&](auto aResult) { result = std::move(aResult); },
      [&] {
        asked = true;
        return maySend;
      });
    CHECK(asked != waits);
    CHECK_FALSE(result);
    while (!result) {
      fixture.mLoop.run_one();
    }
    CHECK(asked);
    CHECK(result->has_value() == maySend);
    CHECK(requests == (waits && !maySend ? 0 : 1));
  }
}

// Guards against an order for a process that is executed by the one which has
// taken its place at the same address.
TEST_CASE("A call on an open connection reaches no process that began later")
{
  boost::asio::io_context loop;
  event_loop::AsioLoop runtime(loop);
  int requests = 0;
  const Server::Handler handler = [&](const Request&, Server::Responder aDone) {
    ++requests;
    aDone({ 200 });
  };
  ServerLimits limits;
  limits.mIdleTimeout = milliseconds(100);
  auto server = std::make_unique<Server>(loop, limits, handler);
  REQUIRE(server->Listen("127.0.0.1:0"));
  const auto peer = "127.0.0.1:" + std::to_string(server->Port());
  Client client(loop, {}, [&] { return runtime.Now(); });
  std::optional<base::Expected<Response>> result;
  const auto await = [&] {
    while (!result) {
      loop.run_one();
    }
    return *std::exchange(result, std::nullopt);
  };
  const auto callOnOpen = [&](base::Time aOpenedBy) {
    client.CallOnOpen(
      peer, {}, milliseconds(500), aOpenedBy, [&](auto aResult) {
        result = std::move(aResult);
      });
    return await();
  };
  const auto before = runtime.Now();
  CHECK(!callOnOpen(before));
  client.Call(peer, {}, milliseconds(500), [&](auto aResult) {
    result = std::move(aResult);
  });
  const auto first = await();
  REQUIRE(first);
  CHECK(first->mRequestSentAt > before);
  CHECK(client.HasOpen(peer, first->mRequestSentAt));
  CHECK(callOnOpen(first->mRequestSentAt));
  const auto tooOld = callOnOpen(before);
  REQUIRE(!tooOld);
  CHECK(tooOld.error().mCode == base::ErrorCode::eUnavailable);
  CHECK(requests == 2);
  CHECK(client.Counters().mConnectionAttempts == 1);
  // It ends, and its connection with it.
  server.reset();
  loop.run_for(3 * limits.mIdleTimeout);
  loop.restart();
  server = std::make_unique<Server>(loop, ServerLimits{}, handler);
  REQUIRE(server->Listen(peer));
  CHECK(!callOnOpen(first->mRequestSentAt));
  CHECK(requests == 2);
}

// Guards against a refused connection being reported as an unknown outcome: the
// caller would not retry although the request was never sent.
TEST_CASE("A refused connection is reported as unavailable")
{
  Fixture fixture([](const Request&, Server::Responder aDone) { aDone({}); });
  fixture.mPeer = "127.0.0.1:1";
  const auto response = fixture.Call({});
  REQUIRE(!response);
  CHECK(response.error().mCode == base::ErrorCode::eUnavailable);
}

// Guards against a server that reads bodies of any size into memory, or closes
// the connection on a large body without a response.
TEST_CASE("A body over the limit is rejected with 413")
{
  ServerLimits limits;
  limits.mMaxBodyBytes = 10;
  Fixture fixture([](const Request&, Server::Responder aDone) { aDone({}); },
                  limits);
  const auto response =
    fixture.Call({ "POST", "/", {}, std::string(100, 'x') });
  REQUIRE(response);
  CHECK(response->mStatus == 413);
}

// Guards against input that is not HTTP reaching the handler.
TEST_CASE("Input that is not an HTTP request is rejected with 400")
{
  bool handled = false;
  Fixture fixture([&](const Request&, Server::Responder aDone) {
    handled = true;
    aDone({});
  });
  boost::asio::ip::tcp::socket socket(fixture.mLoop);
  socket.connect({ boost::asio::ip::make_address("127.0.0.1"),
                   static_cast<unsigned short>(fixture.mServer.Port()) });
  boost::asio::write(socket, boost::asio::buffer("no request\r\n\r\n", 14));
  std::string answer(12, ' ');
  bool done = false;
  socket.async_receive(boost::asio::buffer(answer),
                       [&](auto, std::size_t) { done = true; });
  while (!done) {
    fixture.mLoop.run_one();
  }
  CHECK(answer == "HTTP/1.1 400");
  CHECK(!handled);
}

} // namespace
} // namespace flamingoloom::http
