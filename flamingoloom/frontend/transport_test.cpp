// Limits on connections and requests, and requests that are not well-formed
// HTTP.
#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <random>
#include <thread>

#include "flamingoloom/frontend/test_support.h"

namespace flamingoloom::frontend::test {
namespace {

std::string StatusLine(const std::string& aResponse)
{
  return aResponse.substr(0, aResponse.find('\r'));
}

std::size_t CountResponses(const std::string& aBytes)
{
  std::size_t count = 0;
  for (std::size_t at = aBytes.find("HTTP/1.1 "); at != std::string::npos;
       at = aBytes.find("HTTP/1.1 ", at + 1)) {
    ++count;
  }
  return count;
}

// Sends the bytes and returns all output until the server closes the
// connection.
std::string Exchange(const HttpFrontend& aFrontend, const std::string& aBytes)
{
  RawClient client(aFrontend);
  client.Send(aBytes);
  return client.ReadAll();
}

std::string PostHead(const std::string& aHeaders)
{
  return "POST /v1/requests HTTP/1.1\r\nHost: x\r\n" + aHeaders + "\r\n";
}

} // namespace

// Guards against request smuggling: behind a load balancer that shares
// connections, a second request hidden in the body of the first could be taken
// for a request of another client.
TEST_CASE("a body of ambiguous length closes the connection")
{
  auto frontend = StartFrontend();
  const std::string hidden = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  for (const std::string& bytes :
       { PostHead("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") +
           "0\r\n\r\n" + hidden,
         PostHead("Content-Length: 0\r\nContent-Length: 39\r\n") + hidden,
         PostHead("Transfer-Encoding: gzip, chunked\r\n") + hidden,
         PostHead("Content-Length: +5\r\n") + hidden,
         "GET /healthz HTTP/1.1\r\nContent-Length: 39\r\n\r\n" + hidden,
         "DELETE /v1/requests/a/k HTTP/1.1\r\nContent-Length: 39\r\n\r\n" +
           hidden }) {
    CAPTURE(bytes);
    std::string answer = Exchange(*frontend, bytes);
    CHECK(StatusLine(answer) == "HTTP/1.1 400 Bad Request");
    CHECK(CountResponses(answer) == 1);
    CHECK(answer.find("Connection: close") != std::string::npos);
  }
}

// The HTTP library responds to an invalid request line before it reads the
// body. The unread body must not be parsed as another request.
TEST_CASE("an invalid request line closes the connection")
{
  auto frontend = StartFrontend();
  const std::string rest = "Content-Length: 39\r\n\r\n"
                           "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  std::string answer = Exchange(
    *frontend, "POST /" + std::string(9000, 'p') + " HTTP/1.1\r\n" + rest);
  CHECK(StatusLine(answer).substr(0, 10) == "HTTP/1.1 4");
  CHECK(CountResponses(answer) == 1);
  answer = Exchange(*frontend, "POST /healthz\r\n" + rest);
  CHECK(StatusLine(answer) == "HTTP/1.1 400 Bad Request");
  CHECK(CountResponses(answer) == 1);
}

// Guards against a small compressed body that exhausts the memory when it is
// decompressed.
TEST_CASE("a compressed body is rejected before it is read")
{
  auto frontend = StartFrontend();
  std::string answer = Exchange(
    *frontend, PostHead("Content-Encoding: gzip\r\nContent-Length: 5\r\n"));
  CHECK(StatusLine(answer) == "HTTP/1.1 400 Bad Request");
  CHECK(answer.find("\"field\":\"Content-Encoding\"") != std::string::npos);
}

// With two keys, it would be ambiguous which request is meant.
TEST_CASE("a repeated Idempotency-Key header is rejected")
{
  auto frontend = StartFrontend();
  std::string answer = Exchange(
    *frontend, PostHead("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"));
  CHECK(StatusLine(answer) == "HTTP/1.1 400 Bad Request");
  CHECK(answer.find("Idempotency-Key") != std::string::npos);
}

