// Passes actions from any thread to the thread that runs the event loop.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace flamingoloom::peer::internal {

using Action = std::function<void()>;

// Thread-safe queue with a file descriptor that becomes readable when an action
// is posted to the empty queue. The event loop waits for the descriptor, so it
// needs no polling.
class Mailbox
{
public:
  Mailbox();
  ~Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // Returns an eventfd in non-blocking mode, which the mailbox owns; negative
  // when it could not be created.
  int Descriptor() const { return mDescriptor; }

  // Moves aAction into the queue. Returns false, and leaves aAction unchanged,
  // when the mailbox is closed.
  bool Post(Action& aAction);

  // Removes and returns all queued actions in the order of posting. The caller
  // must have read the descriptor before.
  std::vector<Action> Take();

  // Makes all later calls of Post return false.
  void Close();

private:
  const int mDescriptor;
  std::mutex mMutex;
  std::vector<Action> mActions;
  bool mClosed = false;
};

} // namespace flamingoloom::peer::internal
