// Peers that fail, vanish or send bytes that are no message.
#include <doctest/doctest.h>

#include <cstdint>
#include <random>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "flamingoloom/peer/socket_address.h"
#include "flamingoloom/peer/test_support.h"

namespace flamingoloom::peer::test {
namespace {

using base::ErrorCode;
using base::Expected;
using platform::Done;
using platform::Nothing;

constexpr auto kShortTimeout = std::chrono::milliseconds(60);

PeerSettings ShortSettings(std::string aListen = "127.0.0.1:0")
{
  PeerSettings settings;
  settings.mListen = std::move(aListen);
  settings.mCallTimeout = kShortTimeout;
  return settings;
}

// Answers announcements and status queries at once.
PeerHandler PlainHandler()
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
  Awaited<Nothing> answer;
  aNode.AnnounceConfig(aPeer, { 1 }, answer.AsDone());
  return answer.Value();
}

Expected<std::string> Query(PeerNode& aNode,
                            const platform::PeerAddress& aPeer,
                            const std::string& aTopic)
{
  Awaited<std::string> answer;
  aNode.QueryStatus(aPeer, aTopic, answer.AsDone());
  return answer.Value();
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

  // Ends the sending side and waits until the node has closed its side.
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

  // Closes with a reset in place of an orderly end.
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

// A message of one segment of the given words.
std::string Framed(const std::string& aBody)
{
  std::uint32_t words = static_cast<std::uint32_t>(aBody.size() / 8);
  std::string frame(8, '\0');
  for (int i = 0; i < 4; ++i) {
    frame[4 + i] = static_cast<char>(words >> (8 * i));
  }
  return frame + aBody;
}

} // namespace

TEST_CASE("a peer that was not reached is unavailable")
{
  ActionThread actions;
  auto node = StartNode(actions, {}, ShortSettings());
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

// Guards against a call that is reported as "had no effect" although the peer
// may have acted on it, and against a connection that stays broken.
TEST_CASE("a peer that disappears during a call and comes back")
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

  Awaited<Nothing> interrupted;
  node->AnnounceConfig(address, { 1 }, interrupted.AsDone());
  arrived.get_future().wait();
  peer.reset();
  CHECK(interrupted.Value().error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(Announce(*node, address).error().mCode == ErrorCode::eUnavailable);

  PeerSettings settings;
  settings.mListen = address.mAddress;
  peer = StartNode(peerActions, PlainHandler(), settings);
  CHECK(Announce(*node, address));
  // An answer after the node has gone must be harmless.
  held(Nothing{});
}

TEST_CASE("a call without an answer ends after the time-out")
{
  ActionThread actions;
  std::vector<Done<std::string>> held;
  PeerHandler handler = PlainHandler();
  handler.mQueryStatus = [&](std::string, Done<std::string> aDone) {
    held.push_back(std::move(aDone));
  };
  auto peer = StartNode(actions, handler);
  auto node = StartNode(actions, {}, ShortSettings());

  auto start = std::chrono::steady_clock::now();
  Expected<std::string> answer = Query(*node, PeerOf(*peer), "jobs");
  auto taken = std::chrono::steady_clock::now() - start;
  REQUIRE_FALSE(answer);
  CHECK(answer.error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(answer.error().mMessage == "no answer within 60 ms");
  CHECK(taken >= kShortTimeout);
  CHECK(node->Counters().mPeers.at(base::InstanceId("peer-1")).mTimeouts == 1);
  // The next call works on a new connection.
  CHECK(Announce(*node, PeerOf(*peer)));
  CHECK(peer->Counters().mServed.mConnections == 2);
}

TEST_CASE("a time-out of one call does not end the others on its connection")
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
    static std::vector<Done<std::string>> sNeverAnswered;
    sNeverAnswered.push_back(std::move(aDone));
  };
  auto peer = StartNode(actions, handler);
  auto node = StartNode(actions, {}, ShortSettings());

  platform::RequestNotice notice{ base::DataCentreId("dc"),
                                  { base::AccountId("a"), "k" },
                                  false };
  Awaited<platform::RequestProgress> progress;
  node->AwaitRequest(
    PeerOf(*peer), notice, std::chrono::seconds(10), progress.AsDone());
  CHECK_FALSE(Query(*node, PeerOf(*peer), "jobs"));
  actions.Post([&]() { held(platform::RequestProgress{ true, "record" }); });
  CHECK(progress.Value() == platform::RequestProgress{ true, "record" });
}

TEST_CASE("AwaitRequest ends after its wait plus the time-out")
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
  auto node = StartNode(actions, {}, ShortSettings());
  platform::RequestNotice notice{ base::DataCentreId("dc"),
                                  { base::AccountId("a"), "k" },
                                  false };
  auto start = std::chrono::steady_clock::now();
  Awaited<platform::RequestProgress> progress;
  node->AwaitRequest(
    PeerOf(*peer), notice, std::chrono::milliseconds(100), progress.AsDone());
  CHECK(progress.Value().error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(std::chrono::steady_clock::now() - start >=
        std::chrono::milliseconds(160));
}

TEST_CASE("a call that the handler drops has an unknown outcome at once")
{
  ActionThread actions;
  PeerHandler handler;
  handler.mAnnounceConfig = [](platform::ConfigNotice, Done<Nothing>) {};
  auto node = StartNode(actions, handler);
  Expected<Nothing> answer = Announce(*node, PeerOf(*node));
  CHECK(answer.error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(answer.error().mMessage == "the handler gave no answer");
}

TEST_CASE("a message with missing or too large fields is counted and refused")
{
  ActionThread actions;
  auto node = StartNode(actions, PlainHandler());
  Awaited<platform::DataCentreStatus> one;
  node->NotifyDataCentre(PeerOf(*node), { {}, 1 }, one.AsDone());
  Expected<platform::DataCentreStatus> answer = one.Value();
  REQUIRE_FALSE(answer);
  CHECK(answer.error().mCode == ErrorCode::eInvalid);
  CHECK(answer.error().mMessage == "dataCentre is empty");
  Awaited<Nothing> two;
  node->AnnounceLeaving(PeerOf(*node), { "" }, two.AsDone());
  CHECK(two.Value().error().mMessage == "member is empty");
  CHECK(node->Counters().mUndecodable == 2);
}

TEST_CASE("an answer with missing fields has an unknown outcome")
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
  Awaited<platform::CreditGrant> answer;
  node->RequestCredits(PeerOf(*node),
                       { base::InstanceId("i"), base::DataCentreId("d"), 1 },
                       answer.AsDone());
  CHECK(answer.Value().error().mCode == ErrorCode::eOutcomeUnknown);
  CHECK(node->Counters().mUndecodable == 1);
}

TEST_CASE("bytes that are no message are counted and stop nothing")
{
  ActionThread actions;
  auto node = StartNode(actions, PlainHandler());
  for (const std::string& bytes : { std::string("GET / HTTP/1.1\r\n\r\n"),
                                    std::string(64, '\0'),
                                    std::string(64, '\xff'),
                                    Framed(std::string(64, '\x5a')) }) {
    RawConnection connection(node->Address());
    connection.Send(bytes);
    connection.ReadToEnd();
  }
  CHECK(node->Counters().mProtocolErrors == 4);
  CHECK(Announce(*node, PeerOf(*node)));
}

// Covers decoders and the RPC state machine beyond the fixed samples.
TEST_CASE("random bytes stop nothing")
{
  constexpr std::uint64_t kSeed = 20240611;
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  ActionThread actions;
  auto node = StartNode(actions, PlainHandler());
  for (int i = 0; i < 300; ++i) {
    RawConnection connection(node->Address());
    std::string bytes = RandomBytes(random, 8 * (random() % 40));
    connection.Send(random() % 2 == 0 ? bytes : Framed(bytes));
    if (random() % 4 == 0) {
      connection.Reset();
    } else {
      connection.Finish();
    }
  }
  CHECK(node->Counters().mProtocolErrors > 0);
  CHECK(Announce(*node, PeerOf(*node)));
}

TEST_CASE("a server that answers with garbage was not reached")
{
  ActionThread actions;
  auto node = StartNode(actions, {}, ShortSettings());
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
    std::string answer = "HTTP/1.1 400 Bad Request\r\n\r\n";
    (void)send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
    char buffer[256];
    while (recv(connection, buffer, sizeof(buffer), 0) > 0) {
    }
    close(connection);
  });
  Expected<Nothing> answer = Announce(
    *node, PeerAt("127.0.0.1:" + std::to_string(ntohs(address.sin_port))));
  CHECK(answer.error().mCode == ErrorCode::eUnavailable);
  server.join();
  close(listener);
  CHECK(node->Counters().mProtocolErrors == 1);
}

