#include <algorithm>
#include <atomic>
#include <future>
#include <optional>
#include <utility>

#include <doctest/doctest.h>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/platform/http_clients.h"
#include "testing/standins/backend_server.h"
#include "testing/standins/mailbox.h"
#include "testing/standins/platform_server.h"
#include "testing/standins/raw_server.h"

namespace flamingoloom::platform {
namespace {

using base::ErrorCode;
using base::RequestId;
using standins::MakeHttpResponse;
using standins::RawServer;
using std::chrono::milliseconds;

// Far longer than any call in these tests takes, so that a call that hangs
// fails its test.
constexpr milliseconds kHangTimeout(20000);
constexpr milliseconds kWait(10000);
// Timeout of the calls that are expected to time out.
constexpr milliseconds kShortWait(100);

const char* const kFinishedBody = R"({"attempt":"a","request":"k","account":"c",
  "state":"finished","answer":"x","answerBytes":7,"answerSha256":"declared"})";

class Clients
{
public:
  explicit Clients(HttpClientOptions aOptions = {})
  {
    aOptions.mTimeout = kWait;
    mClients.emplace(aOptions, mMailbox.AsExecutor());
  }

  HttpClients* operator->() { return &*mClients; }
  standins::Mailbox& Calls() { return mMailbox; }
  void Destroy() { mClients.reset(); }

  // Runs aCall with a callback, and returns the result that the callback gets.
  template <class T, class F>
  base::Expected<T> Await(F aCall)
  {
    std::optional<base::Expected<T>> result;
    aCall([&](base::Expected<T> aResult) { result = std::move(aResult); });
    while (!result) {
      REQUIRE(mMailbox.RunOne(kHangTimeout));
    }
    return std::move(*result);
  }

  base::Expected<TaskStatus> Start(const std::string& aAddress,
                                   const TaskStart& aStart,
                                   base::Duration aWait = kWait)
  {
    return Await<TaskStatus>([&](auto aDone) {
      (*this)->StartTask(
        { base::ServerId("server"), aAddress }, aStart, aWait, aDone);
    });
  }

  base::Expected<TransactionResult> Commit(const Transaction& aTransaction)
  {
    return Await<TransactionResult>(
      [&](auto aDone) { (*this)->Commit(aTransaction, aDone); });
  }

  base::Expected<std::vector<Row>> Read(const std::string& aKey)
  {
    return Await<std::vector<Row>>(
      [&](auto aDone) { (*this)->Read({ aKey }, aDone); });
  }

private:
  // Declared before the clients, whose destructor still passes callbacks to it.
  standins::Mailbox mMailbox;
  std::optional<HttpClients> mClients;
};

TaskStart MakeStart(const char* aAttempt)
{
  TaskStart start;
  start.mAttempt = base::AttemptId(aAttempt);
  start.mRequest = { base::AccountId("c"), "k" };
  start.mDataCentre = base::DataCentreId("dc");
  start.mEpoch = base::Epoch(5);
  start.mPayload = R"({"runMs":0})";
  return start;
}

standins::BackendOptions MakeBackendOptions()
{
  standins::BackendOptions options;
  options.mMember.mId = "server";
  options.mMember.mKind = MemberKind::eServer;
  options.mMember.mSlots = 8;
  options.mMember.mAccelerators = 8;
  options.mMember.mConnections = 64;
  return options;
}

Transaction WriteRow(std::uint64_t aExpectedVersion, const char* aValue)
{
  return { .mWrites = { { "row", aExpectedVersion, aValue } } };
}

// Returns the result of StartTask at a server that responds with aBytes and
// closes the connection.
base::Expected<TaskStatus> StartWithResponse(const std::string& aBytes)
{
  std::atomic<int> requests = 0;
  RawServer server([&](const RawServer::Peer& aPeer) {
    if (!aPeer.ReadRequest().empty()) {
      ++requests;
      aPeer.Write(aBytes);
    }
  });
  Clients clients;
  auto result = clients.Start(server.Address(), MakeStart("a"));
  clients.Destroy();
  // A retried request could run a task twice that is not idempotent.
  CHECK(requests == 1);
  return result;
}

} // namespace

