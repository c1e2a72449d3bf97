// Settings of an HttpFrontend.
#pragma once

#include <cstddef>
#include <string>

#include "flamingoloom/base/time.h"

namespace flamingoloom::frontend {

struct FrontendSettings
{
  // "ip:port" to serve on; port 0 takes any free port.
  std::string mListen = "127.0.0.1:0";
  // Connections served at the same time, one thread each. A caller that waits
  // for its answer keeps its thread. One more connection is answered 503.
  std::size_t mThreads = 128;
  std::size_t mMaxBodyBytes = std::size_t{ 1 } << 20;
  // Request line and headers together.
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } << 10;
  // How long a connection may be idle between requests.
  base::Duration mIdleTimeout = std::chrono::seconds(30);
  // How long one request may take to arrive, and its answer to be taken.
  base::Duration mTransferTimeout = std::chrono::seconds(10);
  // The wait of a submission without "waitMs".
  base::Duration mDefaultWait = std::chrono::seconds(10);
  // The largest "waitMs".
  base::Duration mMaxWait = std::chrono::seconds(60);
  // How long the handler may take beyond the caller's wait. After that the
  // caller is told that the outcome is unknown.
  base::Duration mHandlerTimeout = std::chrono::seconds(10);
};

} // namespace flamingoloom::frontend
