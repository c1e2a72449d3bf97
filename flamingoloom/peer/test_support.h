// Helpers for the tests and the benchmark in this folder.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "flamingoloom/peer/peer_node.h"

namespace flamingoloom::peer::test {

// Runs actions in order on one thread, as the mailbox of an actor does.
class ActionThread
{
public:
  ActionThread()
    : mThread([this]() { Run(); })
  {
  }

  ~ActionThread()
  {
    Post(nullptr);
    mThread.join();
  }

  void Post(std::function<void()> aAction)
  {
    std::lock_guard lock(mMutex);
    mActions.push_back(std::move(aAction));
    mChanged.notify_one();
  }

  Executor AsExecutor()
  {
    return [this](std::function<void()> aAction) { Post(std::move(aAction)); };
  }

  std::thread::id Id() const { return mThread.get_id(); }

private:
  void Run()
  {
    while (std::function<void()> action = Next()) {
      action();
    }
  }

  std::function<void()> Next()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait(lock, [this]() { return !mActions.empty(); });
    std::function<void()> action = std::move(mActions.front());
    mActions.pop_front();
    return action;
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mActions;
  std::thread mThread;
};

// Waits for the result that a callback receives.
template <class T>
class AwaitedResult
{
public:
  platform::Done<T> AsDone()
  {
    return [promise = mPromise](base::Expected<T> aValue) {
      promise->set_value(std::move(aValue));
    };
  }

  // Returns the result that AsDone() received, and waits for it if necessary.
  // Throws when none arrives, so that a missing callback fails the test instead
  // of blocking it.
  base::Expected<T> Value()
  {
    if (mFuture.wait_for(std::chrono::seconds(20)) !=
        std::future_status::ready) {
      throw std::runtime_error("no callback arrived");
    }
    return mFuture.get();
  }

private:
  std::shared_ptr<std::promise<base::Expected<T>>> mPromise =
    std::make_shared<std::promise<base::Expected<T>>>();
  std::future<base::Expected<T>> mFuture = mPromise->get_future();
};

inline std::unique_ptr<PeerNode> StartNode(ActionThread& aActions,
                                           PeerHandler aHandler = {},
                                           PeerSettings aSettings = {})
{
  auto node =
    PeerNode::Start(aSettings, std::move(aHandler), aActions.AsExecutor());
  if (!node) {
    throw std::runtime_error(node.error().ToString());
  }
  return std::move(*node);
}

inline platform::PeerAddress PeerAt(const std::string& aAddress)
{
  return { base::InstanceId("peer-1"), aAddress };
}

inline platform::PeerAddress PeerOf(const PeerNode& aNode)
{
  return PeerAt(aNode.Address());
}

} // namespace flamingoloom::peer::test