// Guards against reporting an unknown outcome for a request that was certainly
// not run, so that it could not be retried safely.
TEST_CASE("a refused connection is unavailable")
{
  standins::RefusingAddress address;
  Clients clients;
  auto status = clients.Start(address.Address(), MakeStart("a"));
  REQUIRE_FALSE(status);
  CHECK(status.error().mCode == ErrorCode::eUnavailable);
  CHECK(status.error().mStep == "start task");
  CHECK(status.error().mPeer == "server");
}

// Guards against reporting an unknown outcome for a request to a host that is
// down and does not respond to the attempt to connect.
TEST_CASE("a connection attempt that times out is unavailable")
{
  standins::UnresponsiveAddress address;
  Clients clients;
  auto status = clients.Start(address.Address(), MakeStart("a"), kShortWait);
  REQUIRE_FALSE(status);
  CHECK(status.error().mCode == ErrorCode::eUnavailable);
}

// Guards against reporting that a request had no effect when the server may
// have run it, and against sending a request twice.
TEST_CASE("without a complete valid response the outcome is unknown")
{
  for (const std::string& bytes : {
         std::string(),
         std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"),
         std::string("HTTP/1.1 200 OK\r\nCont"),
         std::string("no HTTP\r\n\r\n"),
         MakeHttpResponse(200, "no JSON"),
         MakeHttpResponse(200, R"({"state":"done"})"),
       }) {
    CAPTURE(bytes);
    auto status = StartWithResponse(bytes);
    REQUIRE_FALSE(status);
    CHECK(status.error().mCode == ErrorCode::eOutcomeUnknown);
  }
}

// Guards against reporting that a request had no effect when the server
// received it and then reset the connection.
TEST_CASE("after a connection reset the outcome is unknown")
{
  RawServer server([](const RawServer::Peer& aPeer) {
    aPeer.ReadRequest();
    aPeer.Reset();
  });
  Clients clients;
  auto status = clients.Start(server.Address(), MakeStart("a"));
  REQUIRE_FALSE(status);
  CHECK(status.error().mCode == ErrorCode::eOutcomeUnknown);
}

// Guards against callers that wait forever for a server that has stalled.
TEST_CASE("a call to a server that never responds ends after its wait")
{
  RawServer server([](const RawServer::Peer& aPeer) { aPeer.WaitForClose(); });
  Clients clients;
  auto status = clients.Start(server.Address(), MakeStart("a"), kShortWait);
  REQUIRE_FALSE(status);
  CHECK(status.error().mCode == ErrorCode::eOutcomeUnknown);
}

// Guards against a timeout that restarts with each byte, so that a server that
// sends its response slowly keeps the call open.
TEST_CASE("a call ends after its wait while the response still arrives")
{
  RawServer server([](const RawServer::Peer& aPeer) {
    aPeer.ReadRequest();
    aPeer.Write("HTTP/1.1 200 OK\r\n");
    while (aPeer.Write("X-Header: x\r\n")) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  });
  Clients clients;
  auto status = clients.Start(server.Address(), MakeStart("a"), kShortWait);
  REQUIRE_FALSE(status);
  CHECK(status.error().mCode == ErrorCode::eOutcomeUnknown);
}

