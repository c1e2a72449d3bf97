// Planned stop of the front end.
#include <doctest/doctest.h>

#include <future>
#include <thread>

#include "flamingoloom/frontend/test_support.h"

namespace flamingoloom::frontend::test {
namespace {

constexpr const char* kBody = R"({"account":"a","kind":"k","payload":""})";

// Larger than the buffers of a loopback connection, so that sending the
// answer takes several steps.
constexpr std::size_t kAnswerBytes = std::size_t{ 8 } << 20;

} // namespace

// Guards P8: a planned stop interrupts no request in progress.
TEST_CASE("a request in progress gets its whole answer during shutdown")
{
  std::promise<control::AnswerDone> arrived;
  FrontendHandler handler = PlainHandler();
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
  auto refused = Client(*frontend).Post("/v1/requests", kBody);
  CHECK(refused.status == 503);
  CHECK(ErrorCode(refused) == "leaving");
  CHECK(refused.get_header_value("Connection") == "close");
  CHECK(ErrorCode(Client(*frontend).Get("/v1/jobs")) == "leaving");

  control::CallerAnswer answer = FinishedAnswer({ base::AccountId("a"), "k" });
  answer.mAnswer = std::string(kAnswerBytes, 'x');
  done(answer);
  CHECK(frontend->WaitUntilIdle(std::chrono::seconds(20)));
  frontend.reset();
  auto whole = response.get();
  CHECK(whole.status == 200);
  CHECK(Body(whole)["answerBytes"] == kAnswerBytes);
  CHECK(Body(whole)["answer"].get<std::string>().size() == kAnswerBytes);
}

TEST_CASE("a front end without requests is idle at once and stops at once")
{
  auto frontend = StartFrontend();
  Client client(*frontend);
  CHECK(client.Get("/healthz").status == 200);
  frontend->BeginShutdown();
  CHECK(frontend->WaitUntilIdle(std::chrono::milliseconds(0)));
  // The idle connection of the client must not delay the stop.
  auto start = std::chrono::steady_clock::now();
  frontend.reset();
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
}

TEST_CASE("a stop without BeginShutdown still sends the answers in progress")
{
  std::promise<control::AnswerDone> arrived;
  FrontendHandler handler = PlainHandler();
  handler.mSubmit = [&](control::CallerRequest, control::AnswerDone aDone) {
    arrived.set_value(std::move(aDone));
  };
  auto frontend = StartFrontend(handler);
  auto response =
    std::async(std::launch::async, [client = Client(*frontend)]() mutable {
      return client.Post("/v1/requests", kBody);
    });
  control::AnswerDone done = arrived.get_future().get();
  std::thread answering([&]() {
    done(FinishedAnswer({ base::AccountId("a"), "k" }));
  });
  frontend.reset();
  answering.join();
  CHECK(response.get().status == 200);
}

} // namespace flamingoloom::frontend::test
