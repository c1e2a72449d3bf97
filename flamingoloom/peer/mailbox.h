// Hands work from any thread to the thread that runs the event loop.
#pragma once

#include <functional>
#include <mutex>
#include <vector>

namespace flamingoloom::peer::internal {

using Action = std::function<void()>;

// Thread-safe queue that makes a file descriptor readable while it holds
// work. The loop waits for the descriptor and so needs no polling.
class Mailbox
{
public:
  Mailbox();
  ~Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  // An eventfd in non-blocking mode, owned by this; negative when the system
  // had none to give.
  int Descriptor() const { return mDescriptor; }

  // False when the mailbox is closed; aAction is then not taken over.
  bool Post(Action& aAction);

  // All queued actions in the order of posting. The caller has read the
  // descriptor before.
  std::vector<Action> Take();

  // Refuses all later actions.
  void Close();

private:
  const int mDescriptor;
  std::mutex mMutex;
  std::vector<Action> mActions;
  bool mClosed = false;
};

} // namespace flamingoloom::peer::internal