// Guards against a wrong conclusion from an error response on whether the
// request had an effect.
TEST_CASE("error responses map to the code they contain")
{
  const auto named = [](const std::string& aCode) {
    return R"({"error":{"code":")" + aCode +
           R"(","message":"why","field":"/slots"}})";
  };
  struct Case
  {
    int mStatus;
    std::string mBody;
    ErrorCode mCode;
  };
  const std::vector<Case> cases = {
    { 409, named("stale_epoch"), ErrorCode::eStaleEpoch },
    { 409, named("busy"), ErrorCode::eBusy },
    { 409, named("leaving"), ErrorCode::eShuttingDown },
    { 409, named("duplicate"), ErrorCode::eDuplicate },
    { 503, named("unavailable"), ErrorCode::eUnavailable },
    { 400, named("invalid"), ErrorCode::eInvalid },
    { 409, named("code of a newer version"), ErrorCode::eOutcomeUnknown },
    { 409, "no JSON", ErrorCode::eOutcomeUnknown },
    { 503, "", ErrorCode::eOutcomeUnknown },
    // A 504 is sent by a gateway, not by the server that may have run the task.
    { 504, named("unavailable"), ErrorCode::eOutcomeUnknown },
    { 500, R"({"error":"text"})", ErrorCode::eOutcomeUnknown },
    { 404, "", ErrorCode::eNotFound },
    { 400, "", ErrorCode::eInvalid },
    { 403, "", ErrorCode::eDenied },
  };
  for (const Case& item : cases) {
    CAPTURE(item.mStatus);
    CAPTURE(item.mBody);
    auto result = StartWithResponse(MakeHttpResponse(item.mStatus, item.mBody));
    REQUIRE_FALSE(result);
    CHECK(base::ErrorCodeName(result.error().mCode) ==
          base::ErrorCodeName(item.mCode));
  }
  CHECK(
    StartWithResponse(MakeHttpResponse(409, named("busy"))).error().mField ==
    "/slots");
}

// Guards against length and digest that the client computes from the received
// answer: the caller could not detect a truncated or corrupt answer.
TEST_CASE("a task's answer keeps the declared length and digest")
{
  auto status = StartWithResponse(MakeHttpResponse(200, kFinishedBody));
  REQUIRE(status);
  CHECK(status->mState == TaskState::eFinished);
  CHECK(status->mRequest == RequestId{ base::AccountId("c"), "k" });
  CHECK(status->mAnswer == "x");
  CHECK(status->mAnswerBytes == 7);
  CHECK(status->mAnswerSha256 == "declared");
}

// Guards against unknown outcomes of requests that are sent on a connection
// that the server has closed while it was idle.
TEST_CASE("a connection that the server has closed is replaced")
{
  std::promise<void> closed;
  std::atomic<int> served = 0;
  RawServer server([&](const RawServer::Peer& aPeer) {
    aPeer.ReadRequest();
    aPeer.Write(MakeHttpResponse(200, kFinishedBody));
    aPeer.Close();
    if (++served == 1) {
      closed.set_value();
    }
  });
  Clients clients;
  CHECK(clients.Start(server.Address(), MakeStart("a")));
  closed.get_future().wait();
  CHECK(clients.Start(server.Address(), MakeStart("b")));
  CHECK(server.Connections() == 2);
}

// Guards against connections that stay open to servers that no longer exist.
TEST_CASE("an idle connection is closed without a further call")
{
  std::promise<void> isClosed;
  RawServer server([&](const RawServer::Peer& aPeer) {
    aPeer.ReadRequest();
    aPeer.Write(MakeHttpResponse(200, kFinishedBody));
    aPeer.WaitForClose();
    isClosed.set_value();
  });
  Clients clients({ .mStart = { .mIdleTimeout = milliseconds(10) } });
  CHECK(clients.Start(server.Address(), MakeStart("a")));
  CHECK(isClosed.get_future().wait_for(kHangTimeout) ==
        std::future_status::ready);
}

