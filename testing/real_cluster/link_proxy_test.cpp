#include "testing/real_cluster/link_proxy.h"

#include <functional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace flamingoloom::testing::real_cluster {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Tcp = asio::ip::tcp;

// One end of a connection, which collects what arrives.
struct End
{
  explicit End(asio::io_context& aLoop)
    : mSocket(aLoop)
  {
  }

  void Send(const std::string& aBytes)
  {
    auto bytes = std::make_shared<std::string>(aBytes);
    asio::async_write(mSocket,
                      asio::buffer(*bytes),
                      [this, bytes](auto aError, std::size_t aSent) {
                        mSent += aError ? 0 : aSent;
                      });
  }

  void Receive()
  {
    mSocket.async_read_some(asio::buffer(mBuffer),
                            [this](auto aError, std::size_t aBytes) {
                              mReceived.append(mBuffer.data(), aBytes);
                              mReceivedAt = Clock::now();
                              mError = aError;
                              if (!aError) {
                                Receive();
                              }
                            });
  }

  Tcp::socket mSocket;
  std::array<char, 65536> mBuffer{};
  std::string mReceived;
  Clock::time_point mReceivedAt;
  boost::system::error_code mError;
  std::size_t mSent = 0;
};

// A client that is connected to a server through a link.
struct Linked
{
  Linked()
  {
    const auto port = mLink.Address().substr(mLink.Address().find(':') + 1);
    mClient.mSocket.connect({ asio::ip::address_v4::loopback(),
                              static_cast<unsigned short>(std::stoi(port)) });
    mAcceptor.async_accept(mServer.mSocket,
                           [this](auto aError) { mConnected = !aError; });
    Await([&] { return mConnected; });
  }

  // Runs the loop until aDone or for aAtMost, and returns whether it is done.
  bool Await(const std::function<bool()>& aDone,
             std::chrono::milliseconds aAtMost = 5s)
  {
    const auto end = Clock::now() + aAtMost;
    while (!aDone() && Clock::now() < end) {
      mLoop.run_for(1ms);
      mLoop.restart();
    }
    return aDone();
  }

  asio::io_context mLoop;
  Tcp::acceptor mAcceptor{ mLoop, { asio::ip::address_v4::loopback(), 0 } };
  LinkProxy mLink{ mLoop,
                   "127.0.0.1:" +
                     std::to_string(mAcceptor.local_endpoint().port()) };
  End mClient{ mLoop };
  End mServer{ mLoop };
  bool mConnected = false;
};

std::string Pattern(std::size_t aBytes)
{
  std::string pattern(aBytes, ' ');
  for (std::size_t i = 0; i < aBytes; ++i) {
    pattern[i] = static_cast<char>('a' + i * i % 23);
  }
  return pattern;
}

TEST_CASE("a link delays each direction by its own time")
{
  Linked linked;
  linked.mLink.SetDelays({ 150ms, 0ms });
  linked.mServer.Receive();
  linked.mClient.Receive();
  const auto sentAt = Clock::now();
  linked.mClient.Send("question");
  REQUIRE(linked.Await([&] { return linked.mServer.mReceived.size() == 8; }));
  CHECK(linked.mServer.mReceivedAt - sentAt >= 150ms);
  CHECK(linked.mServer.mReceivedAt - sentAt < 300ms);
  const auto answeredAt = Clock::now();
  linked.mServer.Send("answer");
  REQUIRE(linked.Await([&] { return linked.mClient.mReceived == "answer"; }));
  CHECK(linked.mClient.mReceivedAt - answeredAt < 100ms);
}

TEST_CASE("bytes keep their order when a delay gets shorter")
{
  Linked linked;
  linked.mServer.Receive();
  linked.mLink.SetDelays({ 200ms, 200ms });
  linked.mClient.Send("first ");
  CHECK_FALSE(
    linked.Await([&] { return !linked.mServer.mReceived.empty(); }, 50ms));
  linked.mLink.SetDelays({});
  linked.mClient.Send("second");
  REQUIRE(linked.Await([&] { return linked.mServer.mReceived.size() == 12; }));
  CHECK(linked.mServer.mReceived == "first second");
}

