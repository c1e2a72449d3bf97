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

// The answer of the front end when the handler answers aAnswer.
httplib::Response Submit(base::Expected<CallerAnswer> aAnswer)
{
  FrontendHandler handler = PlainHandler();
  handler.mSubmit = [aAnswer](CallerRequest, AnswerDone aDone) {
    aDone(aAnswer);
  };
  auto frontend = StartFrontend(handler);
  return Client(*frontend).Post("/v1/requests", kQuote);
}

CallerAnswer AnswerIn(RequestState aState)
{
  CallerAnswer answer = FinishedAnswer({ base::AccountId("blotting"), "k" });
  answer.mState = aState;
  return answer;
}

} // namespace

TEST_CASE("a submission reaches the handler unchanged")
{
  CallerRequest seen;
  FrontendHandler handler = PlainHandler();
  handler.mSubmit = [&](CallerRequest aRequest, AnswerDone aDone) {
    seen = aRequest;
    aDone(FinishedAnswer({ aRequest.mAccount, aRequest.mKey }));
  };
  auto frontend = StartFrontend(handler);
  auto response = Client(*frontend).Post(
    "/v1/requests", kQuote, { { "Idempotency-Key", "order-7:1" } });
  CHECK(response.status == 200);
  CHECK(seen == CallerRequest{ base::AccountId("blotting"),
                               base::KindId("quote"),
                               "order-7:1",
                               "A4 x 100",
                               std::chrono::milliseconds(500) });
}

// Guards P4: the caller can check that the answer is whole and its own.
TEST_CASE("an answer is sent complete with length, state, ran and digest")
{
  auto response = Submit(AnswerIn(RequestState::eFinished));
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

TEST_CASE("each state of a request has its status code")
{
  CHECK(Submit(AnswerIn(RequestState::eFinished)).status == 200);
  CHECK(Submit(AnswerIn(RequestState::eFailed)).status == 200);
  CHECK(Submit(AnswerIn(RequestState::eCancelled)).status == 200);
  CHECK(Submit(AnswerIn(RequestState::ePending)).status == 202);
  CHECK(Submit(AnswerIn(RequestState::eRefused)).status == 429);
  CHECK(Submit(AnswerIn(RequestState::eUnknown)).status == 503);
}

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

// A damaged answer must not reach a caller as a good one.
TEST_CASE("an answer that does not match its digest is an error")
{
  CallerAnswer answer = AnswerIn(RequestState::eFinished);
  answer.mAnswerSha256 = base::Sha256Hex("43 EUR");
  auto response = Submit(answer);
  CHECK(response.status == 500);
  CHECK(ErrorCode(response) == "bad_answer");

  answer = AnswerIn(RequestState::eFinished);
  answer.mAnswer = "\xff\xfe";
  CHECK(ErrorCode(Submit(answer)) == "bad_answer");
}

TEST_CASE("bad submissions are refused and the field is named")
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
  FrontendHandler handler = PlainHandler();
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

TEST_CASE("bad headers and parameters are refused and named")
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

TEST_CASE("asking again and cancelling name the request")
{
  base::RequestId awaited;
  base::RequestId cancelled;
  base::Duration wait{};
  FrontendHandler handler = PlainHandler();
  handler.mAwait =
    [&](base::RequestId aId, base::Duration aWait, AnswerDone aDone) {
      awaited = aId;
      wait = aWait;
      aDone(AnswerIn(RequestState::ePending));
    };
  handler.mCancel = [&](base::RequestId aId, AnswerDone aDone) {
    cancelled = aId;
    aDone(AnswerIn(RequestState::eCancelled));
  };
  auto frontend = StartFrontend(handler);
  Client client(*frontend);
  CHECK(client.Get("/v1/requests/acc/key~1?waitMs=250").status == 202);
  CHECK(awaited == base::RequestId{ base::AccountId("acc"), "key~1" });
  CHECK(wait == std::chrono::milliseconds(250));
  CHECK(client.Delete("/v1/requests/acc/key-2").status == 200);
  CHECK(cancelled == base::RequestId{ base::AccountId("acc"), "key-2" });
}

TEST_CASE("the key of the caller decides and appears nowhere")
{
  FrontendHandler handler = PlainHandler();
  bool reached = false;
  handler.mSubmit = [&](CallerRequest, AnswerDone aDone) {
    reached = true;
    aDone(AnswerIn(RequestState::eFinished));
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

// A handler without an answer must not hold a thread for ever.
TEST_CASE("a request without an answer of the handler is unknown")
{
  std::vector<AnswerDone> held;
  FrontendHandler handler = PlainHandler();
  handler.mSubmit = [&](CallerRequest, AnswerDone aDone) {
    held.push_back(std::move(aDone));
  };
  handler.mAwait = [](base::RequestId, base::Duration, AnswerDone) {};
  FrontendSettings settings;
  settings.mHandlerTimeout = std::chrono::milliseconds(30);
  settings.mDefaultWait = std::chrono::milliseconds(30);
  auto frontend = StartFrontend(handler, settings);
  Client client(*frontend);
  auto late =
    client.Post("/v1/requests", R"({"account":"a","kind":"k","payload":""})");
  CHECK(late.status == 503);
  CHECK(ErrorCode(late) == "outcome_unknown");
  auto dropped = client.Get("/v1/requests/a/k");
  CHECK(dropped.status == 503);
  CHECK(ErrorCode(dropped) == "outcome_unknown");
  // A late answer is ignored.
  held.front()(AnswerIn(RequestState::eFinished));
}

TEST_CASE("the answer of the handler may come from another thread")
{
  std::vector<std::thread> threads;
  FrontendHandler handler = PlainHandler();
  handler.mSubmit = [&](CallerRequest aRequest, AnswerDone aDone) {
    threads.emplace_back([aRequest, aDone]() {
      aDone(FinishedAnswer({ aRequest.mAccount, aRequest.mPayload }));
      aDone(AnswerIn(RequestState::eFailed));
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
