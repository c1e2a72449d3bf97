// What a PeerNode has counted since it started, as plain values.
#pragma once

#include <cstdint>
#include <map>

#include "flamingoloom/base/ids.h"

namespace flamingoloom::peer {

// Calls made to one peer, and the bytes of all messages exchanged for them.
struct PeerCounters
{
  std::uint64_t mCalls = 0;
  // Calls that were answered with an error of any code.
  std::uint64_t mFailures = 0;
  // The part of mFailures that ended because their time-out passed.
  std::uint64_t mTimeouts = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;

  friend bool operator==(const PeerCounters&, const PeerCounters&) = default;
};

// Calls that other instances made to this one.
struct ServedCounters
{
  std::uint64_t mCalls = 0;
  // Calls that the handler answered with an error.
  std::uint64_t mFailures = 0;
  std::uint64_t mConnections = 0;
  // Connections closed at once because too many were open.
  std::uint64_t mRefusedConnections = 0;
  std::uint64_t mBytesSent = 0;
  std::uint64_t mBytesReceived = 0;

  friend bool operator==(const ServedCounters&,
                         const ServedCounters&) = default;
};

struct NodeCounters
{
  // Holds the peers that were called last, up to a limit.
  std::map<base::InstanceId, PeerCounters> mPeers;
  // Sum of the peers that no longer have an entry in mPeers.
  PeerCounters mFormerPeers;
  ServedCounters mServed;
  // Messages with fields that are missing, out of range or malformed.
  std::uint64_t mUndecodable = 0;
  // Connections that ended because the bytes on them were no valid Cap'n
  // Proto RPC.
  std::uint64_t mProtocolErrors = 0;

  friend bool operator==(const NodeCounters&, const NodeCounters&) = default;
};

} // namespace flamingoloom::peer