TEST_CASE("a body over the limit is rejected, one at the limit is accepted")
{
  FrontendSettings settings;
  settings.mMaxBodyBytes = 1000;
  auto frontend = StartFrontend(MakeAcceptingHandler(), settings);
  const std::string start = R"({"account":"a","kind":"k","payload":")";
  std::string body = start + std::string(998 - start.size(), 'x') + "\"}";
  REQUIRE(body.size() == 1000);
  CHECK(Client(*frontend).Post("/v1/requests", body).status == 200);
  auto response = Client(*frontend).Post("/v1/requests", body + " ");
  CHECK(response.status == 413);
  CHECK(ErrorField(response) == "body");
}

// A chunked body has no length that could be checked in advance. Guards against
// a body without a size limit.
TEST_CASE("the body limit applies to chunked bodies as well")
{
  FrontendSettings settings;
  settings.mMaxBodyBytes = 1000;
  auto frontend = StartFrontend(MakeAcceptingHandler(), settings);
  const std::string body = R"({"account":"a","kind":"k","payload":""})";
  std::string head =
    PostHead("Transfer-Encoding: chunked\r\nConnection: close\r\n");
  std::string answer =
    Exchange(*frontend, head + "27\r\n" + body + "\r\n0\r\n\r\n");
  CHECK(StatusLine(answer) == "HTTP/1.1 200 OK");

  RawClient client(*frontend);
  client.Send(head);
  for (int i = 0; i < 100; ++i) {
    client.Send("3e8\r\n" + std::string(1000, 'x') + "\r\n");
  }
  CHECK(StatusLine(client.ReadAll()) != "HTTP/1.1 200 OK");
  CHECK(Client(*frontend).Get("/healthz").status == 200);
}

