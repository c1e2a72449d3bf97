// Tests each message over a real loopback connection.
#include <doctest/doctest.h>

#include "flamingoloom/peer/test_support.h"

namespace flamingoloom::peer::test {
namespace {

using base::ErrorCode;
using base::Expected;
using platform::Done;
using platform::Nothing;

// Returns a handler function that stores the request in aStored and responds
// with aResponse.
template <class Request, class Response>
auto StoreAndRespond(Request& aStored, Expected<Response> aResponse)
{
  return [&aStored, aResponse](Request aRequest, Done<Response> aDone) {
    aStored = std::move(aRequest);
    aDone(aResponse);
  };
}

platform::RequestNotice MakeRequestNotice()
{
  return { base::DataCentreId("dc-1"),
           { base::AccountId("blotting"), "key-7" },
           true };
}

} // namespace

// Like the tests of the other messages below, guards against fields that are
// lost or exchanged when a message is encoded and decoded.
TEST_CASE("a credit request and its grant arrive unchanged")
{
  ActionThread actions;
  platform::CreditRequest seen;
  platform::CreditGrant grant{ base::DataCentreId("dc-1"),
                               base::Epoch(1ULL << 40),
                               { { { base::ServerId("s1"), "127.0.0.1:1" }, 5 },
                                 { { base::ServerId("s2"), "127.0.0.1:2" },
                                   0 } },
                               std::chrono::milliseconds(1999) };
  PeerHandler handler;
  handler.mRequestCredits =
    StoreAndRespond(seen, Expected<platform::CreditGrant>(grant));
  auto node = StartNode(actions, handler);

  platform::CreditRequest request{ base::InstanceId("i-1"),
                                   base::DataCentreId("dc-1"),
                                   64 };
  AwaitedResult<platform::CreditGrant> response;
  node->RequestCredits(PeerOf(*node), request, response.AsDone());
  CHECK(response.Value() == grant);
  CHECK(seen == request);
}

TEST_CASE(
  "a request notification arrives unchanged, with its cancellation marker")
{
  ActionThread actions;
  platform::RequestNotice seen;
  PeerHandler handler;
  handler.mNotifyRequest = StoreAndRespond(seen, Expected<Nothing>(Nothing{}));
  auto node = StartNode(actions, handler);

  AwaitedResult<Nothing> response;
  node->NotifyRequest(PeerOf(*node), MakeRequestNotice(), response.AsDone());
  CHECK(response.Value() == Nothing{});
  CHECK(seen == MakeRequestNotice());
}

// Guards against records that are cut at a zero byte or changed by a text
// conversion.
TEST_CASE("an awaited record arrives complete, with bytes of any value")
{
  ActionThread actions;
  platform::RequestNotice seen;
  base::Duration seenWait{};
  platform::RequestProgress progress{ true, std::string("a\0b\xff\n", 5) };
  PeerHandler handler;
  handler.mAwaitRequest = [&](platform::RequestNotice aNotice,
                              base::Duration aWait,
                              Done<platform::RequestProgress> aDone) {
    seen = aNotice;
    seenWait = aWait;
    aDone(progress);
  };
  auto node = StartNode(actions, handler);

  AwaitedResult<platform::RequestProgress> response;
  node->AwaitRequest(PeerOf(*node),
                     MakeRequestNotice(),
                     std::chrono::milliseconds(1500),
                     response.AsDone());
  CHECK(response.Value() == progress);
  CHECK(seen.mRequest == MakeRequestNotice().mRequest);
  CHECK(seenWait == std::chrono::milliseconds(1500));
}

TEST_CASE("a data centre notification and its status arrive unchanged")
{
  ActionThread actions;
  platform::DataCentreNotice seen;
  platform::DataCentreStatus status{ false, 12, "server s1 has not answered" };
  PeerHandler handler;
  handler.mNotifyDataCentre =
    StoreAndRespond(seen, Expected<platform::DataCentreStatus>(status));
  auto node = StartNode(actions, handler);

  platform::DataCentreNotice notice{ base::DataCentreId("dc-2"), 12 };
  AwaitedResult<platform::DataCentreStatus> response;
  node->NotifyDataCentre(PeerOf(*node), notice, response.AsDone());
  CHECK(response.Value() == status);
  CHECK(seen == notice);
}

TEST_CASE("a promise request arrives unchanged")
{
  ActionThread actions;
  platform::PromiseRequest seen;
  PeerHandler handler;
  handler.mRequestPromise = StoreAndRespond(seen, Expected<Nothing>(Nothing{}));
  auto node = StartNode(actions, handler);

  platform::PromiseRequest request{ base::DataCentreId("dc-1"),
                                    base::InstanceId("i-1"),
                                    base::Epoch(3),
                                    std::chrono::seconds(4) };
  AwaitedResult<Nothing> response;
  node->RequestPromise(PeerOf(*node), request, response.AsDone());
  CHECK(response.Value() == Nothing{});
  CHECK(seen == request);
}

TEST_CASE("announcements arrive unchanged")
{
  ActionThread actions;
  platform::ConfigNotice seenConfig;
  platform::LeavingNotice seenLeaving;
  PeerHandler handler;
  handler.mAnnounceConfig =
    StoreAndRespond(seenConfig, Expected<Nothing>(Nothing{}));
  handler.mAnnounceLeaving =
    StoreAndRespond(seenLeaving, Expected<Nothing>(Nothing{}));
  auto node = StartNode(actions, handler);

  AwaitedResult<Nothing> config;
  AwaitedResult<Nothing> leaving;
  node->AnnounceConfig(PeerOf(*node), { 1234567890123 }, config.AsDone());
  node->AnnounceLeaving(PeerOf(*node), { "server-9" }, leaving.AsDone());
  CHECK(config.Value() == Nothing{});
  CHECK(leaving.Value() == Nothing{});
  CHECK(seenConfig.mVersion == 1234567890123);
  CHECK(seenLeaving.mMember == "server-9");
}

TEST_CASE("a status query returns the document of its topic")
{
  ActionThread actions;
  PeerHandler handler;
  handler.mQueryStatus = [](std::string aTopic, Done<std::string> aDone) {
    aDone("{\"topic\":\"" + aTopic + "\"}");
  };
  auto node = StartNode(actions, handler);

  AwaitedResult<std::string> response;
  node->QueryStatus(PeerOf(*node), "capacity", response.AsDone());
  CHECK(response.Value() == "{\"topic\":\"capacity\"}");
}

// Guards against errors that change on the way to the caller: when the owner
// reports a stale epoch, the caller must not get an unknown outcome.
TEST_CASE("an error of the handler keeps its code, step, peer and message")
{
  ActionThread actions;
  platform::RequestNotice seen;
  base::Error error{
    ErrorCode::eStaleEpoch, "start task", "server-3", "epoch 4 < 5", ""
  };
  PeerHandler handler;
  handler.mNotifyRequest = StoreAndRespond(
    seen, Expected<Nothing>(tl::unexpected<base::Error>(error)));
  auto node = StartNode(actions, handler);

  AwaitedResult<Nothing> response;
  node->NotifyRequest(PeerOf(*node), MakeRequestNotice(), response.AsDone());
  Expected<Nothing> result = response.Value();
  REQUIRE_FALSE(result);
  CHECK(result.error() == error);
  CHECK(node->Counters().mServed.mFailures == 1);
}

// Guards against an unknown outcome for a message that this version of the peer
// does not serve.
TEST_CASE("a message that the peer does not serve is unavailable")
{
  ActionThread actions;
  auto node = StartNode(actions);
  AwaitedResult<Nothing> response;
  node->AnnounceConfig(PeerOf(*node), { 1 }, response.AsDone());
  CHECK(response.Value().error().mCode == ErrorCode::eUnavailable);
}

// Guards against callbacks on the node's own thread: the scheduling logic runs
// in one actor and uses no locks, so this would be a data race.
TEST_CASE("callbacks and handler calls run on the executor's thread")
{
  ActionThread actions;
  std::thread::id handlerThread;
  PeerHandler handler;
  handler.mAnnounceConfig = [&](platform::ConfigNotice, Done<Nothing> aDone) {
    handlerThread = std::this_thread::get_id();
    aDone(Nothing{});
  };
  auto node = StartNode(actions, handler);
  std::promise<std::thread::id> callbackThread;
  node->AnnounceConfig(PeerOf(*node), { 1 }, [&](Expected<Nothing>) {
    callbackThread.set_value(std::this_thread::get_id());
  });
  CHECK(callbackThread.get_future().get() == actions.Id());
  CHECK(handlerThread == actions.Id());
}

// Guards against a lost or corrupt response when a handler responds after it
// has returned, from another thread, or twice.
TEST_CASE(
  "a handler may respond later from any thread, the first result counts")
{
  ActionThread actions;
  std::vector<std::thread> threads;
  PeerHandler handler;
  handler.mQueryStatus = [&](std::string aTopic, Done<std::string> aDone) {
    threads.emplace_back([aTopic, aDone]() {
      aDone(aTopic);
      aDone("second answer");
    });
  };
  auto node = StartNode(actions, handler);
  std::vector<AwaitedResult<std::string>> responses(20);
  for (std::size_t i = 0; i < responses.size(); ++i) {
    node->QueryStatus(
      PeerOf(*node), "topic-" + std::to_string(i), responses[i].AsDone());
  }
  for (std::size_t i = 0; i < responses.size(); ++i) {
    CHECK(responses[i].Value() == "topic-" + std::to_string(i));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

// Guards against responses that reach the wrong call: a request that waits at
// another instance would get the response of a different request (invariant
// P4).
TEST_CASE("responses in reverse order reach their own calls")
{
  ActionThread actions;
  std::vector<std::pair<std::string, Done<std::string>>> held;
  constexpr std::size_t kCalls = 50;
  PeerHandler handler;
  handler.mQueryStatus = [&](std::string aTopic, Done<std::string> aDone) {
    held.emplace_back(aTopic, aDone);
    if (held.size() == kCalls) {
      for (auto entry = held.rbegin(); entry != held.rend(); ++entry) {
        entry->second(entry->first);
      }
    }
  };
  auto node = StartNode(actions, handler);
  std::vector<AwaitedResult<std::string>> responses(kCalls);
  for (std::size_t i = 0; i < kCalls; ++i) {
    node->QueryStatus(PeerOf(*node), std::to_string(i), responses[i].AsDone());
  }
  for (std::size_t i = 0; i < kCalls; ++i) {
    CHECK(responses[i].Value() == std::to_string(i));
  }
  CHECK(node->Counters().mServed.mConnections == 1);
}

// Guards against traffic to a peer that is missing from the counters.
TEST_CASE("calls, failures and bytes are counted per peer")
{
  ActionThread actions;
  PeerHandler handler;
  handler.mQueryStatus = [](std::string, Done<std::string> aDone) {
    aDone(std::string(1000, 'x'));
  };
  auto node = StartNode(actions, handler);
  AwaitedResult<std::string> one;
  AwaitedResult<Nothing> two;
  node->QueryStatus(PeerOf(*node), "jobs", one.AsDone());
  node->AnnounceConfig(PeerOf(*node), { 1 }, two.AsDone());
  CHECK(one.Value());
  CHECK_FALSE(two.Value());

  NodeCounters counters = node->Counters();
  PeerCounters peer = counters.mPeers.at(base::InstanceId("peer-1"));
  CHECK(peer.mCalls == 2);
  CHECK(peer.mFailures == 1);
  CHECK(peer.mTimeouts == 0);
  CHECK(peer.mBytesReceived > 1000);
  CHECK(peer.mBytesSent > 100);
  CHECK(counters.mServed.mCalls == 2);
  // The message that releases the last response may still be in flight.
  CHECK(counters.mServed.mBytesReceived <= peer.mBytesSent);
  CHECK(counters.mServed.mBytesReceived > 100);
  CHECK(counters.mServed.mBytesSent >= peer.mBytesReceived);
}

// Guards against a node that seems to run although its address is in use or
// invalid.
TEST_CASE("a node that cannot bind its address reports the reason")
{
  ActionThread actions;
  auto node = StartNode(actions);
  PeerSettings settings;
  settings.mListen = node->Address();
  auto second = PeerNode::Start(settings, {}, actions.AsExecutor());
  REQUIRE_FALSE(second);
  CHECK(second.error().mCode == ErrorCode::eUnavailable);
  CHECK(second.error().mPeer == node->Address());

  settings.mListen = "localhost:0";
  auto third = PeerNode::Start(settings, {}, actions.AsExecutor());
  REQUIRE_FALSE(third);
  CHECK(third.error().mCode == ErrorCode::eInvalid);
}

} // namespace flamingoloom::peer::test
