#include "flamingoloom/node/operator_snapshot.h"

#include <algorithm>

#include "flamingoloom/base/compression.h"
#include "flamingoloom/base/digest.h"
#include "flamingoloom/json/decode.h"

namespace flamingoloom::node {

using base::ErrorCode;
using base::Expected;
using base::MakeError;
using json::Json;

namespace {

constexpr const char* kDecodeStep = "read operator snapshot";
// The fields of an account that has neither a weight nor a maximum. Rows of
// versions that know neither have no more.
constexpr std::size_t kAccountFieldsWithoutMaximum = 3;
constexpr std::size_t kQueuesPerPart = 64;
constexpr std::size_t kMaxParts = 256;
// Limit of the memory that a decompressed part may take.
constexpr std::size_t kMaxPartBytes = std::size_t{ 1024 } * 1024;
// Hexadecimal digits of a part's digest; enough to tell its versions apart.
constexpr std::size_t kPartDigestLength = 16;

std::string PartDigest(const std::string& aPart)
{
  return base::Sha256Hex(aPart).substr(0, kPartDigestLength);
}

// A power of two, so that the number changes seldom as queues are added.
std::size_t PartCount(std::size_t aQueues)
{
  std::size_t count = 1;
  while (count < kMaxParts && count * kQueuesPerPart < aQueues) {
    count *= 2;
  }
  return count;
}

// FNV-1a, because all builds must divide the queues in the same way.
std::size_t HashOf(const std::string& aText)
{
  std::uint32_t hash = 2166136261U;
  for (const char c : aText) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  return hash;
}

std::string Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json EncodeQueue(const Queue& aQueue)
{
  const auto& rules = aQueue.mRules;
  return Json::array({ rules.mQueue,
                       aQueue.mHost,
                       aQueue.mPathPrefix,
                       aQueue.mPublic,
                       rules.mService,
                       rules.mPriority,
                       rules.mMaxAttempts,
                       rules.mStretch,
                       rules.mTargetLatency.count(),
                       rules.mNeedsAdvice });
}

Queue DecodeQueue(const Json& aJson)
{
  Queue queue;
  auto& rules = queue.mRules;
  rules.mQueue = aJson.at(0);
  queue.mHost = aJson.at(1);
  queue.mPathPrefix = aJson.at(2);
  queue.mPublic = aJson.at(3);
  rules.mService = aJson.at(4);
  rules.mPriority = json::Integer<int>(aJson.at(5), "priority");
  rules.mMaxAttempts = json::Integer<int>(aJson.at(6), "attempts");
  rules.mStretch = aJson.at(7);
  rules.mTargetLatency = base::Duration(aJson.at(8).get<std::int64_t>());
  rules.mNeedsAdvice = aJson.at(9);
  return queue;
}

Json EncodeAccount(const Account& aAccount)
{
  const auto& terms = aAccount.mTerms;
  auto account = Json::array(
    { aAccount.mId.Value(), aAccount.mKeys, terms.mGuaranteedAccelerators });
  if (terms.mWeight > 0 || scheduler::HasMaximum(terms)) {
    const auto& maximum = terms.mMaximum;
    account.push_back(terms.mWeight);
    account.push_back(Json::array(
      { maximum.mCpuMilli, maximum.mMemoryMb, maximum.mAccelerators }));
  }
  return account;
}

Account DecodeAccount(const Json& aJson)
{
  Account account;
  account.mId = base::AccountId(aJson.at(0).get<std::string>());
  account.mKeys = aJson.at(1).get<std::set<std::string>>();
  account.mTerms.mGuaranteedAccelerators = aJson.at(2);
  if (aJson.size() > kAccountFieldsWithoutMaximum) {
    account.mTerms.mWeight = aJson.at(3);
    const Json& maximum = aJson.at(4);
    account.mTerms.mMaximum = { maximum.at(0), maximum.at(1), maximum.at(2) };
  }
  return account;
}

Json EncodeLimits(const RequestLimits& aLimits)
{
  return Json::array({ aLimits.mMaxHeaderBytes,
                       aLimits.mMaxBodyBytes,
                       aLimits.mRequestTimeout.count(),
                       aLimits.mIdleTimeout.count() });
}

RequestLimits DecodeLimits(const Json& aJson)
{
  RequestLimits limits;
  limits.mMaxHeaderBytes = aJson.at(0);
  limits.mMaxBodyBytes = aJson.at(1);
  limits.mRequestTimeout = base::Duration(aJson.at(2).get<std::int64_t>());
  limits.mIdleTimeout = base::Duration(aJson.at(3).get<std::int64_t>());
  return limits;
}

Expected<std::string> DecompressPart(const std::string& aCompressedPart)
{
  return base::Decompress(kDecodeStep, "store", aCompressedPart, kMaxPartBytes);
}

Expected<std::vector<Queue>> DecodePart(const std::string& aCompressedPart,
                                        const std::string& aDigest)
{
  return DecompressPart(aCompressedPart)
    .and_then([&](const std::string& aPart) -> Expected<std::vector<Queue>> {
      if (PartDigest(aPart) != aDigest) {
        return MakeError(ErrorCode::eNotFound,
                         kDecodeStep,
                         "store",
                         "a part belongs to another snapshot");
      }
      return json::Decode<std::vector<Queue>>(
        kDecodeStep, "store", aPart, [](const Json& aJson) {
          std::vector<Queue> queues;
          for (const auto& queue : aJson) {
            queues.push_back(DecodeQueue(queue));
          }
          return queues;
        });
    });
}

} // namespace

EncodedSnapshot EncodeSnapshot(const OperatorSnapshot& aSnapshot)
{
  const auto& configuration = *aSnapshot.mConfiguration;
  EncodedSnapshot encoded;
  std::vector<Json> parts(PartCount(configuration.mQueues.size()),
                          Json::array());
  for (const auto& queue : configuration.mQueues) {
    parts[HashOf(queue.mRules.mQueue) % parts.size()].push_back(
      EncodeQueue(queue));
  }
  for (const auto& part : parts) {
    encoded.mParts.push_back(Dump(part));
    encoded.mPartDigests.push_back(PartDigest(encoded.mParts.back()));
  }
  Json accounts = Json::array();
  for (const auto& account : configuration.mAccounts) {
    accounts.push_back(EncodeAccount(account));
  }
  encoded.mHead = Dump({ { "version", configuration.mVersion },
                         { "rows", aSnapshot.mRowVersions },
                         { "accounts", std::move(accounts) },
                         { "limits", EncodeLimits(configuration.mLimits) },
                         { "parts", encoded.mPartDigests } });
  encoded.mId = SnapshotId(encoded.mHead);
  return encoded;
}

std::string CompressPart(const std::string& aPart)
{
  return base::Compress(aPart);
}

Expected<std::string> DigestOfCompressedPart(const std::string& aCompressedPart)
{
  return DecompressPart(aCompressedPart).map(PartDigest);
}

std::string SnapshotId(const std::string& aHead)
{
  return base::Sha256Hex(aHead);
}

Expected<std::vector<std::string>> DecodePartDigests(const std::string& aHead)
{
  return json::Decode<std::vector<std::string>>(
    kDecodeStep, "store", aHead, [](const Json& aJson) {
      return aJson.at("parts").get<std::vector<std::string>>();
    });
}

Expected<OperatorSnapshot> DecodeSnapshot(
  const std::string& aHead,
  const std::vector<std::string>& aCompressedParts,
  PartCache& aCache)
{
  std::vector<std::string> digests;
  auto configuration = std::make_shared<Configuration>();
  auto snapshot = json::Decode<OperatorSnapshot>(
    kDecodeStep, "store", aHead, [&](const Json& aJson) {
      configuration->mVersion = json::Integer(aJson.at("version"), "version");
      configuration->mLimits = DecodeLimits(aJson.at("limits"));
      for (const auto& account : aJson.at("accounts")) {
        configuration->mAccounts.push_back(DecodeAccount(account));
      }
      digests = aJson.at("parts").get<std::vector<std::string>>();
      OperatorSnapshot head;
      head.mRowVersions =
        aJson.at("rows").get<std::map<std::string, std::int64_t>>();
      return head;
    });
  if (!snapshot) {
    return snapshot;
  }
  if (digests.size() != aCompressedParts.size()) {
    return MakeError(
      ErrorCode::eNotFound, kDecodeStep, "store", "parts are missing");
  }
  PartCache cache;
  for (std::size_t i = 0; i < digests.size(); ++i) {
    const auto known = aCache.find(digests[i]);
    auto queues = known == aCache.end()
                    ? DecodePart(aCompressedParts[i], digests[i])
                    : Expected<std::vector<Queue>>(known->second);
    if (!queues) {
      return tl::unexpected(queues.error());
    }
    configuration->mQueues.insert(
      configuration->mQueues.end(), queues->begin(), queues->end());
    cache.insert_or_assign(digests[i], std::move(*queues));
  }
  aCache = std::move(cache);
  snapshot->mConfiguration = std::move(configuration);
  return snapshot;
}

} // namespace flamingoloom::node
