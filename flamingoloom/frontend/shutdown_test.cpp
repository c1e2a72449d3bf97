// Graceful shutdown of the front end.
#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "flamingoloom/frontend/test_support.h"

namespace flamingoloom::frontend::test {
namespace {

constexpr const char* kBody = R"({"account":"a","kind":"k","payload":""})";

// Larger than the socket buffers of a loopback connection, so that sending the
// response takes several system calls.
constexpr std::size_t kAnswerBytes = std::size_t{ 8 } << 20;

} // namespace

// Guards property P8: a graceful shutdown interrupts no request in progress.
// The front end could close the connection before the whole response is sent.
TEST_CASE("a request in progress gets its complete response during shutdown")
{
  std::promise<control::AnswerDone> arrived;
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mSubmit = [&](control::CallerRequest, control::AnswerDone aDone) {
    arrived.set_value(std::move(aDone));
  };
  auto frontend = StartFrontend(handler);
  auto response = std::async(std::launch::async, [&]() {
    return Client(*frontend).Post("/v1/requests", kBody);
  });
  control::AnswerDone done = arrived.get_future().get();
  Client idle(*frontend);
  CHECK(idle.Get("/readyz").status == 200);

  frontend->BeginShutdown();
  CHECK_FALSE(frontend->WaitUntilIdle(std::chrono::milliseconds(5)));
  auto ready = idle.Get("/readyz");
  CHECK(ready.status == 503);
  CHECK(ErrorCode(ready) == "leaving");
  CHECK(Client(*frontend).Get("/healthz").status == 200);
  CHECK(Client(*frontend).Get("/metrics").status == 200);
  auto rejected = Client(*frontend).Post("/v1/requests", kBody);
  CHECK(rejected.status == 503);
  CHECK(ErrorCode(rejected) == "leaving");
  CHECK(rejected.get_header_value("Connection") == "close");
  CHECK(ErrorCode(Client(*frontend).Get("/v1/jobs")) == "leaving");

  control::CallerAnswer answer = FinishedAnswer({ base::AccountId("a"), "k" });
  answer.mAnswer = std::string(kAnswerBytes, 'x');
  done(answer);
  CHECK(frontend->WaitUntilIdle(std::chrono::seconds(20)));
  frontend.reset();
  auto completed = response.get();
  CHECK(completed.status == 200);
  CHECK(Body(completed)["answerBytes"] == kAnswerBytes);
  CHECK(Body(completed)["answer"].get<std::string>().size() == kAnswerBytes);
}

// Guards against a shutdown that waits for idle keep-alive connections.
TEST_CASE("a front end without requests is idle and stops without a delay")
{
  auto frontend = StartFrontend();
  Client client(*frontend);
  CHECK(client.Get("/healthz").status == 200);
  frontend->BeginShutdown();
  CHECK(frontend->WaitUntilIdle(std::chrono::milliseconds(0)));
  // The idle connection of the client must not delay the destructor.
  auto start = std::chrono::steady_clock::now();
  frontend.reset();
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
}

// Guards against a destructor that closes connections or destroys the handler
// while a request is in progress.
TEST_CASE("destruction without BeginShutdown completes requests in progress")
{
  std::promise<control::AnswerDone> arrived;
  FrontendHandler handler = MakeAcceptingHandler();
  handler.mSubmit = [&](control::CallerRequest, control::AnswerDone aDone) {
    arrived.set_value(std::move(aDone));
  };
  auto frontend = StartFrontend(handler);
  auto response =
    std::async(std::launch::async, [client = Client(*frontend)]() mutable {
      return client.Post("/v1/requests", kBody);
    });
  control::AnswerDone done = arrived.get_future().get();
  std::thread handlerThread([&]() {
    done(FinishedAnswer({ base::AccountId("a"), "k" }));
  });
  frontend.reset();
  handlerThread.join();
  CHECK(response.get().status == 200);
}

} // namespace flamingoloom::frontend::test
