// Counts the requests in progress and refuses new ones during shutdown.
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
  // False during shutdown. Otherwise the request counts as in progress until
  // Leave().
  bool TryEnter();
  void Leave();

  void BeginShutdown();
  bool IsLeaving() const;

  // Whether no request is in progress, at the latest after aTimeout.
  bool WaitUntilIdle(base::Duration aTimeout);

private:
  mutable std::mutex mMutex;
  std::condition_variable mIdle;
  std::size_t mInProgress = 0;
  bool mLeaving = false;
};

} // namespace flamingoloom::frontend::internal
