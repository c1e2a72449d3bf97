#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "flamingoloom/http/client.h"
#include "flamingoloom/http/server.h"

namespace flamingoloom::http {
namespace {

using std::chrono::milliseconds;

constexpr auto kTimeout = milliseconds(2000);

// Servers with addresses of their own, which answer when told to.
class Servers
{
public:
  Servers(boost::asio::io_context& aLoop, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mServers.push_back(std::make_unique<Server>(
        aLoop, ServerLimits{}, [this](const Request&, Server::Responder aDone) {
          mPending.push_back(std::move(aDone));
        }));
      REQUIRE(mServers.back()->Listen("127.0.0.1:0"));
    }
  }

  std::string Address(std::size_t aIndex) const
  {
    return "127.0.0.1:" + std::to_string(mServers.at(aIndex)->Port());
  }

  std::size_t PendingRequests() const { return mPending.size(); }

  void AnswerAll()
  {
    for (const auto& done : std::exchange(mPending, {})) {
      done({});
    }
  }

private:
  std::vector<std::unique_ptr<Server>> mServers;
  std::vector<Server::Responder> mPending;
};

struct Fixture
{
  Fixture(int aServers, ClientOptions aOptions)
    : mServers(mLoop, aServers)
    , mClient(mLoop, aOptions, [this] { return mNow; })
  {
  }

  void Call(std::size_t aServer, base::Duration aTimeout = kTimeout)
  {
    mClient.Call(mServers.Address(aServer), {}, aTimeout, [this](auto aResult) {
      mResults.push_back(std::move(aResult));
    });
  }

  void AnswerAllUntil(std::size_t aResults)
  {
    while (mResults.size() < aResults) {
      mServers.AnswerAll();
      mLoop.run_one();
      CHECK(mClient.Counters().mOpenConnections <= mMaxOpen);
    }
  }

  boost::asio::io_context mLoop;
  base::Time mNow{ std::chrono::seconds(1000) };
  Servers mServers;
  Client mClient;
  int mMaxOpen = 0;
  std::vector<base::Expected<Response>> mResults;
};

// An instance that has called each of a thousand servers keeps several
// connections to each of them otherwise, more than it has descriptors.
TEST_CASE("The connection that was idle for the longest time makes room")
{
  ClientOptions options;
  options.mMaxConnections = 3;
  Fixture fixture(5, options);
  fixture.mMaxOpen = options.mMaxConnections;
  for (std::size_t i = 0; i < 5; ++i) {
    fixture.Call(i);
    fixture.AnswerAllUntil(i + 1);
    CHECK(fixture.mResults.back());
  }
  CHECK(fixture.mClient.Counters().mOpenConnections == 3);
  // The newest connections are still open.
  fixture.Call(4);
  fixture.AnswerAllUntil(6);
  CHECK(fixture.mClient.Counters().mConnectionAttempts == 5);
}

TEST_CASE("Calls wait for a connection while all of them are in use")
{
  ClientOptions options;
  options.mMaxConnections = 2;
  Fixture fixture(4, options);
  fixture.mMaxOpen = options.mMaxConnections;
  for (std::size_t i = 0; i < 4; ++i) {
    fixture.Call(i);
  }
  while (fixture.mServers.PendingRequests() < 2) {
    fixture.mLoop.run_one();
  }
  fixture.mLoop.run_for(milliseconds(50));
  CHECK(fixture.mServers.PendingRequests() == 2);
  fixture.AnswerAllUntil(4);
  for (const auto& result : fixture.mResults) {
    CHECK(result);
  }
}

// It was never sent, so a caller may do what it asked for elsewhere.
TEST_CASE("A call that waited in vain for a connection had no effect")
{
  ClientOptions options;
  options.mMaxConnections = 1;
  Fixture fixture(2, options);
  fixture.mMaxOpen = options.mMaxConnections;
  fixture.Call(0);
  fixture.Call(1, milliseconds(50));
  while (fixture.mResults.empty()) {
    fixture.mLoop.run_one();
  }
  REQUIRE(!fixture.mResults[0]);
  CHECK(fixture.mResults[0].error().mCode == base::ErrorCode::eUnavailable);
  CHECK(fixture.mServers.PendingRequests() == 1);
  fixture.AnswerAllUntil(2);
  CHECK(fixture.mResults[1]);
  CHECK(fixture.mClient.Counters().mOpenConnections == 1);
}

TEST_CASE("Connections that were idle for too long are closed by later calls")
{
  ClientOptions options;
  Fixture fixture(4, options);
  fixture.mMaxOpen = options.mMaxConnections;
  for (std::size_t i = 0; i < 3; ++i) {
    fixture.Call(i);
    fixture.AnswerAllUntil(i + 1);
  }
  fixture.mNow += options.mMaxIdleTime - milliseconds(1);
  fixture.Call(0);
  fixture.AnswerAllUntil(4);
  CHECK(fixture.mClient.Counters().mOpenConnections == 3);
  // The other two have been idle for longer.
  fixture.mNow += milliseconds(2);
  fixture.Call(3);
  fixture.AnswerAllUntil(5);
  CHECK(fixture.mClient.Counters().mOpenConnections == 2);
}

TEST_CASE("A connection that fails or is closed by the peer is not counted")
{
  ClientOptions options;
  options.mMaxConnections = 1;
  Fixture fixture(1, options);
  fixture.mMaxOpen = options.mMaxConnections;
  std::optional<base::Expected<Response>> refused;
  fixture.mClient.Call("127.0.0.1:1", {}, kTimeout, [&](auto aResult) {
    refused = std::move(aResult);
  });
  while (!refused) {
    fixture.mLoop.run_one();
  }
  CHECK(!*refused);
  CHECK(fixture.mClient.Counters().mOpenConnections == 0);
  fixture.Call(0);
  fixture.AnswerAllUntil(1);
  CHECK(fixture.mResults[0]);
}

} // namespace
} // namespace flamingoloom::http
