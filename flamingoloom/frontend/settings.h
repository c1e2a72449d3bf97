// Settings of an HttpFrontend.
#pragma once

#include <cstddef>
#include <string>

#include "flamingoloom/base/time.h"

namespace flamingoloom::frontend {

struct FrontendSettings
{
  // Address to bind as "ip:port"; port 0 selects any free port.
  std::string mListen = "127.0.0.1:0";
  // Maximum number of concurrent connections; each occupies one thread, also
  // while a caller waits for its answer. At the limit, a new connection
  // replaces the connection that has been idle longest; when none is idle, the
  // new connection is rejected with 503.
  std::size_t mThreads = 128;
  std::size_t mMaxBodyBytes = std::size_t{ 1 } << 20;
  // Limit for the request line and the headers together.
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } << 10;
  // Memory, by an upper estimate, of the requests that are received or decoded
  // at the same time. Beyond it larger requests than 64 KB are refused with
  // 503, or their connections are closed. Raised to what the longest request
  // takes.
  std::size_t mMaxRequestMemory = std::size_t{ 48 } << 20;
  // Connections that are idle for longer between requests are closed.
  base::Duration mIdleTimeout = std::chrono::seconds(30);
  // Limit for receiving one request, and separately for sending its response.
  base::Duration mTransferTimeout = std::chrono::seconds(10);
  // The wait of a submission without "waitMs".
  base::Duration mDefaultWait = std::chrono::seconds(10);
  // The largest "waitMs".
  base::Duration mMaxWait = std::chrono::seconds(60);
  // How long the handler may take in addition to the caller's wait. After that,
  // the response is an error with the code "outcome_unknown".
  base::Duration mHandlerTimeout = std::chrono::seconds(10);
};

} // namespace flamingoloom::frontend
