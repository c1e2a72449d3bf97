// Blocks a thread of the front end until the handler calls its callback.
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

// Calls aStart with a callback and waits for the first value that the callback
// receives. Returns eOutcomeUnknown when no value arrives within aTimeout or
// when all copies of the callback are destroyed without a call. The callback
// may be called after this function has returned; such a value is ignored.
template <class T, class Start>
base::Expected<T> AwaitCallback(const std::string& aStep,
                                base::Duration aTimeout,
                                Start aStart)
{
  struct State
  {
    std::atomic<bool> mHasValue = false;
    std::promise<base::Expected<T>> mPromise;
  };
  auto state = std::make_shared<State>();
  std::future<base::Expected<T>> future = state->mPromise.get_future();
  aStart(
    platform::Done<T>([state = std::move(state)](base::Expected<T> aValue) {
      if (!state->mHasValue.exchange(true)) {
        state->mPromise.set_value(std::move(aValue));
      }
    }));
  if (future.wait_for(aTimeout) != std::future_status::ready) {
    return base::MakeError(base::ErrorCode::eOutcomeUnknown,
                           aStep,
                           "instance",
                           "timed out waiting for the response");
  }
  try {
    return future.get();
  } catch (const std::future_error&) {
    return base::MakeError(base::ErrorCode::eOutcomeUnknown,
                           aStep,
                           "instance",
                           "the request was dropped without a response");
  }
}

} // namespace flamingoloom::frontend::internal
