#include <doctest/doctest.h>

#include "flamingoloom/cli/fake_instance.h"
#include "flamingoloom/cli/run_in_process.h"
#include "flamingoloom/config/configuration_json.h"

namespace flamingoloom::cli {
namespace {

using nlohmann::json;

const std::vector<std::string> kSubmit = {
  "submit", "--account", "a", "--kind", "k", "--idempotency-key", "key-1"
};

json Finished()
{
  return {
    { "state", "finished" },
    { "answer", "" },
    { "answerBytes", 0 },
    { "answerSha256",
      "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855" }
  };
}

} // namespace

// Guards against a command that fails because one of the given instances is
// down, although another one could serve it.
TEST_CASE("the client fails over to the next instance when one is unreachable")
{
  FakeInstance instance;
  instance.AddResponse(200, { { "jobs", json::array() } });
  auto result =
    RunWithServers({ UnreachableAddress(), instance.Address() }, { "jobs" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(instance.Requests().size() == 1);
}

// Guards against the exit code for "nothing took effect" when the request may
// have taken effect: the first instance received it and closed the connection
// without a response, and the second was unreachable.
TEST_CASE("exit codes distinguish an unreachable instance from a lost response")
{
  UnresponsiveInstance unresponsive;
  CHECK(RunWithServers({ UnreachableAddress() }, { "jobs" }).mCode ==
        ExitCode::eUnreachable);
  CHECK(
    RunWithServers({ unresponsive.Address(), UnreachableAddress() }, kSubmit)
      .mCode == ExitCode::eUnknown);
}

// Guards against a request that runs twice because its response was lost (P6):
// the retry must carry the same key, so that the instance detects the
// duplicate.
TEST_CASE("a request is retried with the same idempotency key")
{
  UnresponsiveInstance unresponsive;
  FakeInstance instance;
  instance.AddResponse(200, Finished());
  auto result =
    RunWithServers({ unresponsive.Address(), instance.Address() }, kSubmit);
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(unresponsive.Requests() == 1);
  REQUIRE(instance.Requests().size() == 1);
  CHECK(instance.Requests()[0].mIdempotencyKey == "key-1");
}

// Guards against a change that is applied twice, or whose retry fails with a
// conflict caused by the first call attempt.
TEST_CASE("a change without an idempotency key is not retried once it was sent")
{
  ScratchFolder folder;
  auto file = folder.Write("c.json", config::ToText(config::Configuration()));
  UnresponsiveInstance unresponsive;
  FakeInstance instance;
  instance.AddResponse(200, { { "version", 5 } });
  auto result =
    RunWithServers({ unresponsive.Address(), instance.Address() },
                   { "config", "apply", file, "--expected-version", "4" });
  CHECK(result.mCode == ExitCode::eUnknown);
  CHECK(unresponsive.Requests() == 1);
  CHECK(instance.Requests().empty());
  CHECK(RunWithServers({ UnreachableAddress(), instance.Address() },
                       { "config", "apply", file, "--expected-version", "4" })
          .mCode == ExitCode::eDone);
}

// Guards against a key on the command line, which other users can read in the
// list of processes.
TEST_CASE("the API key is read only from the environment or a file")
{
  FakeInstance instance;
  instance.AddResponse(200, json::array());
  const std::vector<std::string> line = { "jobs",
                                          "--server",
                                          instance.Address() };
  RunCommandLine(line, { { "FLAMINGOLOOM_KEY", "secret-1\n" } });
  ScratchFolder folder;
  auto withFile = line;
  withFile.insert(withFile.end(),
                  { "--key-file", folder.Write("key", "secret-2\n") });
  RunCommandLine(withFile);
  RunCommandLine(line);
  REQUIRE(instance.Requests().size() == 3);
  CHECK(instance.Requests()[0].mAuthorization == "Bearer secret-1");
  CHECK(instance.Requests()[1].mAuthorization == "Bearer secret-2");
  CHECK(instance.Requests()[2].mAuthorization.empty());
  auto onLine = line;
  onLine.insert(onLine.end(), { "--key", "secret-3" });
  CHECK(RunCommandLine(onLine).mCode == ExitCode::eUsage);
  withFile.back() = folder.Path("missing");
  CHECK(RunCommandLine(withFile).mCode == ExitCode::eInvalid);
}

// Guards against a slow call that looks to the operator like a program that
// hangs.
TEST_CASE("a call that takes more than a second prints progress")
{
  FakeInstance instance;
  instance.AddResponse(200, json::array());
  instance.SetResponseDelay(std::chrono::milliseconds(1300));
  auto result = RunWithServers({ instance.Address() }, { "jobs" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.ErrHas("waiting for " + instance.Address() + ", 1 s ..."));
}

// Guards against a crash or an unclear failure when the address belongs to
// another service, which responds with HTML.
TEST_CASE("a response that is not JSON is an error")
{
  httplib::Server server;
  server.Get(".*", [](const httplib::Request&, httplib::Response& aResponse) {
    aResponse.set_content("<html>", "text/html");
  });
  int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  auto result =
    RunWithServers({ "127.0.0.1:" + std::to_string(port) }, { "jobs" });
  server.stop();
  thread.join();
  CHECK(result.mCode == ExitCode::eUnknown);
  CHECK(result.ErrHas("without a JSON body"));
}

} // namespace flamingoloom::cli
