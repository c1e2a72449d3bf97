// Each message over a real loopback connection.
#include <doctest/doctest.h>

#include "flamingoloom/peer/test_support.h"

namespace flamingoloom::peer::test {
namespace {

using base::ErrorCode;
using base::Expected;
using platform::Done;
using platform::Nothing;

// A handler function that keeps the request and answers with aAnswer.
template <class Request, class Answer>
auto Keep(Request& aKept, Expected<Answer> aAnswer)
{
  return [&aKept, aAnswer](Request aRequest, Done<Answer> aDone) {
    aKept = std::move(aRequest);
    aDone(aAnswer);
  };
}

platform::RequestNotice SomeRequest()
{
  return { base::DataCentreId("dc-1"),
           { base::AccountId("blotting"), "key-7" },
           true };
}

} // namespace

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
  handler.mRequestCredits = Keep(seen, Expected<platform::CreditGrant>(grant));
  auto node = StartNode(actions, handler);

  platform::CreditRequest request{ base::InstanceId("i-1"),
                                   base::DataCentreId("dc-1"),
                                   64 };
  Awaited<platform::CreditGrant> answer;
  node->RequestCredits(PeerOf(*node), request, answer.AsDone());
  CHECK(answer.Value() == grant);
  CHECK(seen == request);
}

TEST_CASE("a request notice arrives unchanged, with its cancel mark")
{
  ActionThread actions;
  platform::RequestNotice seen;
  PeerHandler handler;
  handler.mNotifyRequest = Keep(seen, Expected<Nothing>(Nothing{}));
  auto node = StartNode(actions, handler);

  Awaited<Nothing> answer;
  node->NotifyRequest(PeerOf(*node), SomeRequest(), answer.AsDone());
  CHECK(answer.Value() == Nothing{});
  CHECK(seen == SomeRequest());
}

TEST_CASE("an awaited record arrives whole, bytes of any value included")
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

  Awaited<platform::RequestProgress> answer;
  node->AwaitRequest(PeerOf(*node),
                     SomeRequest(),
                     std::chrono::milliseconds(1500),
                     answer.AsDone());
  CHECK(answer.Value() == progress);
  CHECK(seen.mRequest == SomeRequest().mRequest);
  CHECK(seenWait == std::chrono::milliseconds(1500));
}

TEST_CASE("a data centre notice and its status arrive unchanged")
{
  ActionThread actions;
  platform::DataCentreNotice seen;
  platform::DataCentreStatus status{ false, 12, "server s1 has not answered" };
  PeerHandler handler;
  handler.mNotifyDataCentre =
    Keep(seen, Expected<platform::DataCentreStatus>(status));
  auto node = StartNode(actions, handler);

  platform::DataCentreNotice notice{ base::DataCentreId("dc-2"), 12 };
  Awaited<platform::DataCentreStatus> answer;
  node->NotifyDataCentre(PeerOf(*node), notice, answer.AsDone());
  CHECK(answer.Value() == status);
  CHECK(seen == notice);
}

TEST_CASE("a promise request arrives unchanged")
{
  ActionThread actions;
  platform::PromiseRequest seen;
  PeerHandler handler;
  handler.mRequestPromise = Keep(seen, Expected<Nothing>(Nothing{}));
  auto node = StartNode(actions, handler);

  platform::PromiseRequest request{ base::DataCentreId("dc-1"),
                                    base::InstanceId("i-1"),
                                    base::Epoch(3),
                                    std::chrono::seconds(4) };
  Awaited<Nothing> answer;
  node->RequestPromise(PeerOf(*node), request, answer.AsDone());
  CHECK(answer.Value() == Nothing{});
  CHECK(seen == request);
}

