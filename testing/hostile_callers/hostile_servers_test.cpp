// Backend servers whose responses have no end. Each case guards against one way
// in which the peer of a call decides how much memory an instance uses.
#include <chrono>
#include <thread>

#include <doctest/doctest.h>

#include "testing/hostile_callers/instance_process.h"
#include "testing/hostile_callers/raw_peers.h"

namespace flamingoloom::testing::hostile_callers {
namespace {

constexpr MachineLimits kLimits{ .mMemoryMb = 40, .mDescriptors = 300 };
constexpr std::size_t kBytesOfResponse = 64UL * 1024 * 1024;
constexpr const char* kChunkedResponse = "HTTP/1.1 200 OK\r\n"
                                         "Content-Type: application/json\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n";

// An instance that leads asks each listed server for a report.
void CheckResponse(const std::string& aHead, const std::string& aPart)
{
  RawServer server(aHead, aPart, kBytesOfResponse);
  InstanceProcess instance(kLimits, server.Port());
  const auto until =
    std::chrono::steady_clock::now() + std::chrono::seconds(40);
  while (server.Finished() == 0 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  REQUIRE(server.Finished() > 0);
  REQUIRE(instance.IsAlive());
  CHECK(instance.AnswersOrdinaryRequest());
  REQUIRE(instance.IsAlive());
  CHECK(instance.PeakMemoryMb() <= kLimits.mMemoryMb);
  CHECK(instance.OpenDescriptors() <= kLimits.mDescriptors);
}

TEST_CASE("server_trailers: without end behind a chunked response")
{
  CheckResponse(std::string(kChunkedResponse) + "2\r\n{}\r\n0\r\n",
                "T: " + std::string(8000, 't') + "\r\n");
}

TEST_CASE("server_chunk_extensions: one without end")
{
  CheckResponse(std::string(kChunkedResponse) + "2;a=", std::string(8000, 'e'));
}

// The limit of the store's longest rows must not hold for each backend server.
TEST_CASE("server_bodies: a chunked response of 64 MB")
{
  CheckResponse(kChunkedResponse, "2000\r\n" + std::string(8192, ' ') + "\r\n");
}

} // namespace
} // namespace flamingoloom::testing::hostile_callers
