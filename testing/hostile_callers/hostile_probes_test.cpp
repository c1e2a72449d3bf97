// Peers of the ports for readiness and for metrics that send without end. These
// ports take few connections, and must not give way to those who hold them.
#include <chrono>
#include <string>
#include <thread>

#include <doctest/doctest.h>

#include "testing/hostile_callers/instance_process.h"
#include "testing/hostile_callers/raw_peers.h"

namespace flamingoloom::testing::hostile_callers {
namespace {

constexpr MachineLimits kLimits{ .mMemoryMb = 40, .mDescriptors = 300 };
constexpr int kSenders = 8;
constexpr int kCrowd = 320;
constexpr std::size_t kBytesOfSender = 16UL * 1024 * 1024;
constexpr auto kReadingTime = std::chrono::seconds(2);

struct Form
{
  std::string mHead;
  std::string mPart;
};

std::string ChunkedRequest()
{
  return "POST / HTTP/1.1\r\nHost: node\r\nTransfer-Encoding: chunked\r\n\r\n";
}

void CheckSound(InstanceProcess& aInstance)
{
  REQUIRE(aInstance.IsAlive());
  CHECK(aInstance.AnswersProbes());
  CHECK(aInstance.AnswersOrdinaryRequest());
  REQUIRE(aInstance.IsAlive());
  CHECK(aInstance.PeakMemoryMb() <= kLimits.mMemoryMb);
  CHECK(aInstance.OpenDescriptors() <= kLimits.mDescriptors);
}

// Sends from kSenders connections to each of the two ports at the same time.
void CheckEndless(const Form& aForm)
{
  InstanceProcess instance(kLimits);
  std::vector<RawCaller> callers;
  for (const int port : { instance.ReadinessPort(), instance.MetricsPort() }) {
    auto crowd = PlayCrowd(port, kSenders, [&](RawCaller& aCaller) {
      if (aCaller.Send(aForm.mHead)) {
        aCaller.Repeat(aForm.mPart, kBytesOfSender);
      }
    });
    for (auto& caller : crowd) {
      callers.push_back(std::move(caller));
    }
  }
  CheckSound(instance);
}

TEST_CASE("probe_trailers: without end behind a chunked body")
{
  CheckEndless({ ChunkedRequest() + "2\r\n{}\r\n0\r\n",
                 "T: " + std::string(8000, 't') + "\r\n" });
}

TEST_CASE("probe_chunk_extensions: one without end")
{
  CheckEndless({ ChunkedRequest() + "2;a=", std::string(8000, 'e') });
}

TEST_CASE("probe_headers: a header without end")
{
  CheckEndless(
    { "GET / HTTP/1.1\r\n", "H: " + std::string(8000, 'h') + "\r\n" });
}

TEST_CASE("probe_unread_responses: requests whose responses stay unread")
{
  CheckEndless({ "", "GET / HTTP/1.1\r\nHost: node\r\n\r\n" });
}

// More peers than the port has connections begin a request and stop.
TEST_CASE("probe_crowd: unfinished requests")
{
  InstanceProcess instance(kLimits);
  std::vector<RawCaller> callers;
  for (const int port : { instance.ReadinessPort(), instance.MetricsPort() }) {
    auto crowd = PlayCrowd(port, kCrowd, [](RawCaller& aCaller) {
      aCaller.Send("GET / HTTP/1.1\r\nHost: node\r\nContent-Length: 262144\r\n"
                   "\r\n" +
                   std::string(200'000, ' '));
    });
    for (auto& caller : crowd) {
      callers.push_back(std::move(caller));
    }
  }
  std::this_thread::sleep_for(kReadingTime);
  CHECK(instance.OpenDescriptors() <= kLimits.mDescriptors);
  CheckSound(instance);
}

} // namespace
} // namespace flamingoloom::testing::hostile_callers
