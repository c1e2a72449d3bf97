// Counts the requests in progress and rejects new ones during shutdown.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

#include "flamingoloom/base/time.h"

namespace flamingoloom::frontend::internal {

// Thread-safe.
class Admission
{
public:
  // Returns false during shutdown. Otherwise counts the request as in progress;
  // the caller must call EndRequest() when it is done.
  bool TryBeginRequest();
  void EndRequest();

  void BeginShutdown();
  bool IsShuttingDown() const;

  // Blocks until no request is in progress. Returns false when that takes
  // longer than aTimeout.
  bool WaitUntilIdle(base::Duration aTimeout);

private:
  mutable std::mutex mMutex;
  std::condition_variable mIdle;
  std::size_t mInProgress = 0;
  bool mShuttingDown = false;
};

} // namespace flamingoloom::frontend::internal
