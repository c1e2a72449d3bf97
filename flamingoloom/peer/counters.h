// Counters of a PeerNode since its start, as plain values.
#pragma once

#include <cstdint>
#include <map>

#include "flamingoloom/base/ids.h"

namespace flamingoloom::peer {

// Calls made to one peer, and the bytes of all messages of these calls.
struct PeerCounters
{
  std::uint64_t mCalls = 0;
  // Calls that ended with an error of any code.
  std::uint64_t mFailures = 0;
  // The part of mFailures that timed out.
  std::uint64_t mTimeouts = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;

  friend bool operator==(const PeerCounters&, const PeerCounters&) = default;
};

// Calls that other instances made to this one.
struct ServedCounters
{
  std::uint64_t mCalls = 0;
  // Calls for which the handler returned an error.
  std::uint64_t mFailures = 0;
  std::uint64_t mConnections = 0;
  // Connections that were closed at once because too many were open.
  std::uint64_t mRejectedConnections = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;

  friend bool operator==(const ServedCounters&,
                         const ServedCounters&) = default;
};

struct NodeCounters
{
  // The most recently called peers, up to PeerSettings::mMaxPeers.
  std::map<base::InstanceId, PeerCounters> mPeers;
  // Sum of the counters of all peers that were evicted from mPeers.
  PeerCounters mEvictedPeers;
  ServedCounters mServed;
  // Messages that could not be decoded, with fields that are missing, out of
  // range or malformed.
  std::uint64_t mUndecodable = 0;
  // Connections that were closed because the data on them was not valid Cap'n
  // Proto RPC.
  std::uint64_t mProtocolErrors = 0;

  friend bool operator==(const NodeCounters&, const NodeCounters&) = default;
};

} // namespace flamingoloom::peer