// Guards against opening a connection for each call, and against traffic that
// is missing from the counters, which account for the slow link between
// regions.
TEST_CASE("a connection is reused, and calls and bytes are counted")
{
  std::atomic<std::size_t> received = 0;
  const std::string answer = MakeHttpResponse(200, kFinishedBody);
  RawServer server([&](const RawServer::Peer& aPeer) {
    for (auto request = aPeer.ReadRequest(); !request.empty();
         request = aPeer.ReadRequest()) {
      received += request.size();
      aPeer.Write(answer);
    }
  });
  Clients clients;
  CHECK(clients.Start(server.Address(), MakeStart("a")));
  CHECK(clients.Start(server.Address(), MakeStart("b")));
  standins::RefusingAddress refusing;
  CHECK_FALSE(clients.Start(refusing.Address(), MakeStart("c")));
  CHECK(server.Connections() == 1);
  const auto counters = clients->Counters();
  clients.Destroy();
  CHECK(counters.at(server.Address()) ==
        PeerCounters{ 2, {}, received, 2 * answer.size() });
  CHECK(counters.at(refusing.Address()) ==
        PeerCounters{ 1, { { ErrorCode::eUnavailable, 1 } }, 0, 0 });
}

// Guards against unbounded connections and threads, against sending a request
// after its caller was told that it had no effect, and against task starts that
// delay a fence.
TEST_CASE("a call that finds no free connection or thread is not sent")
{
  const PoolLimits oneConnection{ .mThreads = 4, .mConnectionsPerAddress = 1 };
  const PoolLimits oneThread{ .mThreads = 1, .mConnectionsPerAddress = 4 };
  for (const PoolLimits& limits : { oneConnection, oneThread }) {
    std::atomic<int> starts = 0;
    std::promise<void> isSent;
    std::promise<void> mayAnswer;
    RawServer server([&](const RawServer::Peer& aPeer) {
      for (auto request = aPeer.ReadRequest(); !request.empty();
           request = aPeer.ReadRequest()) {
        if (request.starts_with("POST /fence")) {
          aPeer.Write(MakeHttpResponse(200, R"({"epoch":6})"));
          continue;
        }
        if (++starts == 1) {
          isSent.set_value();
          mayAnswer.get_future().wait();
        }
        aPeer.Write(MakeHttpResponse(200, kFinishedBody));
      }
    });
    Clients clients({ .mStart = limits });
    const ServerAddress address{ base::ServerId("server"), server.Address() };
    clients->StartTask(address, MakeStart("a"), kWait, [](auto) {});
    isSent.get_future().wait();
    auto status = clients.Start(server.Address(), MakeStart("b"), kShortWait);
    auto epoch = clients.Await<base::Epoch>([&](auto aDone) {
      clients->Fence(address, base::DataCentreId("dc"), base::Epoch(6), aDone);
    });
    mayAnswer.set_value();
    REQUIRE_FALSE(status);
    CHECK(status.error().mCode == ErrorCode::eUnavailable);
    REQUIRE(epoch);
    CHECK(*epoch == base::Epoch(6));
    CHECK(clients.Start(server.Address(), MakeStart("c")));
    CHECK(starts == 2);
  }
}

// Guards against callbacks that are never called when the clients are
// destroyed.
TEST_CASE("each call completes when the clients are destroyed")
{
  std::promise<void> isSent;
  RawServer server([&](const RawServer::Peer& aPeer) {
    if (!aPeer.ReadRequest().empty()) {
      isSent.set_value();
    }
    aPeer.WaitForClose();
  });
  Clients clients({ .mStart = { 4, 1 } });
  std::vector<ErrorCode> codes;
  for (const char* attempt : { "a", "b" }) {
    clients->StartTask(
      { base::ServerId("server"), server.Address() },
      MakeStart(attempt),
      kWait,
      [&](auto aStatus) { codes.push_back(aStatus.error().mCode); });
  }
  isSent.get_future().wait();
  clients.Destroy();
  while (clients.Calls().RunOne(milliseconds(0))) {
  }
  std::sort(codes.begin(), codes.end());
  CHECK(codes ==
        std::vector{ ErrorCode::eUnavailable, ErrorCode::eOutcomeUnknown });
}

