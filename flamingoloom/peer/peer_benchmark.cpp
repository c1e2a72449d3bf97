// Measures the round-trip time of a small call between two nodes over loopback
// and prints the result as a JSON document.
#include <algorithm>
#include <vector>

#include <fmt/format.h>

#include "flamingoloom/peer/test_support.h"

namespace {

using namespace flamingoloom;

constexpr int kWarmUpCalls = 500;
constexpr int kCalls = 10000;

double MeasureMicros(peer::PeerNode& aNode, const platform::PeerAddress& aPeer)
{
  peer::test::AwaitedResult<platform::Nothing> response;
  auto start = std::chrono::steady_clock::now();
  aNode.AnnounceConfig(aPeer, { 1 }, response.AsDone());
  if (!response.Value()) {
    throw std::runtime_error("a call failed");
  }
  std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count();
}

} // namespace

int main()
{
  peer::test::ActionThread actions;
  peer::test::ActionThread peerActions;
  peer::PeerHandler handler;
  handler.mAnnounceConfig = [](platform::ConfigNotice,
                               platform::Done<platform::Nothing> aDone) {
    aDone(platform::Nothing{});
  };
  auto peer = peer::test::StartNode(peerActions, handler);
  auto node = peer::test::StartNode(actions);
  platform::PeerAddress address = peer::test::PeerOf(*peer);
  std::vector<double> micros;
  for (int i = 0; i < kWarmUpCalls + kCalls; ++i) {
    double elapsed = MeasureMicros(*node, address);
    if (i >= kWarmUpCalls) {
      micros.push_back(elapsed);
    }
  }
  std::sort(micros.begin(), micros.end());
  fmt::print("{{\"peerCallMicros\":{{\"calls\":{},\"median\":{:.1f},"
             "\"p99\":{:.1f}}}}}\n",
             kCalls,
             micros[kCalls / 2],
             micros[kCalls * 99 / 100]);
}
