#include <doctest/doctest.h>

#include "flamingoloom/base/digest.h"
#include "flamingoloom/cli/fake_instance.h"
#include "flamingoloom/cli/run_in_process.h"

namespace flamingoloom::cli {
namespace {

using nlohmann::json;

json Answer(const std::string& aState, const std::string& aPayload = "")
{
  return { { "state", aState },
           { "ran", aState == "refused" ? "no" : "yes" },
           { "request", "order-17" },
           { "attempt", "a1" },
           { "answer", aPayload },
           { "answerBytes", aPayload.size() },
           { "answerSha256", base::Sha256Hex(aPayload) },
           { "server", "s1" },
           { "dataCentre", "dc-1" },
           { "reason", "" } };
}

json Error(const std::string& aCode, const std::string& aMessage)
{
  return { { "error",
             { { "code", aCode },
               { "step", "read request" },
               { "field", "" },
               { "peer", "i1" },
               { "message", aMessage } } } };
}

std::vector<std::string> SubmitLine()
{
  return { "submit",    "--account",      "blekhus", "--kind", "quote",
           "--payload", "{\"sheets\":3}", "--wait",  "2 s" };
}

} // namespace

// Guards against a request without a field that the instance needs.
TEST_CASE("submit sends the request and prints the answer")
{
  FakeInstance instance;
  instance.AddResponse(200, Answer("finished", "12.50 kr"));
  auto line = SubmitLine();
  line.insert(line.end(), { "--idempotency-key", "order-17" });
  auto result = RunWithServers({ instance.Address() }, line);
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.OutHas("12.50 kr"));
  REQUIRE(instance.Requests().size() == 1);
  const auto request = instance.Requests().front();
  CHECK(request.mMethod == "POST");
  CHECK(request.mPath == "/v1/requests");
  CHECK(request.mIdempotencyKey == "order-17");
  CHECK(json::parse(request.mBody) == json{ { "account", "blekhus" },
                                            { "kind", "quote" },
                                            { "payload", "{\"sheets\":3}" },
                                            { "waitMs", 2000 } });
}

// Guards against a caller that cannot query the request again because it does
// not know the generated idempotency key.
TEST_CASE("submit without a key prints the key that it sends")
{
  FakeInstance instance;
  instance.AddResponse(200, Answer("finished", "x"));
  auto result = RunWithServers({ instance.Address() }, SubmitLine());
  const auto key = instance.Requests().at(0).mIdempotencyKey;
  CHECK(!key.empty());
  CHECK(result.ErrHas("idempotency key: " + key));
}

// Guards against a failed or pending request whose exit code a script treats as
// success.
TEST_CASE("submit returns the exit code of the outcome")
{
  const std::vector<std::tuple<int, json, ExitCode>> outcomes = {
    { 200, Answer("failed"), ExitCode::eFailed },
    { 200, Answer("cancelled"), ExitCode::eFailed },
    { 202, Answer("pending"), ExitCode::ePending },
    { 429, Answer("refused"), ExitCode::eRefused },
    { 503, Answer("unknown"), ExitCode::eUnknown },
    { 400, Error("invalid", "unknown kind"), ExitCode::eInvalid },
    { 401, Error("denied", "wrong key"), ExitCode::eDenied },
    { 409, Error("conflict", "another body"), ExitCode::eConflict },
    { 500, json::object(), ExitCode::eUnknown },
  };
  for (const auto& [status, body, code] : outcomes) {
    FakeInstance instance;
    instance.AddResponse(status, body);
    auto result = RunWithServers({ instance.Address() }, SubmitLine());
    CHECK(result.mCode == code);
    if (code != ExitCode::eFailed) {
      CHECK(result.ErrHas("next: "));
    }
  }
}