// Guards against a commit conflict that is reported as an error, and against
// values that are not valid UTF-8, which JSON cannot represent.
TEST_CASE("transactions, rows and conflicts")
{
  standins::PlatformServer platform;
  Clients clients({ .mPlatformAddress = *platform.Listen("127.0.0.1:0") });
  auto result = clients.Commit(WriteRow(0, "x"));
  REQUIRE(result);
  CHECK(result->mVersions == std::vector<RowVersion>{ { "row", 1 } });
  result = clients.Commit(WriteRow(0, "y"));
  REQUIRE(result);
  CHECK(result->mConflicts == std::vector<RowVersion>{ { "row", 1 } });
  auto rows = clients.Await<std::vector<Row>>(
    [&](auto aDone) { clients->Scan("r", aDone); });
  REQUIRE(rows);
  CHECK(*rows == std::vector<Row>{ { "row", 1, "x" } });
  CHECK(clients.Commit(WriteRow(1, "\xff")).error().mCode ==
        ErrorCode::eInvalid);
}

// Guards against reporting a failed commit when the store applied the write and
// only its response was lost.
TEST_CASE("a lost response is an unknown outcome, and the write took effect")
{
  standins::PlatformServer platform({ standins::StoreFault::eDropsResponses });
  Clients clients({ .mPlatformAddress = *platform.Listen("127.0.0.1:0") });
  // The first response ends early, the second one is a 504.
  for (std::uint64_t version : { 0, 1 }) {
    auto result = clients.Commit(WriteRow(version, "x"));
    REQUIRE_FALSE(result);
    CHECK(result.error().mCode == ErrorCode::eOutcomeUnknown);
    auto rows = clients.Read("row");
    REQUIRE(rows);
    CHECK(*rows == std::vector<Row>{ { "row", version + 1, "x" } });
  }
}

// Guards against reporting an outage of the store as an unknown outcome, and
// against reporting a slow store as an outage.
TEST_CASE("a store that is down is unavailable, a slow one responds late")
{
  standins::PlatformServer platform({ standins::StoreFault::eDown });
  Clients clients({ .mPlatformAddress = *platform.Listen("127.0.0.1:0") });
  CHECK(clients.Commit(WriteRow(0, "x")).error().mCode ==
        ErrorCode::eUnavailable);
  CHECK(clients.Read("row").error().mCode == ErrorCode::eUnavailable);
  platform.SetFaults(
    { .mStore = standins::StoreFault::eSlow, .mSlow = milliseconds(20) });
  auto rows = clients.Read("row");
  REQUIRE(rows);
  CHECK(rows->empty());
}

// Guards against accepting an object that does not have the requested digest.
TEST_CASE("objects are stored and found by their digest")
{
  standins::PlatformServer platform;
  Clients clients({ .mPlatformAddress = *platform.Listen("127.0.0.1:0") });
  const std::string object("binary \0 \xff", 10);
  auto digest = clients.Await<std::string>(
    [&](auto aDone) { clients->PutObject(object, aDone); });
  REQUIRE(digest);
  CHECK(*digest == base::Sha256Hex(object));
  const auto get = [&](const std::string& aDigest) {
    return clients.Await<std::string>(
      [&](auto aDone) { clients->GetObject(aDigest, aDone); });
  };
  CHECK(get(*digest).value() == object);
  CHECK(get(base::Sha256Hex("other")).error().mCode == ErrorCode::eNotFound);

  RawServer wrong([](const RawServer::Peer& aPeer) {
    aPeer.ReadRequest();
    aPeer.Write(MakeHttpResponse(200, "another object"));
  });
  Clients others({ .mPlatformAddress = wrong.Address() });
  auto result = others.Await<std::string>(
    [&](auto aDone) { others->GetObject(*digest, aDone); });
  CHECK(result.error().mCode == ErrorCode::eBadAnswer);
}