TEST_CASE("headers and paths over the limit are rejected")
{
  auto frontend = StartFrontend();
  std::string many = "GET /healthz HTTP/1.1\r\n";
  for (int i = 0; i < 1000; ++i) {
    many += "X-" + std::to_string(i) + ": " + std::string(50, 'v') + "\r\n";
  }
  CHECK(StatusLine(Exchange(*frontend, many + "\r\n")) ==
        "HTTP/1.1 400 Bad Request");
  std::string path = "/" + std::string(600, 'p');
  std::string answer =
    Exchange(*frontend, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(StatusLine(answer) == "HTTP/1.1 400 Bad Request");
  CHECK(answer.find("\"field\":\"path\"") != std::string::npos);
  path = "/" + std::string(9000, 'p');
  answer = Exchange(*frontend, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(StatusLine(answer).substr(0, 10) == "HTTP/1.1 4");
}

// Guards against a server that crashes or stops serving after input that is not
// HTTP.
TEST_CASE("random bytes do not disturb later requests")
{
  constexpr std::uint64_t kSeed = 20240612;
  INFO("seed " << kSeed);
  std::mt19937_64 random(kSeed);
  auto frontend = StartFrontend();
  for (int i = 0; i < 300; ++i) {
    std::string bytes(random() % 300, '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random());
    }
    RawClient client(*frontend);
    client.Send(random() % 2 == 0 ? bytes : PostHead(bytes));
    client.FinishSending();
    client.ReadAll();
  }
  CHECK(Client(*frontend).Get("/healthz").status == 200);
}

// Guards against clients that occupy threads by never finishing a request.
TEST_CASE("a request that exceeds the transfer timeout closes the connection")
{
  FrontendSettings settings;
  settings.mThreads = 1;
  settings.mTransferTimeout = std::chrono::milliseconds(40);
  auto frontend = StartFrontend(MakeAcceptingHandler(), settings);
  RawClient slow(*frontend);
  slow.Send("POST /v1/requests HTTP/1.1\r\nContent-Length: 10\r\n\r\n{");
  CHECK(StatusLine(slow.ReadAll()) == "HTTP/1.1 400 Bad Request");
}

// Guards against connections that occupy threads forever.
TEST_CASE("an idle connection is closed after the idle timeout")
{
  FrontendSettings settings;
  settings.mIdleTimeout = std::chrono::milliseconds(40);
  auto frontend = StartFrontend(MakeAcceptingHandler(), settings);
  CHECK(Exchange(*frontend, "").empty());
  std::string answer =
    Exchange(*frontend, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(StatusLine(answer) == "HTTP/1.1 200 OK");
}

// Guards against a connection that waits without a response until a thread is
// free.
TEST_CASE("a connection over the limit gets 503 while all others are busy")
{
  std::promise<control::AnswerDone> arrived;
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mSubmit = [&](control::CallerRequest, control::AnswerDone aDone) {
    arrived.set_value(std::move(aDone));
  };
  FrontendSettings settings;
  settings.mThreads = 1;
  auto frontend = StartFrontend(handler, settings);
  auto busy = std::async(std::launch::async, [&]() {
    return Client(*frontend).Post("/v1/requests",
                                  R"({"account":"a","kind":"k","payload":""})");
  });
  control::AnswerDone done = arrived.get_future().get();
  std::string answer = RawClient(*frontend).ReadAll();
  CHECK(StatusLine(answer) == "HTTP/1.1 503 Service Unavailable");
  CHECK(answer.find("\"code\":\"busy\"") != std::string::npos);
  done(FinishedAnswer({ base::AccountId("a"), "k" }));
  CHECK(busy.get().status == 200);
}

// A load balancer keeps unused connections open. Guards against a front end
// that rejects new connections because of them.
TEST_CASE("a new connection replaces the one that was idle longest")
{
  FrontendSettings settings;
  settings.mThreads = 2;
  auto frontend = StartFrontend(MakeAcceptingHandler(), settings);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 20; ++i) {
    clients.push_back(std::make_unique<RawClient>(*frontend));
    clients.back()->Send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(StatusLine(clients.back()->ReadSome()) == "HTTP/1.1 200 OK");
  }
  // The connection that was idle longest has been closed.
  CHECK(clients.front()->ReadAll().empty());
}

TEST_CASE("many pipelined requests are served on one connection")
{
  auto frontend = StartFrontend();
  RawClient client(*frontend);
  std::string requests;
  for (int i = 0; i < 50; ++i) {
    requests += "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  }
  client.Send(requests +
              "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK(CountResponses(client.ReadAll()) == 51);
}

// The HTTP library would read the body until the client closes the connection,
// which the client does only after the response.
TEST_CASE("a POST without a length has an empty body and does not block")
{
  auto frontend = StartFrontend();
  std::string answer = Exchange(*frontend, PostHead("Connection: close\r\n"));
  CHECK(StatusLine(answer) == "HTTP/1.1 400 Bad Request");
  CHECK(answer.find("\"field\":\"body\"") != std::string::npos);
  answer = Exchange(
    *frontend, "DELETE /v1/requests/a/k HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(StatusLine(answer) == "HTTP/1.1 200 OK");
}

// Guards against partial responses, which a client would take for damaged ones.
TEST_CASE("ranges and compression are not applied to responses")
{
  auto frontend = StartFrontend();
  auto response = Client(*frontend).Get(
    "/healthz", { { "Range", "bytes=0-3" }, { "Accept-Encoding", "gzip" } });
  CHECK(response.status == 200);
  CHECK(response.body == "{\"healthy\":true}");
  CHECK_FALSE(response.has_header("Content-Encoding"));
}

TEST_CASE("an address that cannot be bound is an error")
{
  auto frontend = StartFrontend();
  FrontendSettings settings;
  settings.mListen = frontend->Address();
  auto second = HttpFrontend::Start(settings, MakeAcceptingHandler());
  REQUIRE_FALSE(second);
  CHECK(second.error().mCode == base::ErrorCode::eUnavailable);
  settings.mListen = "localhost:0";
  auto third = HttpFrontend::Start(settings, MakeAcceptingHandler());
  REQUIRE_FALSE(third);
  CHECK(third.error().mCode == base::ErrorCode::eInvalid);
}

} // namespace flamingoloom::frontend::test
