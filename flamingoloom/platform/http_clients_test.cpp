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
using standins::HttpAnswer;
using standins::RawServer;
using std::chrono::milliseconds;

// Far longer than any call here takes, so that a hang fails the test.
constexpr milliseconds kHang(20000);
constexpr milliseconds kWait(10000);
// For calls that are meant to time out.
constexpr milliseconds kShortWait(100);

const char* const kFinished = R"({"attempt":"a","request":"k","account":"c",
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

  // The result of a call that aCall makes with the callback it is given.
  template <class T, class F>
  base::Expected<T> Await(F aCall)
  {
    std::optional<base::Expected<T>> result;
    aCall([&](base::Expected<T> aResult) { result = std::move(aResult); });
    while (!result) {
      REQUIRE(mMailbox.RunOne(kHang));
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
  // Before the clients, whose destructor still hands over callbacks.
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

// The result of StartTask at a server that answers with aBytes and closes.
base::Expected<TaskStatus> StartAnsweredWith(const std::string& aBytes)
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
  // A second request could run a non-idempotent task twice.
  CHECK(requests == 1);
  return result;
}

} // namespace

// Guards against "outcome unknown" for a request that certainly didn't run.
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

// Guards against "outcome unknown" for work sent to a host that is down.
TEST_CASE("a connection that is not answered is unavailable")
{
  standins::SilentAddress address;
  Clients clients;
  auto status = clients.Start(address.Address(), MakeStart("a"), kShortWait);
  REQUIRE_FALSE(status);
  CHECK(status.error().mCode == ErrorCode::eUnavailable);
}

// Guards against "not run" for a request that the server may have run, and
// against a request that is sent twice.
TEST_CASE("without a whole answer the outcome is unknown")
{
  for (const std::string& bytes : {
         std::string(),
         std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{"),
         std::string("HTTP/1.1 200 OK\r\nCont"),
         std::string("no HTTP\r\n\r\n"),
         HttpAnswer(200, "no JSON"),
         HttpAnswer(200, R"({"state":"done"})"),
       }) {
    CAPTURE(bytes);
    auto status = StartAnsweredWith(bytes);
    REQUIRE_FALSE(status);
    CHECK(status.error().mCode == ErrorCode::eOutcomeUnknown);
  }
}

// Guards against "not run" after a reset by a server that had the request.
TEST_CASE("after a reset the outcome is unknown")
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

// Guards against callers that wait for a frozen server.
TEST_CASE("a call to a server that never answers ends with its wait")
{
  RawServer server([](const RawServer::Peer& aPeer) { aPeer.WaitForClose(); });
  Clients clients;
  auto status = clients.Start(server.Address(), MakeStart("a"), kShortWait);
  REQUIRE_FALSE(status);
  CHECK(status.error().mCode == ErrorCode::eOutcomeUnknown);
}

// Guards against a time-out that each byte of a slow answer starts anew.
TEST_CASE("a call ends with its wait although the answer still arrives")
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

// Guards against a wrong verdict on whether a refused request has run.
TEST_CASE("error answers map to the code they name")
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
    // A gateway speaks here, not the server that may have run the task.
    { 504, named("unavailable"), ErrorCode::eOutcomeUnknown },
    { 500, R"({"error":"text"})", ErrorCode::eOutcomeUnknown },
    { 404, "", ErrorCode::eNotFound },
    { 400, "", ErrorCode::eInvalid },
    { 403, "", ErrorCode::eDenied },
  };
  for (const Case& item : cases) {
    CAPTURE(item.mStatus);
    CAPTURE(item.mBody);
    auto result = StartAnsweredWith(HttpAnswer(item.mStatus, item.mBody));
    REQUIRE_FALSE(result);
    CHECK(base::ErrorCodeName(result.error().mCode) ==
          base::ErrorCodeName(item.mCode));
  }
  CHECK(StartAnsweredWith(HttpAnswer(409, named("busy"))).error().mField ==
        "/slots");
}

// Guards against an answer whose length and digest are made to fit it before
// the caller can check them.
TEST_CASE("a task's answer keeps the declared length and digest")
{
  auto status = StartAnsweredWith(HttpAnswer(200, kFinished));
  REQUIRE(status);
  CHECK(status->mState == TaskState::eFinished);
  CHECK(status->mRequest == RequestId{ base::AccountId("c"), "k" });
  CHECK(status->mAnswer == "x");
  CHECK(status->mAnswerBytes == 7);
  CHECK(status->mAnswerSha256 == "declared");
}