TEST_CASE("announcements arrive unchanged")
{
  ActionThread actions;
  platform::ConfigNotice seenConfig;
  platform::LeavingNotice seenLeaving;
  PeerHandler handler;
  handler.mAnnounceConfig = Keep(seenConfig, Expected<Nothing>(Nothing{}));
  handler.mAnnounceLeaving = Keep(seenLeaving, Expected<Nothing>(Nothing{}));
  auto node = StartNode(actions, handler);

  Awaited<Nothing> config;
  Awaited<Nothing> leaving;
  node->AnnounceConfig(PeerOf(*node), { 1234567890123 }, config.AsDone());
  node->AnnounceLeaving(PeerOf(*node), { "server-9" }, leaving.AsDone());
  CHECK(config.Value() == Nothing{});
  CHECK(leaving.Value() == Nothing{});
  CHECK(seenConfig.mVersion == 1234567890123);
  CHECK(seenLeaving.mMember == "server-9");
}

TEST_CASE("a status query answers the document of the topic")
{
  ActionThread actions;
  PeerHandler handler;
  handler.mQueryStatus = [](std::string aTopic, Done<std::string> aDone) {
    aDone("{\"topic\":\"" + aTopic + "\"}");
  };
  auto node = StartNode(actions, handler);

  Awaited<std::string> answer;
  node->QueryStatus(PeerOf(*node), "capacity", answer.AsDone());
  CHECK(answer.Value() == "{\"topic\":\"capacity\"}");
}

// Guards against an error of the owner that reaches the caller as another
// one: "stale epoch" must not become "outcome unknown".
TEST_CASE("an error of the handler keeps its code, step, peer and message")
{
  ActionThread actions;
  platform::RequestNotice seen;
  base::Error error{
    ErrorCode::eStaleEpoch, "start task", "server-3", "epoch 4 < 5", ""
  };
  PeerHandler handler;
  handler.mNotifyRequest =
    Keep(seen, Expected<Nothing>(tl::unexpected<base::Error>(error)));
  auto node = StartNode(actions, handler);

  Awaited<Nothing> answer;
  node->NotifyRequest(PeerOf(*node), SomeRequest(), answer.AsDone());
  Expected<Nothing> result = answer.Value();
  REQUIRE_FALSE(result);
  CHECK(result.error() == error);
  CHECK(node->Counters().mServed.mFailures == 1);
}

TEST_CASE("a message that the instance does not serve had no effect")
{
  ActionThread actions;
  auto node = StartNode(actions);
  Awaited<Nothing> answer;
  node->AnnounceConfig(PeerOf(*node), { 1 }, answer.AsDone());
  CHECK(answer.Value().error().mCode == ErrorCode::eUnavailable);
}

// The decisions run in one actor and take no locks.
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

TEST_CASE("a handler may answer later from any thread, only the first counts")
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
  std::vector<Awaited<std::string>> answers(20);
  for (std::size_t i = 0; i < answers.size(); ++i) {
    node->QueryStatus(
      PeerOf(*node), "topic-" + std::to_string(i), answers[i].AsDone());
  }
  for (std::size_t i = 0; i < answers.size(); ++i) {
    CHECK(answers[i].Value() == "topic-" + std::to_string(i));
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

// Swapped answers would break P4 for requests that wait at another instance.
TEST_CASE("answers in reverse order reach their own calls")
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
  std::vector<Awaited<std::string>> answers(kCalls);
  for (std::size_t i = 0; i < kCalls; ++i) {
    node->QueryStatus(PeerOf(*node), std::to_string(i), answers[i].AsDone());
  }
  for (std::size_t i = 0; i < kCalls; ++i) {
    CHECK(answers[i].Value() == std::to_string(i));
  }
  CHECK(node->Counters().mServed.mConnections == 1);
}

TEST_CASE("calls, failures and bytes are counted per peer")
{
  ActionThread actions;
  PeerHandler handler;
  handler.mQueryStatus = [](std::string, Done<std::string> aDone) {
    aDone(std::string(1000, 'x'));
  };
  auto node = StartNode(actions, handler);
  Awaited<std::string> one;
  Awaited<Nothing> two;
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
  // The message that releases the last answer may still be under way.
  CHECK(counters.mServed.mBytesReceived <= peer.mBytesSent);
  CHECK(counters.mServed.mBytesReceived > 100);
  CHECK(counters.mServed.mBytesSent >= peer.mBytesReceived);
}

TEST_CASE("a node that cannot be bound reports why")
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
