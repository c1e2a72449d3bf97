// Cost of one version of the configuration for the leader, which reads the
// operators' row and publishes a snapshot of it, and for another instance,
// which reads the snapshot: bytes, processor time and memory, by number of
// queues.
#include <algorithm>
#include <chrono>
#include <fstream>
#include <malloc.h>
#include <memory>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "flamingoloom/node/operator_snapshot.h"
#include "platform/platform_row_decoder.h"
#include "platform/sample_configuration.h"
#include "platform/store_client.h"

namespace flamingoloom::testing::bench {
namespace {

using node::EncodedSnapshot;
using node::OperatorSnapshot;

constexpr int kRepetitions = 5;
constexpr double kBytesPerMegabyte = 1e6;

// The median time of aAction in milliseconds.
template <class Action>
double MedianMs(Action aAction)
{
  using Clock = std::chrono::steady_clock;
  std::vector<double> times;
  for (int i = 0; i < kRepetitions; ++i) {
    const auto start = Clock::now();
    aAction();
    times.push_back(
      std::chrono::duration<double, std::milli>(Clock::now() - start).count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

std::size_t Base64Bytes(std::size_t aBytes)
{
  return (aBytes + 2) / 3 * 4;
}

std::size_t AllocatedBytes()
{
  return mallinfo2().uordblks;
}

// The store's response with a row of this value.
std::string SampleResponse(const std::string& aValue)
{
  std::string base64(Base64Bytes(aValue.size()) + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(base64.data()),
                  reinterpret_cast<const unsigned char*>(aValue.data()),
                  static_cast<int>(aValue.size()));
  base64.pop_back();
  return R"({"row-version":1,"now-ms":1,"rows":[{"key":"config",)"
         R"("row-version":1,"value":")" +
         base64 + R"("}]})";
}

nlohmann::json Measure(int aQueues)
{
  const platform::PlatformRowDecoder decoder;
  const auto value = platform::SampleConfiguration(1, aQueues);
  const auto allocatedBefore = AllocatedBytes();
  auto configuration = std::make_shared<const node::Configuration>(
    decoder.ReadConfiguration(value).value());
  const auto allocated = AllocatedBytes() - allocatedBefore;
  const OperatorSnapshot snapshot{ { { "config", 1 } }, configuration };
  const EncodedSnapshot encoded = node::EncodeSnapshot(snapshot);
  std::vector<std::string> parts;
  std::size_t snapshotBytes = Base64Bytes(encoded.mHead.size());
  for (const auto& part : encoded.mParts) {
    parts.push_back(node::CompressPart(part));
    snapshotBytes += Base64Bytes(parts.back().size());
  }
  const auto response = SampleResponse(value);
  const double decodeResponse = MedianMs([&] {
    static_cast<void>(
      platform::DecodeRows("read rows", "store", response).value());
  });
  const double decodeRow = MedianMs(
    [&] { static_cast<void>(decoder.ReadConfiguration(value).value()); });
  const double encode =
    MedianMs([&] { static_cast<void>(node::EncodeSnapshot(snapshot)); });
  const double compress = MedianMs([&] {
    for (const auto& part : encoded.mParts) {
      static_cast<void>(node::CompressPart(part));
    }
  });
  const double decodeSnapshot = MedianMs([&] {
    node::PartCache cache;
    static_cast<void>(
      node::DecodeSnapshot(encoded.mHead, parts, cache).value());
  });
  node::PartCache cache;
  static_cast<void>(node::DecodeSnapshot(encoded.mHead, parts, cache).value());
  const double decodeAgain = MedianMs([&] {
    static_cast<void>(
      node::DecodeSnapshot(encoded.mHead, parts, cache).value());
  });
  return { { "queues", aQueues },
           { "row_bytes", Base64Bytes(value.size()) },
           { "snapshot_bytes", snapshotBytes },
           { "parts", parts.size() },
           { "leader_response_ms", decodeResponse },
           { "leader_decode_ms", decodeRow },
           { "leader_encode_ms", encode },
           { "leader_compress_ms", compress },
           { "instance_decode_ms", decodeSnapshot },
           { "instance_decode_known_ms", decodeAgain },
           { "memory_mb",
             static_cast<double>(allocated) / kBytesPerMegabyte } };
}

int Run(int aCount, char** aArguments)
{
  CLI::App app("Cost of one version of the configuration, by number of queues");
  std::string jsonFile;
  app.add_option("--json", jsonFile, "file for the results");
  CLI11_PARSE(app, aCount, aArguments);
  auto results = nlohmann::json::array();
  for (const int queues : { 100, 1000, 3000, 10000 }) {
    results.push_back(Measure(queues));
    fmt::print("{}\n", results.back().dump());
  }
  if (!jsonFile.empty()) {
    std::ofstream(jsonFile) << results.dump() << "\n";
  }
  return 0;
}

} // namespace
} // namespace flamingoloom::testing::bench

int main(int aCount, char** aArguments)
{
  return flamingoloom::testing::bench::Run(aCount, aArguments);
}
