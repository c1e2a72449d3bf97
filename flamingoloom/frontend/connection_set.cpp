#include "flamingoloom/frontend/connection_set.h"

#include <sys/socket.h>

namespace flamingoloom::frontend::internal {

bool ConnectionSet::Add(int aSocket)
{
  std::lock_guard lock(mMutex);
  if (mClosed || (mSockets.size() >= mLimit && !EndLongestIdle())) {
    return false;
  }
  mSockets[aSocket] = 0;
  return true;
}

// Only the receiving side is shut down: a request that has arrived already is
// still read and answered.
bool ConnectionSet::EndLongestIdle()
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
    mSockets[aSocket] = ++mLastIdle;
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
  for (const auto& [socket, idleSince] : mSockets) {
    if (idleSince != 0) {
      shutdown(socket, SHUT_RD);
    }
  }
}

} // namespace flamingoloom::frontend::internal
