// Requests of callers over real connections.
#include <doctest/doctest.h>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/frontend/json_codec.h"
#include "flamingoloom/frontend/test_support.h"

namespace flamingoloom::frontend::test {
namespace {

using control::AnswerDone;
using control::CallerAnswer;
using control::CallerRequest;
using control::RequestState;

constexpr const char* kQuote =
  R"({"account":"blotting","kind":"quote","payload":"A4 x 100","waitMs":500})";

// Returns the HTTP response to a submission for which the handler returns
// aAnswer.
httplib::Response Submit(base::Expected<CallerAnswer> aAnswer)
{
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mSubmit = [aAnswer](CallerRequest, AnswerDone aDone) {
    aDone(aAnswer);
  };
  auto frontend = StartFrontend(handler);
  return Client(*frontend).Post("/v1/requests", kQuote);
}

CallerAnswer AnswerInState(RequestState aState)
{
  CallerAnswer answer = FinishedAnswer({ base::AccountId("blotting"), "k" });
  answer.mState = aState;
  return answer;
}

} // namespace

// Guards against a field of the body, or the key of the header, that is lost or
// swapped before the handler gets it.
TEST_CASE("a submission reaches the handler unchanged")
{
  CallerRequest received;
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mSubmit = [&](CallerRequest aRequest, AnswerDone aDone) {
    received = aRequest;
    aDone(FinishedAnswer({ aRequest.mAccount, aRequest.mKey }));
  };
  auto frontend = StartFrontend(handler);
  auto response = Client(*frontend).Post(
    "/v1/requests", kQuote, { { "Idempotency-Key", "order-7:1" } });
  CHECK(response.status == 200);
  CHECK(received == CallerRequest{ base::AccountId("blotting"),
                                   base::KindId("quote"),
                                   "order-7:1",
                                   "A4 x 100",
                                   std::chrono::milliseconds(500) });
}

// Guards property P4: the caller can check that the answer is complete and
// belongs to its request.
TEST_CASE("an answer has the length, state, ran and digest fields")
{
  auto response = Submit(AnswerInState(RequestState::eFinished));
  CHECK(response.get_header_value("Content-Length") ==
        std::to_string(response.body.size()));
  nlohmann::json body = Body(response);
  CHECK(body["state"] == "finished");
  CHECK(body["ran"] == "yes");
  CHECK(body["request"] == "blotting/k");
  CHECK(body["attempt"] == "attempt-1");
  CHECK(body["answer"] == "42 EUR");
  CHECK(body["answerBytes"] == 6);
  CHECK(body["answerSha256"] == base::Sha256Hex("42 EUR"));
  CHECK(body["server"] == "s1");
  CHECK(body["dataCentre"] == "dc-1");
}

// Clients and load balancers decide by the status code whether to retry.
TEST_CASE("each state of a request has its status code")
{
  CHECK(Submit(AnswerInState(RequestState::eFinished)).status == 200);
  CHECK(Submit(AnswerInState(RequestState::eFailed)).status == 200);
  CHECK(Submit(AnswerInState(RequestState::eCancelled)).status == 200);
  CHECK(Submit(AnswerInState(RequestState::ePending)).status == 202);
  CHECK(Submit(AnswerInState(RequestState::eRefused)).status == 429);
  CHECK(Submit(AnswerInState(RequestState::eUnknown)).status == 503);
}

// Guards against an error response without the details that a caller needs to
// find the cause.
TEST_CASE("an error of the handler names code, step, field and peer")
{
  auto response = Submit(tl::unexpected(base::Error{ base::ErrorCode::eConflict,
                                                     "accept request",
                                                     "table",
                                                     "other body",
                                                     "f" }));
  CHECK(response.status == 409);
  nlohmann::json error = Body(response)["error"];
  CHECK(error["code"] == "conflict");
  CHECK(error["step"] == "accept request");
  CHECK(error["peer"] == "table");
  CHECK(error["field"] == "f");
  CHECK(error["message"] == "other body");
}

TEST_CASE("error codes have their status codes")
{
  using base::ErrorCode;
  auto status = [](ErrorCode aCode) {
    return Submit(tl::unexpected(base::Error{ aCode, "", "", "", "" })).status;
  };
  CHECK(status(ErrorCode::eInvalid) == 400);
  CHECK(status(ErrorCode::eDenied) == 401);
  CHECK(status(ErrorCode::eNotFound) == 404);
  CHECK(status(ErrorCode::eBusy) == 429);
  CHECK(status(ErrorCode::eOutcomeUnknown) == 503);
  CHECK(status(ErrorCode::eUnavailable) == 503);
  CHECK(status(ErrorCode::eFailed) == 500);
}

// Guards against a damaged answer that reaches the caller as a valid one.
TEST_CASE("an answer that does not match its digest is an error")
{
  CallerAnswer answer = AnswerInState(RequestState::eFinished);
  answer.mAnswerSha256 = base::Sha256Hex("43 EUR");
  auto response = Submit(answer);
  CHECK(response.status == 500);
  CHECK(ErrorCode(response) == "bad_answer");

  answer = AnswerInState(RequestState::eFinished);
  answer.mAnswer = "\xff\xfe";
  CHECK(ErrorCode(Submit(answer)) == "bad_answer");
}

// Guards against invalid input that reaches the handler, and against an error
// that does not say which field is wrong.
TEST_CASE("invalid submissions are rejected and the error names the field")
{
  struct Sample
  {
    std::string mBody;
    std::string mField;
  };
  std::string longName(65, 'a');
  const std::vector<Sample> samples = {
    { "", "body" },
    { "{", "body" },
    { "[]", "body" },
    { "\xff", "body" },
    { std::string(200, '['), "body" },
    { R"({"kind":"k","payload":""})", "account" },
    { R"({"account":7,"kind":"k","payload":""})", "account" },
    { R"({"account":"","kind":"k","payload":""})", "account" },
    { R"({"account":"a/b","kind":"k","payload":""})", "account" },
    { R"({"account":")" + longName + R"(","kind":"k","payload":""})",
      "account" },
    { R"({"account":"a","payload":""})", "kind" },
    { R"({"account":"a","kind":null,"payload":""})", "kind" },
    { R"({"account":"a","kind":"k"})", "payload" },
    { R"({"account":"a","kind":"k","payload":{}})", "payload" },
    { R"({"account":"a","kind":"k","payload":"","waitMs":-1})", "waitMs" },
    { R"({"account":"a","kind":"k","payload":"","waitMs":1.5})", "waitMs" },
    { R"({"account":"a","kind":"k","payload":"","waitMs":"1"})", "waitMs" },
    { R"({"account":"a","kind":"k","payload":"","waitMs":60001})", "waitMs" },
    { R"({"account":"a","kind":"k","payload":"","prio":1})", "prio" },
  };
  FrontendHandler handler = MakeAcceptingHandler();
  bool reached = false;
  handler.mSubmit = [&](CallerRequest, AnswerDone aDone) {
    reached = true;
    aDone(CallerAnswer{});
  };
  auto frontend = StartFrontend(handler);
  Client client(*frontend);
  for (const Sample& sample : samples) {
    CAPTURE(sample.mBody);
    auto response = client.Post("/v1/requests", sample.mBody);
    CHECK(response.status == 400);
    CHECK(ErrorField(response) == sample.mField);
    CHECK(Body(response)["error"]["peer"] == "caller");
    CHECK_FALSE(Body(response)["error"]["step"] == "");
  }
  CHECK_FALSE(reached);
}

TEST_CASE("invalid headers and parameters are rejected and named in the error")
{
  auto frontend = StartFrontend();
  Client client(*frontend);
  auto keyField = [&](const std::string& aKey) {
    return ErrorField(
      client.Post("/v1/requests", kQuote, { { "Idempotency-Key", aKey } }));
  };
  CHECK(keyField("a b") == "Idempotency-Key");
  CHECK(keyField("a/b") == "Idempotency-Key");
  CHECK(keyField(std::string(129, 'k')) == "Idempotency-Key");
  CHECK(ErrorField(client.Post("/v1/requests", kQuote, {}, "text/plain")) ==
        "Content-Type");
  CHECK(ErrorField(client.Post("/v1/requests?x=1", kQuote)) == "x");
  CHECK(ErrorField(client.Get("/v1/requests/a/k?waitMs=soon")) == "waitMs");
  CHECK(ErrorField(client.Get("/v1/requests/a/k?waitMs=60001")) == "waitMs");
  CHECK(ErrorField(client.Get("/v1/requests/a/k?wait=1")) == "wait");
  CHECK(ErrorField(client.Get("/v1/requests/a")) == "key");
  CHECK(ErrorField(client.Get("/v1/requests/a/b/c")) == "key");
  CHECK(ErrorField(client.Get("/v1/requests/a%20b/c")) == "account");
  CHECK(ErrorField(client.Delete("/v1/requests/a/")) == "key");
}

// Guards against a path that is split at the wrong place, so that another
// request is awaited or cancelled.
TEST_CASE("await and cancel pass the request id to the handler")
{
  base::RequestId awaited;
  base::RequestId cancelled;
  base::Duration wait{};
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mAwait =
    [&](base::RequestId aId, base::Duration aWait, AnswerDone aDone) {
      awaited = aId;
      wait = aWait;
      aDone(AnswerInState(RequestState::ePending));
    };
  handler.mCancel = [&](base::RequestId aId, AnswerDone aDone) {
    cancelled = aId;
    aDone(AnswerInState(RequestState::eCancelled));
  };
  auto frontend = StartFrontend(handler);
  Client client(*frontend);
  CHECK(client.Get("/v1/requests/acc/key~1?waitMs=250").status == 202);
  CHECK(awaited == base::RequestId{ base::AccountId("acc"), "key~1" });
  CHECK(wait == std::chrono::milliseconds(250));
  CHECK(client.Delete("/v1/requests/acc/key-2").status == 200);
  CHECK(cancelled == base::RequestId{ base::AccountId("acc"), "key-2" });
}

// Guards against requests that bypass the check of the key, and against keys
// that leak into error messages.
TEST_CASE("access depends on the caller's key, which is in no response")
{
  FrontendHandler handler = MakeAcceptingHandler();
  bool reached = false;
  handler.mSubmit = [&](CallerRequest, AnswerDone aDone) {
    reached = true;
    aDone(AnswerInState(RequestState::eFinished));
  };
  handler.mAuthorize =
    [](Role aRole,
       const base::AccountId& aAccount,
       const std::string& aKey) -> base::Expected<platform::Nothing> {
    if (aRole == Role::eCaller && aAccount.Value() == "blotting" &&
        aKey == "secret-1") {
      return platform::Nothing{};
    }
    return base::MakeError(
      base::ErrorCode::eDenied, "check access", "blotting", "wrong key");
  };
  auto frontend = StartFrontend(handler);
  Client client(*frontend);
  auto post = [&](const std::string& aHeader) {
    return client.Post(
      "/v1/requests", kQuote, { { "Authorization", aHeader } });
  };
  CHECK(client.Post("/v1/requests", kQuote).status == 401);
  auto denied = post("Bearer secret-2");
  CHECK(denied.status == 401);
  CHECK(denied.get_header_value("WWW-Authenticate") == "Bearer");
  CHECK(denied.body.find("secret") == std::string::npos);
  auto malformed = post("Basic secret-1");
  CHECK(malformed.status == 401);
  CHECK(ErrorField(malformed) == "Authorization");
  CHECK(malformed.body.find("secret") == std::string::npos);
  CHECK(client.Get("/v1/requests/blotting/k").status == 401);
  CHECK(client.Delete("/v1/requests/blotting/k").status == 401);
  CHECK(client.Get("/v1/config").status == 401);
  CHECK_FALSE(reached);
  CHECK(post("Bearer secret-1").status == 200);
  CHECK(reached);
}

// Guards against a handler without a response that blocks a thread forever.
TEST_CASE("a request without a response of the handler is outcome_unknown")
{
  std::vector<AnswerDone> heldCallbacks;
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mSubmit = [&](CallerRequest, AnswerDone aDone) {
    heldCallbacks.push_back(std::move(aDone));
  };
  handler.mAwait = [](base::RequestId, base::Duration, AnswerDone) {};
  FrontendSettings settings;
  settings.mHandlerTimeout = std::chrono::milliseconds(30);
  settings.mDefaultWait = std::chrono::milliseconds(30);
  auto frontend = StartFrontend(handler, settings);
  Client client(*frontend);
  auto timedOut =
    client.Post("/v1/requests", R"({"account":"a","kind":"k","payload":""})");
  CHECK(timedOut.status == 503);
  CHECK(ErrorCode(timedOut) == "outcome_unknown");
  auto dropped = client.Get("/v1/requests/a/k");
  CHECK(dropped.status == 503);
  CHECK(ErrorCode(dropped) == "outcome_unknown");
  // A response after the timeout is ignored.
  heldCallbacks.front()(AnswerInState(RequestState::eFinished));
}

// Guards against a data race between the waiting thread and the callback, and
// against a second call of the callback that replaces the first value.
TEST_CASE("the handler may respond on another thread")
{
  std::vector<std::thread> threads;
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mSubmit = [&](CallerRequest aRequest, AnswerDone aDone) {
    threads.emplace_back([aRequest, aDone]() {
      aDone(FinishedAnswer({ aRequest.mAccount, aRequest.mPayload }));
      aDone(AnswerInState(RequestState::eFailed));
    });
  };
  auto frontend = StartFrontend(handler);
  Client client(*frontend);
  for (int i = 0; i < 20; ++i) {
    std::string payload = "p" + std::to_string(i);
    auto response = client.Post(
      "/v1/requests",
      *EncodeSubmission(
        { base::AccountId("a"), base::KindId("k"), "", payload, {} }));
    CHECK(Body(response)["request"] == "a/" + payload);
    CHECK(Body(response)["state"] == "finished");
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

} // namespace flamingoloom::frontend::test