// Guards against announcing a member in a form that the platform rejects.
TEST_CASE("an announced member is listed")
{
  standins::PlatformServer platform;
  Clients clients({ .mPlatformAddress = *platform.Listen("127.0.0.1:0") });
  const Member member{ .mId = "i",
                       .mDataCentre = base::DataCentreId("dc"),
                       .mAddress = "127.0.0.1:1",
                       .mPeerAddress = "127.0.0.1:2" };
  REQUIRE(clients.Await<Nothing>(
    [&](auto aDone) { clients->AnnounceMember(member, aDone); }));
  auto list =
    clients.Await<MemberList>([&](auto aDone) { clients->ListMembers(aDone); });
  REQUIRE(list);
  CHECK(list->mMembers == std::vector{ member });
}

// Guards against treating a start that the backend server rejected as a start
// that may have run.
TEST_CASE("a backend server rejects lower epochs and repeated attempts")
{
  standins::BackendServer backend(MakeBackendOptions());
  const std::string address = *backend.Listen("127.0.0.1:0");
  const ServerAddress server{ base::ServerId("server"), address };
  Clients clients;
  const auto fence = [&](std::uint64_t aEpoch) {
    return clients.Await<base::Epoch>([&](auto aDone) {
      clients->Fence(
        server, base::DataCentreId("dc"), base::Epoch(aEpoch), aDone);
    });
  };
  CHECK(clients.Start(address, MakeStart("a/1"))->mState ==
        TaskState::eFinished);
  CHECK(clients.Start(address, MakeStart("a/1")).error().mCode ==
        ErrorCode::eDuplicate);
  CHECK(fence(6).value() == base::Epoch(6));
  CHECK(fence(5).error().mCode == ErrorCode::eStaleEpoch);
  CHECK(clients.Start(address, MakeStart("b")).error().mCode ==
        ErrorCode::eStaleEpoch);
  // An attempt id may contain characters that must be encoded in a path.
  const auto await = [&](const char* aAttempt) {
    return clients.Await<TaskStatus>([&](auto aDone) {
      clients->AwaitTask(server, base::AttemptId(aAttempt), kWait, aDone);
    });
  };
  CHECK(await("a/1")->mState == TaskState::eFinished);
  CHECK(await("b")->mState == TaskState::eAbsent);
}

// Guards against waits that miss the completion of a task, and against a
// draining server that aborts the response to a request in progress.
TEST_CASE("a gang's task runs after its commit, and its completion ends a wait")
{
  standins::BackendServer backend(MakeBackendOptions());
  const std::string address = *backend.Listen("127.0.0.1:0");
  const ServerAddress server{ base::ServerId("server"), address };
  Clients clients;
  auto start = MakeStart("a");
  start.mGang = "gang";
  start.mGangSize = 2;
  start.mLease = kWait;
  start.mPayload = R"({"runMs":50})";
  const auto act = [&](TaskAction aAction) {
    return clients.Await<TaskStatus>([&](auto aDone) {
      clients->ActOnTask(server, start.mAttempt, aAction, kWait, aDone);
    });
  };
  const auto await = [&](base::Duration aWait) {
    return clients.Await<TaskStatus>([&](auto aDone) {
      clients->AwaitTask(server, start.mAttempt, aWait, aDone);
    });
  };
  CHECK(clients.Start(address, start)->mState == TaskState::ePrepared);
  CHECK(act(TaskAction::eRenew)->mState == TaskState::ePrepared);
  CHECK(await(milliseconds(10))->mState == TaskState::ePrepared);
  CHECK(act(TaskAction::eCommit)->mState == TaskState::eRunning);
  std::thread drain([&] { backend.Drain(); });
  auto status = await(kWait);
  drain.join();
  REQUIRE(status);
  CHECK(status->mState == TaskState::eFinished);
  CHECK(status->mAnswer == "c/k");
  CHECK(status->mAnswerSha256 == base::Sha256Hex("c/k"));
  CHECK(clients.Start(address, MakeStart("b")).error().mCode ==
        ErrorCode::eShuttingDown);
}

} // namespace flamingoloom::platform
