#include "testing/real_cluster/store_links.h"

#include <array>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace flamingoloom::testing::real_cluster {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using Tcp = asio::ip::tcp;

// A store that takes bytes, and a connection to it by each of two links.
struct LinkedStore
{
  struct Client
  {
    Client(LinkedStore& aStore, const std::string& aRegion)
      : mSocket(aStore.mRuntime.Loop())
      , mAtStore(aStore.mRuntime.Loop())
    {
      const auto address = aStore.mLinks.Add(aRegion);
      const auto port = std::stoi(address.substr(address.find(':') + 1));
      mSocket.connect({ asio::ip::address_v4::loopback(),
                        static_cast<unsigned short>(port) });
      bool accepted = false;
      aStore.mAcceptor.async_accept(mAtStore, [&](auto) { accepted = true; });
      while (!accepted) {
        aStore.mRuntime.Loop().run_one();
      }
    }

    Tcp::socket mSocket;
    Tcp::socket mAtStore;
  };

  // How long a byte of aClient takes to the store, in ms.
  double TimeToStore(Client& aClient)
  {
    const double sentMs = mRuntime.NowMs();
    std::array<char, 1> byte{ 'a' };
    asio::write(aClient.mSocket, asio::buffer(byte));
    bool arrived = false;
    aClient.mAtStore.async_read_some(
      asio::buffer(byte), [&](auto, std::size_t) { arrived = true; });
    while (!arrived) {
      mRuntime.Loop().run_one();
    }
    return mRuntime.NowMs() - sentMs;
  }

  review::Runtime mRuntime{ "/dev/null" };
  Tcp::acceptor mAcceptor{ mRuntime.Loop(),
                           { asio::ip::address_v4::loopback(), 0 } };
  StoreLinks mLinks{ mRuntime,
                     "127.0.0.1:" +
                       std::to_string(mAcceptor.local_endpoint().port()) };
  Client mNear{ *this, "north" };
  Client mFar{ *this, "south" };
};

TEST_CASE("links to another region than the store's are slower")
{
  LinkedStore store;
  CHECK(store.TimeToStore(store.mNear) < 15);
  CHECK(store.TimeToStore(store.mFar) >= 20);
}

TEST_CASE("cuts of a link that overlap last until the latest end")
{
  LinkedStore store;
  store.mLinks.Cut(0, { true, true }, 300);
  store.mLinks.Cut(0, { true, false }, 100);
  const double cutAtMs = store.mRuntime.NowMs();
  CHECK(store.TimeToStore(store.mNear) >= 290);
  CHECK(store.TimeToStore(store.mNear) < 100);
  CHECK(store.mLinks.WasCutSince(0, cutAtMs));
  CHECK_FALSE(store.mLinks.WasCutSince(0, cutAtMs + 400));
  CHECK_FALSE(store.mLinks.WasCutSince(1, cutAtMs));
}

TEST_CASE("after a delay of all links the usual delays are back")
{
  LinkedStore store;
  store.mLinks.DelayAll(200ms, 250);
  CHECK(store.TimeToStore(store.mNear) >= 200);
  store.mRuntime.Loop().run_for(100ms);
  CHECK(store.TimeToStore(store.mNear) < 100);
  const double farMs = store.TimeToStore(store.mFar);
  CHECK(farMs >= 20);
  CHECK(farMs < 150);
}

} // namespace
} // namespace flamingoloom::testing::real_cluster
