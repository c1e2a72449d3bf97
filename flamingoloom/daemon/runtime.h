// The thread and the clock on which an instance runs: one CAF actor whose
// messages are functions.
//
//   Runtime runtime(system);
//   runtime.Post([&] { instance.Start(); });
//
// Everything posted runs one after the other. Post is thread-safe; After and
// Now are to be called from posted functions, and Now also from elsewhere. The
// clock is the actor system's, which tests pause and advance.
#pragma once

#include <functional>
#include <memory>

#include "flamingoloom/base/time.h"

namespace caf {
class actor_system;
}

namespace flamingoloom::daemon {

class Runtime
{
public:
  // aSystem must outlive the runtime.
  explicit Runtime(caf::actor_system& aSystem);
  // Functions that have not run yet are dropped.
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  void Post(std::function<void()> aAction);
  void After(base::Duration aWait, std::function<void()> aAction);
  // Time since the runtime was made.
  base::Time Now() const;

  // Runs no function after it has returned; what is posted later is dropped.
  // Thread-safe, but not to be called from a posted function.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace flamingoloom::daemon
