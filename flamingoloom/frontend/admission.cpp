#include "flamingoloom/frontend/admission.h"

namespace flamingoloom::frontend::internal {

bool Admission::TryBeginRequest()
{
  std::lock_guard lock(mMutex);
  if (mShuttingDown) {
    return false;
  }
  mInProgress += 1;
  return true;
}

void Admission::EndRequest()
{
  std::lock_guard lock(mMutex);
  mInProgress -= 1;
  if (mInProgress == 0) {
    mIdle.notify_all();
  }
}

void Admission::BeginShutdown()
{
  std::lock_guard lock(mMutex);
  mShuttingDown = true;
}

bool Admission::IsShuttingDown() const
{
  std::lock_guard lock(mMutex);
  return mShuttingDown;
}

bool Admission::WaitUntilIdle(base::Duration aTimeout)
{
  std::unique_lock lock(mMutex);
  return mIdle.wait_for(lock, aTimeout, [this]() { return mInProgress == 0; });
}

} // namespace flamingoloom::frontend::internal
