// Callers that send more than the platform's limits allow. Each case guards
// against one way in which a peer decides how much memory, or how many
// descriptors, an instance uses. None checks a time or a share of requests.
#include <chrono>
#include <thread>

#include <doctest/doctest.h>

#include "testing/hostile_callers/instance_process.h"
#include "testing/hostile_callers/raw_peers.h"

namespace flamingoloom::testing::hostile_callers {
namespace {

constexpr MachineLimits kLimits{ .mMemoryMb = 40, .mDescriptors = 300 };
constexpr std::size_t kMegabyte = 1024UL * 1024;
constexpr int kSenders = 8;
constexpr std::size_t kBytesOfSender = 16 * kMegabyte;
// More than the descriptors of the machine.
constexpr int kCrowd = 320;
// Less than the time after which unfinished requests are given up.
constexpr auto kReadingTime = std::chrono::seconds(2);

constexpr const char* kChunkedRequest =
  "POST /quotes/00000000000000aa HTTP/1.1\r\n"
  "Host: shop.example\r\n"
  "Key: d4a3hwrr6x73d3zji9n7\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

void CheckSound(InstanceProcess& aInstance)
{
  REQUIRE(aInstance.IsAlive());
  CHECK(aInstance.AnswersOrdinaryRequest());
  REQUIRE(aInstance.IsAlive());
  CHECK(aInstance.PeakMemoryMb() <= kLimits.mMemoryMb);
  CHECK(aInstance.OpenDescriptors() <= kLimits.mDescriptors);
}

// Sends aHead and then aPart without end from kSenders connections.
void CheckEndless(const std::string& aHead, const std::string& aPart)
{
  InstanceProcess instance(kLimits);
  const auto callers =
    PlayCrowd(instance.CallerPort(), kSenders, [&](RawCaller& aCaller) {
      if (aCaller.Send(aHead)) {
        aCaller.Repeat(aPart, kBytesOfSender);
      }
    });
  CheckSound(instance);
}

// Opens kCrowd connections, sends aText on each and leaves them open.
void CheckCrowd(const std::string& aText)
{
  InstanceProcess instance(kLimits);
  const auto callers =
    PlayCrowd(instance.CallerPort(), kCrowd, [&](RawCaller& aCaller) {
      aCaller.Send(aText);
    });
  // The process reads what waits in the sockets meanwhile.
  std::this_thread::sleep_for(kReadingTime);
  CHECK(instance.OpenDescriptors() <= kLimits.mDescriptors);
  CheckSound(instance);
}

// The parser keeps trailers in its buffer until their last line.
TEST_CASE("trailers: without end behind a chunked body")
{
  CheckEndless(std::string(kChunkedRequest) + "2\r\n{}\r\n0\r\n",
               "T: " + std::string(8000, 't') + "\r\n");
}

// The parser keeps a chunk's extension in its buffer until the end of the line.
TEST_CASE("chunk_extensions: one without end")
{
  CheckEndless(std::string(kChunkedRequest) + "2;a=", std::string(8000, 'e'));
}

TEST_CASE("headers: a header without end")
{
  CheckEndless("GET /quotes/ HTTP/1.1\r\n",
               "H: " + std::string(8000, 'h') + "\r\n");
}

// Each field costs its own allocation, so that short ones take many times their
// size.
TEST_CASE("short_header_fields: unfinished headers of many fields")
{
  std::string header = "POST /quotes/00000000000000aa HTTP/1.1\r\n";
  while (header.size() < 16000) {
    header += "a:\r\n";
  }
  CheckCrowd(header + "Content-Length: 9\r\n\r\n");
}

// Each body is within the limit of one request; together they are not within
// the memory.
TEST_CASE("unfinished_bodies: large ones that stop before their end")
{
  CheckCrowd("POST /quotes/00000000000000aa HTTP/1.1\r\n"
             "Host: shop.example\r\nContent-Length: 262144\r\n\r\n" +
             std::string(262143, ' '));
}

// Connections without a request take descriptors that the calls to the store
// need.
TEST_CASE("idle_connections: more than the machine has descriptors")
{
  CheckCrowd("");
}

// Requests that arrive behind one another must not pile up while the caller
// does not read the responses.
TEST_CASE("unread_responses: requests without end whose responses stay unread")
{
  CheckEndless("", "GET /none HTTP/1.1\r\nHost: shop.example\r\n\r\n");
}

// More callers than there are connections leave their responses unread, for
// longer than this test waits, so their connections never become idle.
TEST_CASE("unread_crowd: all connections have responses that stay unread")
{
  constexpr int kUnreadCrowd = 40;
  constexpr int kReceiveBytes = 4096;
  auto limits = kLimits;
  limits.mIdleTimeoutMs = 600'000;
  InstanceProcess instance(limits);
  const auto callers = PlayCrowd(
    instance.CallerPort(),
    kUnreadCrowd,
    [&](RawCaller& aCaller) {
      aCaller.Repeat("GET /none HTTP/1.1\r\nHost: shop.example\r\n\r\n",
                     kBytesOfSender);
    },
    kReceiveBytes);
  CheckSound(instance);
}

} // namespace
} // namespace flamingoloom::testing::hostile_callers
