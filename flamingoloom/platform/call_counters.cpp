#include "flamingoloom/platform/call_counters.h"

namespace flamingoloom::platform {

void CallCounters::AddCall(const std::string& aAddress)
{
  std::lock_guard lock(mMutex);
  ++mPeers[aAddress].mCalls;
}

void CallCounters::AddFailure(const std::string& aAddress,
                              base::ErrorCode aCode)
{
  std::lock_guard lock(mMutex);
  ++mPeers[aAddress].mFailures[aCode];
}

void CallCounters::AddBytes(const std::string& aAddress,
                            std::uint64_t aSent,
                            std::uint64_t aReceived)
{
  std::lock_guard lock(mMutex);
  PeerCounters& peer = mPeers[aAddress];
  peer.mBytesSent += aSent;
  peer.mBytesReceived += aReceived;
}

std::map<std::string, PeerCounters> CallCounters::Values() const
{
  std::lock_guard lock(mMutex);
  return mPeers;
}

} // namespace flamingoloom::platform
