// Waits on a thread of the front end for the callback of the handler.
#pragma once

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/platform/ports.h"

namespace flamingoloom::frontend::internal {

// Calls aStart with a callback and waits for the first value it is given. The
// callback may be used later than this waits. Without a value within
// aTimeout, or when all copies of the callback are destroyed, the outcome is
// unknown.
template <class T, class Start>
base::Expected<T> Await(const std::string& aStep,
                        base::Duration aTimeout,
                        Start aStart)
{
  struct State
  {
    std::atomic<bool> mGiven = false;
    std::promise<base::Expected<T>> mPromise;
  };
  auto state = std::make_shared<State>();
  std::future<base::Expected<T>> future = state->mPromise.get_future();
  aStart(
    platform::Done<T>([state = std::move(state)](base::Expected<T> aValue) {
      if (!state->mGiven.exchange(true)) {
        state->mPromise.set_value(std::move(aValue));
      }
    }));
  if (future.wait_for(aTimeout) != std::future_status::ready) {
    return base::MakeError(
      base::ErrorCode::eOutcomeUnknown, aStep, "instance", "no answer in time");
  }
  try {
    return future.get();
  } catch (const std::future_error&) {
    return base::MakeError(base::ErrorCode::eOutcomeUnknown,
                           aStep,
                           "instance",
                           "the request was dropped");
  }
}

} // namespace flamingoloom::frontend::internal