TEST_CASE("messages over the size limit end their connection only")
{
  ActionThread actions;
  PeerSettings settings = ShortSettings();
  settings.mMaxMessageBytes = 4096;
  PeerHandler handler = PlainHandler();
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

TEST_CASE("a connection over the limit is refused before a call is sent")
{
  ActionThread actions;
  PeerSettings settings;
  settings.mMaxServedConnections = 1;
  auto peer = StartNode(actions, PlainHandler(), settings);
  auto first = StartNode(actions);
  auto second = StartNode(actions);
  CHECK(Announce(*first, PeerOf(*peer)));
  CHECK(Announce(*second, PeerOf(*peer)).error().mCode ==
        ErrorCode::eUnavailable);
  CHECK(peer->Counters().mServed.mRefusedConnections == 1);
}

TEST_CASE("calls over the limit are refused before they are sent")
{
  ActionThread actions;
  std::vector<Done<Nothing>> held;
  PeerHandler handler;
  handler.mAnnounceConfig = [&](platform::ConfigNotice, Done<Nothing> aDone) {
    held.push_back(std::move(aDone));
  };
  auto peer = StartNode(actions, handler);
  PeerSettings settings = ShortSettings();
  settings.mMaxCalls = 1;
  auto node = StartNode(actions, {}, settings);
  Awaited<Nothing> first;
  Awaited<Nothing> second;
  node->AnnounceConfig(PeerOf(*peer), { 1 }, first.AsDone());
  node->AnnounceConfig(PeerOf(*peer), { 1 }, second.AsDone());
  CHECK(second.Value().error().mCode == ErrorCode::eUnavailable);
  CHECK(first.Value().error().mCode == ErrorCode::eOutcomeUnknown);
}

TEST_CASE("the connection that was unused longest makes room for a new peer")
{
  ActionThread actions;
  auto one = StartNode(actions, PlainHandler());
  auto two = StartNode(actions, PlainHandler());
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
  CHECK(counters.mPeers.begin()->second.mCalls + counters.mFormerPeers.mCalls ==
        3);
}

// A planned stop must not leave a decision waiting for a callback.
TEST_CASE("stopping a node ends each of its calls once")
{
  ActionThread actions;
  std::vector<Done<Nothing>> held;
  PeerHandler handler;
  handler.mAnnounceConfig = [&](platform::ConfigNotice, Done<Nothing> aDone) {
    held.push_back(std::move(aDone));
  };
  auto peer = StartNode(actions, handler);
  std::vector<Awaited<Nothing>> answers(20);
  {
    auto node = StartNode(actions);
    for (Awaited<Nothing>& answer : answers) {
      node->AnnounceConfig(PeerOf(*peer), { 1 }, answer.AsDone());
    }
  }
  for (Awaited<Nothing>& answer : answers) {
    CHECK_FALSE(answer.Value());
  }
}

} // namespace flamingoloom::peer::test
