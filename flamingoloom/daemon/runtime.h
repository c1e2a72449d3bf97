// Executor and clock of an instance: one CAF actor whose messages are
// functions.
//
//   Runtime runtime(system);
//   runtime.Post([&] { instance.Start(); });
//
// Posted functions run sequentially. Post and Now are thread-safe; After must
// be called from a posted function. The clock is that of the actor system,
// which tests can pause and advance.
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
  // Drops the functions that have not run yet.
  ~Runtime();
  Runtime(const Runtime&) = delete;
  Runtime& operator=(const Runtime&) = delete;

  void Post(std::function<void()> aAction);
  void After(base::Duration aDelay, std::function<void()> aAction);
  // Returns the time since the construction of the runtime.
  base::Time Now() const;

  // Blocks until the actor has exited. No function runs afterwards; functions
  // that are posted later are dropped. Thread-safe, but must not be called from
  // a posted function, which would deadlock.
  void Stop();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace flamingoloom::daemon
