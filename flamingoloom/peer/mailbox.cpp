#include "flamingoloom/peer/mailbox.h"

#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

namespace flamingoloom::peer::internal {

Mailbox::Mailbox()
  : mDescriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

Mailbox::~Mailbox()
{
  if (mDescriptor >= 0) {
    close(mDescriptor);
  }
}

bool Mailbox::Post(Action& aAction)
{
  std::lock_guard lock(mMutex);
  if (mClosed) {
    return false;
  }
  bool wake = mActions.empty();
  mActions.push_back(std::move(aAction));
  if (wake) {
    // This fails only when the counter is at its maximum; the descriptor is
    // readable then.
    (void)eventfd_write(mDescriptor, 1);
  }
  return true;
}

std::vector<Action> Mailbox::Take()
{
  std::lock_guard lock(mMutex);
  return std::exchange(mActions, {});
}

void Mailbox::Close()
{
  std::lock_guard lock(mMutex);
  mClosed = true;
}

} // namespace flamingoloom::peer::internal