// Guards against a truncated answer, or the answer of another request, that is
// printed as the answer (P4).
TEST_CASE("submit rejects an answer with a wrong length or digest")
{
  auto wrongLength = Answer("finished", "complete");
  wrongLength["answerBytes"] = 7;
  auto wrongDigest = Answer("finished", "complete");
  wrongDigest["answer"] = "completE";
  auto noDigest = Answer("finished", "complete");
  noDigest.erase("answerSha256");
  for (const auto& body : { wrongLength, wrongDigest, noDigest }) {
    FakeInstance instance;
    instance.AddResponse(200, body);
    auto result = RunWithServers({ instance.Address() }, SubmitLine());
    CHECK(result.mCode == ExitCode::eUnknown);
    CHECK(result.mOut.empty());
  }
}

// Guards against a payload that JSON cannot represent, which would make the
// serializer throw.
TEST_CASE("submit rejects a payload that is not UTF-8, or is given twice")
{
  ScratchFolder folder;
  auto file = folder.Write("payload", "\xff\xfe");
  FakeInstance instance;
  instance.AddResponse(200, Answer("finished"));
  auto binary = RunWithServers(
    { instance.Address() },
    { "submit", "--account", "a", "--kind", "k", "--payload-file", file });
  CHECK(binary.mCode == ExitCode::eInvalid);
  auto line = SubmitLine();
  line.insert(line.end(), { "--payload-file", file });
  CHECK(RunWithServers({ instance.Address() }, line).mCode ==
        ExitCode::eInvalid);
  CHECK(instance.Requests().empty());
}

// Guards against a key with "/" or "?" that changes the path of the HTTP
// request.
TEST_CASE("status percent-encodes the idempotency key in the path")
{
  FakeInstance instance;
  instance.AddResponse(202, Answer("pending"));
  auto result =
    RunWithServers({ instance.Address() }, { "status", "blekhus", "a/b?c d" });
  CHECK(result.mCode == ExitCode::ePending);
  CHECK(result.ErrHas("next: flamingoloom wait blekhus a/b?c d"));
  CHECK(instance.Requests().at(0).mPath ==
        "/v1/requests/blekhus/a%2Fb%3Fc%20d?waitMs=0");
}

// Guards against an unknown key that is reported like a request that did not
// run.
TEST_CASE("status of an unknown request is an error")
{
  FakeInstance instance;
  instance.AddResponse(404, Error("not_found", "no such request"));
  auto result =
    RunWithServers({ instance.Address() }, { "status", "blekhus", "x" });
  CHECK(result.mCode == ExitCode::eNotFound);
  CHECK(result.ErrHas("no such request"));
}

// Guards against a wait that returns at the first "pending".
TEST_CASE("wait polls until the request has completed")
{
  FakeInstance instance;
  instance.AddResponse(202, Answer("pending"));
  instance.AddResponse(202, Answer("pending"));
  instance.AddResponse(200, Answer("finished", "done"));
  auto result = RunWithServers({ instance.Address() },
                               { "wait", "blekhus", "x", "--timeout", "30 s" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.OutHas("done"));
  CHECK(instance.Requests().size() == 3);
}

// Guards against a wait that never returns when the request stays pending.
TEST_CASE("wait returns after its timeout")
{
  FakeInstance instance;
  instance.AddResponse(202, Answer("pending"));
  auto result = RunWithServers(
    { instance.Address() }, { "wait", "blekhus", "x", "--timeout", "300 ms" });
  CHECK(result.mCode == ExitCode::ePending);
}

// Guards against the exit code of a failed request when the cancellation
// succeeded.
TEST_CASE("cancel sends DELETE, and is done when the request is cancelled")
{
  FakeInstance instance;
  instance.AddResponse(200, Answer("cancelled"));
  auto result =
    RunWithServers({ instance.Address() }, { "cancel", "blekhus", "x" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(instance.Requests().at(0).mMethod == "DELETE");
}

// Guards against a caller that takes a request for cancelled while it still
// runs.
TEST_CASE("cancel reports pending while the request still runs")
{
  FakeInstance instance;
  instance.AddResponse(202, Answer("pending"));
  CHECK(RunWithServers({ instance.Address() }, { "cancel", "blekhus", "x" })
          .mCode == ExitCode::ePending);
}

} // namespace flamingoloom::cli