// Guards against unknown outcomes after a server closed an idle connection.
TEST_CASE("a connection that the server has closed is replaced")
{
  std::promise<void> closed;
  std::atomic<int> served = 0;
  RawServer server([&](const RawServer::Peer& aPeer) {
    aPeer.ReadRequest();
    aPeer.Write(HttpAnswer(200, kFinished));
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

// Guards against connections that stay open towards servers that are gone.
TEST_CASE("an idle connection is closed without a further call")
{
  std::promise<void> isClosed;
  RawServer server([&](const RawServer::Peer& aPeer) {
    aPeer.ReadRequest();
    aPeer.Write(HttpAnswer(200, kFinished));
    aPeer.WaitForClose();
    isClosed.set_value();
  });
  Clients clients({ .mStart = { .mIdleTime = milliseconds(10) } });
  CHECK(clients.Start(server.Address(), MakeStart("a")));
  CHECK(isClosed.get_future().wait_for(kHang) == std::future_status::ready);
}

// Guards against a connection per call, and against bytes that nobody counts
// on the link between regions.
TEST_CASE("a connection is used again, and calls and bytes are counted")
{
  std::atomic<std::size_t> received = 0;
  const std::string answer = HttpAnswer(200, kFinished);
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

// Guards against unbounded connections and threads, against a request that is
// sent after its caller has been told "not run", and against tasks that hold
// up a fence.
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
          aPeer.Write(HttpAnswer(200, R"({"epoch":6})"));
          continue;
        }
        if (++starts == 1) {
          isSent.set_value();
          mayAnswer.get_future().wait();
        }
        aPeer.Write(HttpAnswer(200, kFinished));
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

// Guards against callbacks that are lost when the clients go away.
TEST_CASE("each call is answered when the clients are destroyed")
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

// Guards against a commit conflict that looks like a failure, and against text
// that JSON cannot hold.
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

// Guards against a lost write: its answer is missing, its effect is not.
TEST_CASE("a lost answer is an unknown outcome, and the write took effect")
{
  standins::PlatformServer platform({ standins::StoreFault::eLosesAnswers });
  Clients clients({ .mPlatformAddress = *platform.Listen("127.0.0.1:0") });
  // The first answer breaks off, the second one is a 504.
  for (std::uint64_t version : { 0, 1 }) {
    auto result = clients.Commit(WriteRow(version, "x"));
    REQUIRE_FALSE(result);
    CHECK(result.error().mCode == ErrorCode::eOutcomeUnknown);
    auto rows = clients.Read("row");
    REQUIRE(rows);
    CHECK(*rows == std::vector<Row>{ { "row", version + 1, "x" } });
  }
}

// Guards against an outage that looks like an unknown outcome, or a slow store
// that looks like an outage.
TEST_CASE("a store that is down is unavailable, a slow one answers late")
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

// Guards against an object that isn't the one its digest names.
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
    aPeer.Write(HttpAnswer(200, "another object"));
  });
  Clients others({ .mPlatformAddress = wrong.Address() });
  auto result = others.Await<std::string>(
    [&](auto aDone) { others->GetObject(*digest, aDone); });
  CHECK(result.error().mCode == ErrorCode::eBadAnswer);
}

// Guards against members that are announced in a form the platform refuses.
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

// Guards against a backend server's refusal that the client reads as a run.
TEST_CASE("a backend server refuses lower epochs and repeated attempts")
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
  // An attempt id may hold characters that a path cannot.
  const auto await = [&](const char* aAttempt) {
    return clients.Await<TaskStatus>([&](auto aDone) {
      clients->AwaitTask(server, base::AttemptId(aAttempt), kWait, aDone);
    });
  };
  CHECK(await("a/1")->mState == TaskState::eFinished);
  CHECK(await("b")->mState == TaskState::eAbsent);
}

// Guards against waits that miss the end of a task, and a leaving server that
// breaks off the answer to a request in progress.
TEST_CASE("a gang's task runs after its commit, and its end ends a wait")
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
  std::thread leave([&] { backend.Drain(); });
  auto status = await(kWait);
  leave.join();
  REQUIRE(status);
  CHECK(status->mState == TaskState::eFinished);
  CHECK(status->mAnswer == "c/k");
  CHECK(status->mAnswerSha256 == base::Sha256Hex("c/k"));
  CHECK(clients.Start(address, MakeStart("b")).error().mCode ==
        ErrorCode::eShuttingDown);
}

} // namespace flamingoloom::platform
