#include "flamingoloom/frontend/connection_set.h"

#include <sys/socket.h>

namespace flamingoloom::frontend::internal {

bool ConnectionSet::Add(int aSocket)
{
  std::lock_guard lock(mMutex);
  if (mClosed || (mSockets.size() >= mLimit && !EvictLongestIdle())) {
    return false;
  }
  mSockets[aSocket] = 0;
  return true;
}

// Shuts down only the receiving side, so that a request that has already
// arrived is still read and answered.
bool ConnectionSet::EvictLongestIdle()
{
  auto longest = mSockets.end();
  for (auto entry = mSockets.begin(); entry != mSockets.end(); ++entry) {
    if (entry->second != 0 &&
        (longest == mSockets.end() || entry->second < longest->second)) {
      longest = entry;
    }
  }
  if (longest == mSockets.end()) {
    return false;
  }
  shutdown(longest->first, SHUT_RD);
  mSockets.erase(longest);
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
    mSockets[aSocket] = ++mLastIdleSequence;
  }
  return !mClosed;
}

void ConnectionSet::MarkBusy(int aSocket)
{
  std::lock_guard lock(mMutex);
  mSockets[aSocket] = 0;
}

void ConnectionSet::Close()
{
  std::lock_guard lock(mMutex);
  mClosed = true;
  for (const auto& [socket, idleSequence] : mSockets) {
    if (idleSequence != 0) {
      shutdown(socket, SHUT_RD);
    }
  }
}

} // namespace flamingoloom::frontend::internal
