// Queue of functions that are posted by any thread and run by the thread that
// calls RunOne. Thread-safe.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace flamingoloom::standins {

class Mailbox
{
public:
  // Returns an executor that appends functions to the queue. The mailbox must
  // outlive it.
  std::function<void(std::function<void()>)> AsExecutor()
  {
    return [this](std::function<void()> aFunction) {
      std::lock_guard lock(mMutex);
      mFunctions.push_back(std::move(aFunction));
      mChanged.notify_one();
    };
  }

  // Waits up to aTimeout for a function, removes it from the queue and runs it.
  // Returns false if none arrived in time.
  bool RunOne(std::chrono::milliseconds aTimeout)
  {
    std::unique_lock lock(mMutex);
    if (!mChanged.wait_for(
          lock, aTimeout, [&] { return !mFunctions.empty(); })) {
      return false;
    }
    auto function = std::move(mFunctions.front());
    mFunctions.pop_front();
    lock.unlock();
    function();
    return true;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mFunctions;
};

} // namespace flamingoloom::standins
