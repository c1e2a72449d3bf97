#include "flamingoloom/frontend/connection_set.h"

#include <sys/socket.h>

namespace flamingoloom::frontend::internal {

bool ConnectionSet::Add(int aSocket)
{
  std::lock_guard lock(mMutex);
  if (mClosed || mSockets.size() >= mLimit) {
    return false;
  }
  mSockets[aSocket] = false;
  return true;
}

void ConnectionSet::Remove(int aSocket)
{
  std::lock_guard lock(mMutex);
  mSockets.erase(aSocket);
}

bool ConnectionSet::MarkIdle(int aSocket)
{
  std::lock_guard lock(mMutex);
  if (!mClosed) {
    mSockets[aSocket] = true;
  }
  return !mClosed;
}

void ConnectionSet::MarkBusy(int aSocket)
{
  std::lock_guard lock(mMutex);
  mSockets[aSocket] = false;
}

void ConnectionSet::Close()
{
  std::lock_guard lock(mMutex);
  mClosed = true;
  for (const auto& [socket, idle] : mSockets) {
    if (idle) {
      shutdown(socket, SHUT_RD);
    }
  }
}

} // namespace flamingoloom::frontend::internal
