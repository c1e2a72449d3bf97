#include "flamingoloom/node/operator_snapshot.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "flamingoloom/node/snapshot_replica.h"

namespace flamingoloom::node {
namespace {

OperatorSnapshot MakeSnapshot(std::int64_t aVersion, int aQueues)
{
  auto configuration = std::make_shared<Configuration>();
  configuration->mVersion = aVersion;
  for (int i = 0; i < aQueues; ++i) {
    const auto number = std::to_string(i);
    Queue queue;
    queue.mRules = {
      "queue" + number, "service", i % 3, 4, 2.5, std::chrono::milliseconds(500)
    };
    queue.mHost = "host" + number;
    queue.mPathPrefix = "/q/";
    queue.mPublic = i % 2 == 0;
    configuration->mQueues.push_back(std::move(queue));
  }
  configuration->mAccounts = {
    { base::AccountId("shop"), { "k1", "k2" }, { 8, 0, {} } },
    { base::AccountId("press"), { "k3" }, { 4, 2.5, { 100, 200, 300 } } },
    { base::AccountId("post"), { "k4" }, { 0, 0, { 0, 0, 300 } } }
  };
  configuration->mLimits.mMaxBodyBytes = 1000;
  return { { { "config", 7 }, { "evacuate/a", 9 } }, configuration };
}

std::vector<std::string> Compress(const EncodedSnapshot& aSnapshot)
{
  std::vector<std::string> parts;
  std::transform(aSnapshot.mParts.begin(),
                 aSnapshot.mParts.end(),
                 std::back_inserter(parts),
                 CompressPart);
  return parts;
}

base::Expected<OperatorSnapshot> Decode(const std::string& aHead,
                                        const std::vector<std::string>& aParts)
{
  PartCache cache;
  return DecodeSnapshot(aHead, aParts, cache);
}

std::vector<Queue> SortedQueues(const Configuration& aConfiguration)
{
  auto queues = aConfiguration.mQueues;
  std::sort(
    queues.begin(), queues.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mHost < aRight.mHost;
    });
  return queues;
}

TEST_CASE("A decoded snapshot equals the encoded one")
{
  for (const int queues : { 0, 1, 65, 4000 }) {
    const auto snapshot = MakeSnapshot(3, queues);
    const auto encoded = EncodeSnapshot(snapshot);
    CHECK(encoded.mId == SnapshotId(encoded.mHead));
    const auto decoded = Decode(encoded.mHead, Compress(encoded));
    REQUIRE(decoded);
    CHECK(decoded->mRowVersions == snapshot.mRowVersions);
    const auto& before = *snapshot.mConfiguration;
    const auto& after = *decoded->mConfiguration;
    CHECK(after.mVersion == before.mVersion);
    CHECK(after.mAccounts == before.mAccounts);
    CHECK(after.mLimits == before.mLimits);
    CHECK(SortedQueues(after) == SortedQueues(before));
  }
}

TEST_CASE("A version that changes one queue changes one part")
{
  const auto before = EncodeSnapshot(MakeSnapshot(3, 4000));
  auto snapshot = MakeSnapshot(4, 4000);
  auto configuration =
    std::make_shared<Configuration>(*snapshot.mConfiguration);
  configuration->mQueues[17].mRules.mPriority = 9;
  snapshot.mConfiguration = configuration;
  const auto after = EncodeSnapshot(snapshot);
  REQUIRE(after.mPartDigests.size() == before.mPartDigests.size());
  int changed = 0;
  for (std::size_t i = 0; i < after.mPartDigests.size(); ++i) {
    changed += after.mPartDigests[i] != before.mPartDigests[i];
  }
  CHECK(changed == 1);
}

TEST_CASE("Parts that were decoded before are not decoded again")
{
  const auto before = EncodeSnapshot(MakeSnapshot(3, 4000));
  PartCache cache;
  REQUIRE(DecodeSnapshot(before.mHead, Compress(before), cache));
  const auto after = EncodeSnapshot(MakeSnapshot(4, 4001));
  auto parts = Compress(after);
  int changed = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (after.mPartDigests[i] == before.mPartDigests[i]) {
      // Decoding this one would fail.
      parts[i].clear();
    } else {
      ++changed;
    }
  }
  CHECK(changed == 1);
  const auto decoded = DecodeSnapshot(after.mHead, parts, cache);
  REQUIRE(decoded);
  CHECK(decoded->mConfiguration->mQueues.size() == 4001);
  CHECK(cache.size() == after.mPartDigests.size());
}

TEST_CASE("Parts of another snapshot are not decoded")
{
  const auto first = EncodeSnapshot(MakeSnapshot(3, 100));
  const auto second = EncodeSnapshot(MakeSnapshot(4, 101));
  const auto decoded = Decode(first.mHead, Compress(second));
  REQUIRE(!decoded);
  CHECK(decoded.error().mCode == base::ErrorCode::eNotFound);
  CHECK(!Decode(first.mHead, {}));
}

TEST_CASE("Rows that are not those of a snapshot are rejected")
{
  const auto encoded = EncodeSnapshot(MakeSnapshot(3, 10));
  auto parts = Compress(encoded);
  CHECK(!Decode("", parts));
  CHECK(!Decode("{}", parts));
  CHECK(!Decode("\xff\xfe", parts));
  CHECK(!Decode(std::string(60000, '['), parts));
  parts[0] = parts[0].substr(0, parts[0].size() / 2);
  CHECK(!Decode(encoded.mHead, parts));
  parts[0] = "no compressed data";
  CHECK(!Decode(encoded.mHead, parts));
  // Decompresses to far more than a part may hold.
  parts[0] = CompressPart(std::string(std::size_t{ 8 } * 1024 * 1024, ' '));
  CHECK(!Decode(encoded.mHead, parts));
}

TEST_CASE("A decoded confirmation equals the encoded one")
{
  const SnapshotConfirmation confirmation{ "abc", { 12, 345 } };
  CHECK(DecodeConfirmation(EncodeConfirmation(confirmation)) == confirmation);
  CHECK(!DecodeConfirmation(""));
  CHECK(!DecodeConfirmation("abc 12"));
  CHECK(!DecodeConfirmation("abc 99999999999999999999 1"));
}

} // namespace
} // namespace flamingoloom::node
