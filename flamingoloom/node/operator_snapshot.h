// A snapshot of the operators' table: the configuration and which rows there
// are, with the encoding in which the leader stores it for the other instances.
//
// The queues are divided into parts by a hash of their names, so that a version
// which changes a few queues changes few parts. The head lists the digests of
// all parts:
//
//   const auto encoded = EncodeSnapshot(snapshot);  // stored by the leader
//   DecodeSnapshot(head, compressedParts, cache);  // by the others
//
// The functions are thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/node/configuration.h"

namespace flamingoloom::node {

struct OperatorSnapshot
{
  // The versions of the rows of the operators' table, by key.
  std::map<std::string, std::int64_t> mRowVersions;
  // nullptr until a configuration was read. It may be older than its row if the
  // row cannot be decoded.
  std::shared_ptr<const Configuration> mConfiguration;
};

struct EncodedSnapshot
{
  // Digest of the head, and thus of the whole snapshot.
  std::string mId;
  std::string mHead;
  // The parts before compression, and their digests.
  std::vector<std::string> mParts;
  std::vector<std::string> mPartDigests;
};

// aSnapshot must have a configuration.
EncodedSnapshot EncodeSnapshot(const OperatorSnapshot& aSnapshot);

std::string CompressPart(const std::string& aPart);

// The digest by which a head lists a part that was compressed; an error if
// aCompressedPart is not one.
base::Expected<std::string> DigestOfCompressedPart(
  const std::string& aCompressedPart);

// Digest of a head; equal to EncodedSnapshot::mId.
std::string SnapshotId(const std::string& aHead);

// The digests of the parts that aHead lists.
base::Expected<std::vector<std::string>> DecodePartDigests(
  const std::string& aHead);

// Queues of parts that were decoded, by digest.
using PartCache = std::map<std::string, std::vector<Queue>>;

// Decodes a snapshot from its head and its compressed parts, in the order of
// their digests. Any input gives a snapshot or an error; eNotFound if a part is
// not the one that the head lists. Parts in aCache are not decoded again; after
// a success it holds those of this snapshot.
base::Expected<OperatorSnapshot> DecodeSnapshot(
  const std::string& aHead,
  const std::vector<std::string>& aCompressedParts,
  PartCache& aCache);

} // namespace flamingoloom::node
