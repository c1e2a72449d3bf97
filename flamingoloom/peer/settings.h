// Settings of a PeerNode.
#pragma once

#include <cstddef>
#include <string>

#include "flamingoloom/base/time.h"

namespace flamingoloom::peer {

struct PeerSettings
{
  // "ip:port" to serve on; port 0 takes any free port.
  std::string mListen = "127.0.0.1:0";
  // A call without an answer ends after this time; AwaitRequest ends after
  // its own wait plus this time.
  base::Duration mCallTimeout = std::chrono::seconds(2);
  // Larger messages end their connection. A buffer of this size is allocated
  // as soon as the length prefix of a message has been read.
  std::size_t mMaxMessageBytes = std::size_t{ 1 } << 20;
  // Connections from other instances; more are closed at once.
  std::size_t mMaxServedConnections = 256;
  // Connections to other instances. The one that was unused longest is closed
  // to make room.
  std::size_t mMaxPeers = 256;
  // Calls to other instances that wait for an answer.
  std::size_t mMaxCalls = 16384;
};

} // namespace flamingoloom::peer
