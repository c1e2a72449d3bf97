// Settings of a PeerNode.
#pragma once

#include <cstddef>
#include <string>

#include "flamingoloom/base/time.h"

namespace flamingoloom::peer {

struct PeerSettings
{
  // Numeric "ip:port" to listen on; port 0 selects any free port.
  std::string mListen = "127.0.0.1:0";
  // Timeout of calls; AwaitRequest times out after its wait plus this time.
  base::Duration mCallTimeout = std::chrono::seconds(2);
  // A larger message closes its connection. A message's buffer, of up to this
  // size, is allocated as soon as its length prefix has been read.
  std::size_t mMaxMessageBytes = std::size_t{ 1 } << 20;
  // Maximum number of connections from other instances; further ones are closed
  // at once.
  std::size_t mMaxServedConnections = 256;
  // Maximum number of connections to other instances. Beyond it, the least
  // recently used one is closed.
  std::size_t mMaxPeers = 256;
  // Maximum number of calls to other instances in progress; further ones fail
  // with eUnavailable.
  std::size_t mMaxCalls = 16384;
};

} // namespace flamingoloom::peer
