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

// Guards against an operator who is stopped by one instance that is down.
TEST_CASE("the next instance is tried when one cannot be reached")
{
  FakeInstance instance;
  instance.AddResponse(200, { { "jobs", json::array() } });
  auto result =
    RunWithServers({ UnreachableAddress(), instance.Address() }, { "jobs" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(instance.Requests().size() == 1);
}

// Guards against "nothing took effect" when something may have.
TEST_CASE("exit codes tell an unreached instance from a lost answer")
{
  UnresponsiveInstance unresponsive;
  CHECK(RunWithServers({ UnreachableAddress() }, { "jobs" }).mCode ==
        ExitCode::eUnreachable);
  CHECK(
    RunWithServers({ unresponsive.Address(), UnreachableAddress() }, kSubmit)
      .mCode == ExitCode::eUnknown);
}

// Guards against a second run of a request whose answer was lost (P6): the
// repetition must be recognisable.
TEST_CASE("a request is repeated with the same idempotency key")
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

// Guards against a change that is made twice, or reported as a conflict with
// itself.
TEST_CASE("a change without an idempotency key is not repeated once sent")
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

// Guards against a key that other users see in the list of processes.
TEST_CASE("the key comes from the environment or a file only")
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

// Guards against operators who do not know whether the program still works.
TEST_CASE("a wait of more than a second shows progress")
{
  FakeInstance instance;
  instance.AddResponse(200, json::array());
  instance.SetResponseDelay(std::chrono::milliseconds(1300));
  auto result = RunWithServers({ instance.Address() }, { "jobs" });
  CHECK(result.mCode == ExitCode::eDone);
  CHECK(result.ErrHas("waiting for " + instance.Address() + ", 1 s ..."));
}

// Guards against a program that ends without an explanation when another
// service answers at the address.
TEST_CASE("an answer that is not JSON is an error")
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
