// An executor that keeps functions until a thread runs them. Thread-safe.
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
  // The mailbox must outlive the executor.
  std::function<void(std::function<void()>)> AsExecutor()
  {
    return [this](std::function<void()> aFunction) {
      std::lock_guard lock(mMutex);
      mFunctions.push_back(std::move(aFunction));
      mChanged.notify_one();
    };
  }

  // Waits for a function and runs it; returns false when there is none within
  // aWait.
  bool RunOne(std::chrono::milliseconds aWait)
  {
    std::unique_lock lock(mMutex);
    if (!mChanged.wait_for(lock, aWait, [&] { return !mFunctions.empty(); })) {
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
