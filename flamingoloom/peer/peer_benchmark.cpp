// Measures the round trip of one small peer call over loopback and prints one
// JSON document.
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
  peer::test::Awaited<platform::Nothing> answer;
  auto start = std::chrono::steady_clock::now();
  aNode.AnnounceConfig(aPeer, { 1 }, answer.AsDone());
  if (!answer.Value()) {
    throw std::runtime_error("a call failed");
  }
  std::chrono::duration<double, std::micro> taken =
    std::chrono::steady_clock::now() - start;
  return taken.count();
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
    double taken = MeasureMicros(*node, address);
    if (i >= kWarmUpCalls) {
      micros.push_back(taken);
    }
  }
  std::sort(micros.begin(), micros.end());
  fmt::print("{{\"peerCallMicros\":{{\"calls\":{},\"median\":{:.1f},"
             "\"p99\":{:.1f}}}}}\n",
             kCalls,
             micros[kCalls / 2],
             micros[kCalls * 99 / 100]);
}
