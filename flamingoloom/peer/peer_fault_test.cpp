// Tests with peers that fail, disappear or send invalid data.
#include <doctest/doctest.h>

#include <cstdint>
#include <random>

#include <capnp/any.h>
#include <capnp/ez-rpc.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flamingoloom/peer/instance.capnp.h"
#include "flamingoloom/peer/socket_address.h"
#include "flamingoloom/peer/test_support.h"

namespace flamingoloom::peer::test {
namespace {

using base::ErrorCode;
using base::Expected;
using platform::Done;
using platform::Nothing;

constexpr auto kShortTimeout = std::chrono::milliseconds(60);

PeerSettings ShortTimeoutSettings(std::string aListen = "127.0.0.1:0")
{
  PeerSettings settings;
  settings.mListen = std::move(aListen);
  settings.mCallTimeout = kShortTimeout;
  return settings;
}

// Returns a handler that responds at once to configuration announcements and
// status queries.
PeerHandler MakeRespondingHandler()
{
  PeerHandler handler;
  handler.mAnnounceConfig = [](platform::ConfigNotice, Done<Nothing> aDone) {
    aDone(Nothing{});
  };
  handler.mQueryStatus = [](std::string aTopic, Done<std::string> aDone) {
    aDone(std::move(aTopic));
  };
  return handler;
}

Expected<Nothing> Announce(PeerNode& aNode, const platform::PeerAddress& aPeer)
{
  AwaitedResult<Nothing> response;
  aNode.AnnounceConfig(aPeer, { 1 }, response.AsDone());
  return response.Value();
}

Expected<std::string> Query(PeerNode& aNode,
                            const platform::PeerAddress& aPeer,
                            const std::string& aTopic)
{
  AwaitedResult<std::string> response;
  aNode.QueryStatus(aPeer, aTopic, response.AsDone());
  return response.Value();
}

// A raw TCP connection to a node.
class RawConnection
{
public:
  explicit RawConnection(const std::string& aAddress)
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    auto address = *internal::ParseSocketAddress(aAddress);
    REQUIRE(connect(mSocket,
                    reinterpret_cast<sockaddr*>(&address.mStorage),
                    address.mLength) == 0);
  }
  ~RawConnection() { close(mSocket); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(const std::string& aBytes)
  {
    (void)send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  // Shuts down the sending side and waits until the node has closed its side.
  void Finish()
  {
    shutdown(mSocket, SHUT_WR);
    ReadToEnd();
  }

  void ReadToEnd()
  {
    char buffer[4096];
    while (recv(mSocket, buffer, sizeof(buffer), 0) > 0) {
    }
  }

  // Makes the destructor reset the connection instead of closing it in order.
  void Reset()
  {
    linger option{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  }

private:
  int mSocket;
};

std::string RandomBytes(std::mt19937_64& aRandom, std::size_t aSize)
{
  std::string bytes(aSize, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(aRandom());
  }
  return bytes;
}

// Returns aBody, a multiple of 8 bytes, framed as a message of one segment.
std::string FrameMessage(const std::string& aBody)
{
  std::uint32_t words = static_cast<std::uint32_t>(aBody.size() / 8);
  std::string frame(8, '\0');
  for (int i = 0; i < 4; ++i) {
    frame[4 + i] = static_cast<char>(words >> (8 * i));
  }
  return frame + aBody;
}

} // namespace

// Guards against an unknown outcome for a call that never left this instance.
TEST_CASE("a peer that was not reached is unavailable")
{
  ActionThread actions;
  auto node = StartNode(actions, {}, ShortTimeoutSettings());
  std::string address;
  {
    auto gone = StartNode(actions);
    address = gone->Address();
  }
  CHECK(Announce(*node, PeerAt(address)).error().mCode ==
        ErrorCode::eUnavailable);
  CHECK(Announce(*node, PeerAt("peer.example:1")).error().mCode ==
        ErrorCode::eUnavailable);
  CHECK(Announce(*node, PeerAt("")).error().mCode == ErrorCode::eUnavailable);
  CHECK(node->Counters().mPeers.at(base::InstanceId("peer-1")).mFailures == 3);
}

// Guards against reporting that a call had no effect when the peer may have
// acted on it before it exited, and against a connection that is not reopened
// after the peer has restarted.
TEST_CASE("a peer that exits during a call and restarts")
{
  ActionThread actions;
  ActionThread peerActions;
  auto node = StartNode(actions);
  std::promise<void> arrived;
  Done<Nothing> held;
  PeerHandler handler;
  handler.mAnnounceConfig = [&](platform::ConfigNotice, Done<Nothing> aDone) {
    held = std::move(aDone);
    arrived.set_value();
  };
  auto peer = StartNode(peerActions, handler);
  platform::PeerAddress address = PeerOf(*peer);

  AwaitedResult<Nothing> interrupted;
  node->AnnounceConfig(address, { 1 }, interrupted.AsDone());
  arrived.get_future().wait();
  peer.reset();
  CHECK(interrupted.Value().error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(Announce(*node, address).error().mCode == ErrorCode::eUnavailable);

  PeerSettings settings;
  settings.mListen = address.mAddress;
  peer = StartNode(peerActions, MakeRespondingHandler(), settings);
  CHECK(Announce(*node, address));
  // A response after the node was destroyed must be ignored.
  held(Nothing{});
}

// Guards against calls that never end when the handler of the peer does not
// respond, and against further calls on a connection that may be stalled.
TEST_CASE("a call without a response ends after the timeout")
{
  ActionThread actions;
  std::vector<Done<std::string>> held;
  PeerHandler handler = MakeRespondingHandler();
  handler.mQueryStatus = [&](std::string, Done<std::string> aDone) {
    held.push_back(std::move(aDone));
  };
  auto peer = StartNode(actions, handler);
  auto node = StartNode(actions, {}, ShortTimeoutSettings());

  auto start = std::chrono::steady_clock::now();
  Expected<std::string> response = Query(*node, PeerOf(*peer), "jobs");
  auto elapsed = std::chrono::steady_clock::now() - start;
  REQUIRE_FALSE(response);
  CHECK(response.error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(response.error().mMessage == "no response within 60 ms");
  CHECK(elapsed >= kShortTimeout);
  CHECK(node->Counters().mPeers.at(base::InstanceId("peer-1")).mTimeouts == 1);
  // The next call uses a new connection.
  CHECK(Announce(*node, PeerOf(*peer)));
  CHECK(peer->Counters().mServed.mConnections == 2);
}

// Guards against closing a connection on a timeout while other calls on it
// still wait for their responses.
TEST_CASE("a timeout of one call does not end the others on its connection")
{
  ActionThread actions;
  Done<platform::RequestProgress> held;
  PeerHandler handler;
  handler.mAwaitRequest = [&](platform::RequestNotice,
                              base::Duration,
                              Done<platform::RequestProgress> aDone) {
    held = std::move(aDone);
  };
  handler.mQueryStatus = [](std::string, Done<std::string> aDone) {
    static std::vector<Done<std::string>> sNeverCalled;
    sNeverCalled.push_back(std::move(aDone));
  };
  auto peer = StartNode(actions, handler);
  auto node = StartNode(actions, {}, ShortTimeoutSettings());

  platform::RequestNotice notice{ base::DataCentreId("dc"),
                                  { base::AccountId("a"), "k" },
                                  false };
  AwaitedResult<platform::RequestProgress> progress;
  node->AwaitRequest(
    PeerOf(*peer), notice, std::chrono::seconds(10), progress.AsDone());
  CHECK_FALSE(Query(*node, PeerOf(*peer), "jobs"));
  actions.Post([&]() { held(platform::RequestProgress{ true, "record" }); });
  CHECK(progress.Value() == platform::RequestProgress{ true, "record" });
}

// Guards against a long poll that times out before its own wait has passed.
TEST_CASE("AwaitRequest ends after its wait plus the timeout")
{
  ActionThread actions;
  std::vector<Done<platform::RequestProgress>> held;
  PeerHandler handler;
  handler.mAwaitRequest = [&](platform::RequestNotice,
                              base::Duration,
                              Done<platform::RequestProgress> aDone) {
    held.push_back(std::move(aDone));
  };
  auto peer = StartNode(actions, handler);
  auto node = StartNode(actions, {}, ShortTimeoutSettings());
  platform::RequestNotice notice{ base::DataCentreId("dc"),
                                  { base::AccountId("a"), "k" },
                                  false };
  auto start = std::chrono::steady_clock::now();
  AwaitedResult<platform::RequestProgress> progress;
  node->AwaitRequest(
    PeerOf(*peer), notice, std::chrono::milliseconds(100), progress.AsDone());
  CHECK(progress.Value().error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(std::chrono::steady_clock::now() - start >=
        std::chrono::milliseconds(160));
}

// Guards against callers that wait for the timeout when the handler has
// destroyed the callback without a response.
TEST_CASE("a call that the handler drops has an unknown outcome at once")
{
  ActionThread actions;
  PeerHandler handler;
  handler.mAnnounceConfig = [](platform::ConfigNotice, Done<Nothing>) {};
  auto node = StartNode(actions, handler);
  Expected<Nothing> response = Announce(*node, PeerOf(*node));
  CHECK(response.error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(response.error().mMessage == "the handler did not respond");
}

// Guards against handlers that are called with empty identifiers.
TEST_CASE("a message with missing fields is counted and rejected")
{
  ActionThread actions;
  auto node = StartNode(actions, MakeRespondingHandler());
  AwaitedResult<platform::DataCentreStatus> one;
  node->NotifyDataCentre(PeerOf(*node), { {}, 1 }, one.AsDone());
  Expected<platform::DataCentreStatus> response = one.Value();
  REQUIRE_FALSE(response);
  CHECK(response.error().mCode == ErrorCode::eInvalid);
  CHECK(response.error().mMessage == "dataCentre is empty");
  AwaitedResult<Nothing> two;
  node->AnnounceLeaving(PeerOf(*node), { "" }, two.AsDone());
  CHECK(two.Value().error().mMessage == "member is empty");
  CHECK(node->Counters().mUndecodable == 2);
}

// Guards against an exception that ends the event loop: the RPC layer accepts
// such a message, and only reading the field throws.
TEST_CASE("a message with a field of another type is counted and rejected")
{
  ActionThread actions;
  auto node = StartNode(actions, MakeRespondingHandler());
  capnp::EzRpcClient client(node->Address());
  auto request = client.getMain<wire::Instance>().announceLeavingRequest();
  capnp::AnyStruct::Builder fields =
    capnp::toAny(wire::Instance::AnnounceLeavingParams::Builder(request));
  fields.getPointerSection()[0].initAs<capnp::List<std::uint64_t>>(3);
  auto response = request.send().wait(client.getWaitScope());
  CHECK(std::string(response.getFailure().getCode().cStr()) == "invalid");
  CHECK(node->Counters().mUndecodable == 1);
  CHECK(Announce(*node, PeerOf(*node)));
}

// Guards against using an incomplete response, and against reporting that the
// call had no effect.
TEST_CASE("a response with missing fields has an unknown outcome")
{
  ActionThread actions;
  PeerHandler handler;
  handler.mRequestCredits = [](platform::CreditRequest,
                               Done<platform::CreditGrant> aDone) {
    platform::CreditGrant grant;
    grant.mCredits = { { { base::ServerId(""), "127.0.0.1:1" }, 1 } };
    aDone(grant);
  };
  auto node = StartNode(actions, handler);
  AwaitedResult<platform::CreditGrant> response;
  node->RequestCredits(PeerOf(*node),
                       { base::InstanceId("i"), base::DataCentreId("d"), 1 },
                       response.AsDone());
  CHECK(response.Value().error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(node->Counters().mUndecodable == 1);
}

// Guards against invalid data on one connection that stops the node or goes
// uncounted.
TEST_CASE("invalid data is counted and does not stop the node")
{
  ActionThread actions;
  auto node = StartNode(actions, MakeRespondingHandler());
  for (const std::string& bytes : { std::string("GET / HTTP/1.1\r\n\r\n"),
                                    std::string(64, '\0'),
                                    std::string(64, '\xff'),
                                    FrameMessage(std::string(64, '\x5a')) }) {
    RawConnection connection(node->Address());
    connection.Send(bytes);
    connection.ReadToEnd();
  }
  CHECK(node->Counters().mProtocolErrors == 4);
  CHECK(Announce(*node, PeerOf(*node)));
}

// Guards against crashes of the decoders and of the RPC state machine on input
// that the fixed samples of the test above do not cover.
TEST_CASE("random data does not stop the node")
{
  constexpr std::uint64_t kSeed = 20240611;
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  ActionThread actions;
  auto node = StartNode(actions, MakeRespondingHandler());
  for (int i = 0; i < 300; ++i) {
    RawConnection connection(node->Address());
    std::string bytes = RandomBytes(random, 8 * (random() % 40));
    connection.Send(random() % 2 == 0 ? bytes : FrameMessage(bytes));
    if (random() % 4 == 0) {
      connection.Reset();
    } else {
      connection.Finish();
    }
  }
  CHECK(node->Counters().mProtocolErrors > 0);
  CHECK(Announce(*node, PeerOf(*node)));
}

// Guards against an unknown outcome when the address belongs to a server of
// another protocol, to which no call was sent.
TEST_CASE("a server that responds with invalid data was not reached")
{
  ActionThread actions;
  auto node = StartNode(actions, {}, ShortTimeoutSettings());
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
  REQUIRE(listen(listener, 1) == 0);
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  std::thread server([listener]() {
    int connection = accept(listener, nullptr, nullptr);
    std::string response = "HTTP/1.1 400 Bad Request\r\n\r\n";
    (void)send(connection, response.data(), response.size(), MSG_NOSIGNAL);
    char buffer[256];
    while (recv(connection, buffer, sizeof(buffer), 0) > 0) {
    }
    close(connection);
  });
  Expected<Nothing> response = Announce(
    *node, PeerAt("127.0.0.1:" + std::to_string(ntohs(address.sin_port))));
  CHECK(response.error().mCode == ErrorCode::eUnavailable);
  server.join();
  close(listener);
  CHECK(node->Counters().mProtocolErrors == 1);
}

// Guards against an oversized message that makes the peer unreachable for later
// calls.
TEST_CASE("messages over the size limit close just their connection")
{
  ActionThread actions;
  PeerSettings settings = ShortTimeoutSettings();
  settings.mMaxMessageBytes = 4096;
  PeerHandler handler = MakeRespondingHandler();
  handler.mQueryStatus = [](std::string aTopic, Done<std::string> aDone) {
    aDone(aTopic == "large" ? std::string(8192, 'x') : "small");
  };
  auto node = StartNode(actions, handler, settings);
  CHECK(Query(*node, PeerOf(*node), "large").error().mCode ==
        ErrorCode::eOutcomeUnknown);
  CHECK(Query(*node, PeerOf(*node), std::string(8192, 'x')).error().mCode ==
        ErrorCode::eOutcomeUnknown);
  CHECK(Query(*node, PeerOf(*node), "small") == "small");
}

// Guards against an unknown outcome for a call whose connection the peer
// rejected.
TEST_CASE("a connection over the limit is rejected before a call is sent")
{
  ActionThread actions;
  PeerSettings settings;
  settings.mMaxServedConnections = 1;
  auto peer = StartNode(actions, MakeRespondingHandler(), settings);
  auto first = StartNode(actions);
  auto second = StartNode(actions);
  CHECK(Announce(*first, PeerOf(*peer)));
  CHECK(Announce(*second, PeerOf(*peer)).error().mCode ==
        ErrorCode::eUnavailable);
  CHECK(peer->Counters().mServed.mRejectedConnections == 1);
}

// Guards against an unbounded number of calls in progress when a peer stalls.
TEST_CASE("calls over the limit are rejected before they are sent")
{
  ActionThread actions;
  std::vector<Done<Nothing>> held;
  PeerHandler handler;
  handler.mAnnounceConfig = [&](platform::ConfigNotice, Done<Nothing> aDone) {
    held.push_back(std::move(aDone));
  };
  auto peer = StartNode(actions, handler);
  PeerSettings settings = ShortTimeoutSettings();
  settings.mMaxCalls = 1;
  auto node = StartNode(actions, {}, settings);
  AwaitedResult<Nothing> first;
  AwaitedResult<Nothing> second;
  node->AnnounceConfig(PeerOf(*peer), { 1 }, first.AsDone());
  node->AnnounceConfig(PeerOf(*peer), { 1 }, second.AsDone());
  CHECK(second.Value().error().mCode == ErrorCode::eUnavailable);
  CHECK(first.Value().error().mCode == ErrorCode::eOutcomeUnknown);
}

// Guards against a full table of connections in which a new peer never gets
// one.
TEST_CASE("the least recently used connection is closed for a new peer")
{
  ActionThread actions;
  auto one = StartNode(actions, MakeRespondingHandler());
  auto two = StartNode(actions, MakeRespondingHandler());
  PeerSettings settings;
  settings.mMaxPeers = 1;
  auto node = StartNode(actions, {}, settings);
  platform::PeerAddress first{ base::InstanceId("one"), one->Address() };
  platform::PeerAddress second{ base::InstanceId("two"), two->Address() };
  CHECK(Announce(*node, first));
  CHECK(Announce(*node, second));
  CHECK(Announce(*node, first));
  NodeCounters counters = node->Counters();
  CHECK(counters.mPeers.size() == 1);
  CHECK(counters.mPeers.begin()->second.mCalls +
          counters.mEvictedPeers.mCalls ==
        3);
}

// Guards against callbacks that are never called when a node is destroyed
// during a planned shutdown.
TEST_CASE("destroying a node ends each of its calls once")
{
  ActionThread actions;
  std::vector<Done<Nothing>> held;
  PeerHandler handler;
  handler.mAnnounceConfig = [&](platform::ConfigNotice, Done<Nothing> aDone) {
    held.push_back(std::move(aDone));
  };
  auto peer = StartNode(actions, handler);
  std::vector<AwaitedResult<Nothing>> responses(20);
  {
    auto node = StartNode(actions);
    for (AwaitedResult<Nothing>& response : responses) {
      node->AnnounceConfig(PeerOf(*peer), { 1 }, response.AsDone());
    }
  }
  for (AwaitedResult<Nothing>& response : responses) {
    CHECK_FALSE(response.Value());
  }
}

} // namespace flamingoloom::peer::test