TEST_CASE("much more than a link buffers arrives whole, and its end too")
{
  Linked linked;
  linked.mLink.SetDelays({ 5ms, 5ms });
  linked.mServer.Receive();
  const auto bytes = Pattern(4 * LinkProxy::kMaxBufferedBytes + 17);
  linked.mClient.Send(bytes);
  REQUIRE(linked.Await(
    [&] { return linked.mServer.mReceived.size() == bytes.size(); }));
  CHECK(linked.mServer.mReceived == bytes);
  linked.mClient.mSocket.shutdown(Tcp::socket::shutdown_send);
  CHECK(
    linked.Await([&] { return linked.mServer.mError == asio::error::eof; }));
  linked.mClient.Receive();
  linked.mServer.Send("still");
  CHECK(linked.Await([&] { return linked.mClient.mReceived == "still"; }));
  linked.mServer.mSocket.shutdown(Tcp::socket::shutdown_send);
  CHECK(linked.Await([&] { return linked.mLink.Connections() == 0; }));
}

TEST_CASE("a receiver that doesn't read stops the sender")
{
  Linked linked;
  const auto bytes = Pattern(64 * LinkProxy::kMaxBufferedBytes);
  linked.mClient.Send(bytes);
  CHECK_FALSE(
    linked.Await([&] { return linked.mClient.mSent == bytes.size(); }, 500ms));
  linked.mServer.Receive();
  REQUIRE(linked.Await(
    [&] { return linked.mServer.mReceived.size() == bytes.size(); }));
  CHECK(linked.mServer.mReceived == bytes);
}

TEST_CASE("a link held one way delivers the other way, and all once restored")
{
  Linked linked;
  linked.mServer.Receive();
  linked.mClient.Receive();
  linked.mLink.SetHolds({ .mToTarget = true });
  linked.mClient.Send("held");
  linked.mServer.Send("free");
  CHECK(linked.Await([&] { return linked.mClient.mReceived == "free"; }));
  CHECK_FALSE(
    linked.Await([&] { return !linked.mServer.mReceived.empty(); }, 100ms));
  linked.mLink.SetHolds({ .mToClient = true });
  CHECK(linked.Await([&] { return linked.mServer.mReceived == "held"; }));
  linked.mServer.Send(" later");
  CHECK_FALSE(
    linked.Await([&] { return linked.mClient.mReceived != "free"; }, 100ms));
  linked.mLink.SetHolds({});
  CHECK(linked.Await([&] { return linked.mClient.mReceived == "free later"; }));
}

TEST_CASE("a reset reaches both ends, also while bytes are held")
{
  Linked linked;
  linked.mServer.Receive();
  linked.mClient.Receive();
  linked.mLink.SetHolds({ true, true });
  linked.mClient.Send("lost");
  linked.Await([] { return false; }, 20ms);
  linked.mLink.ResetConnections();
  CHECK(linked.Await([&] {
    return linked.mServer.mError == asio::error::connection_reset &&
           linked.mClient.mError == asio::error::connection_reset;
  }));
  CHECK(linked.mServer.mReceived.empty());
  CHECK(linked.mLink.Connections() == 0);
}

TEST_CASE("a link to an unreachable target resets connections")
{
  asio::io_context loop;
  Tcp::acceptor closed(loop, { asio::ip::address_v4::loopback(), 0 });
  const auto port = closed.local_endpoint().port();
  closed.close();
  LinkProxy link(loop, "127.0.0.1:" + std::to_string(port));
  End client(loop);
  const auto linkPort = link.Address().substr(link.Address().find(':') + 1);
  client.mSocket.connect({ asio::ip::address_v4::loopback(),
                           static_cast<unsigned short>(std::stoi(linkPort)) });
  client.Receive();
  loop.run_for(500ms);
  CHECK(client.mError == asio::error::connection_reset);
}

} // namespace
} // namespace flamingoloom::testing::real_cluster
