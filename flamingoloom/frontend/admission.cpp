#include "flamingoloom/frontend/admission.h"

namespace flamingoloom::frontend::internal {

bool Admission::TryEnter()
{
  std::lock_guard lock(mMutex);
  if (mLeaving) {
    return false;
  }
  mInProgress += 1;
  return true;
}

void Admission::Leave()
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
  mLeaving = true;
}

bool Admission::IsLeaving() const
{
  std::lock_guard lock(mMutex);
  return mLeaving;
}

bool Admission::WaitUntilIdle(base::Duration aTimeout)
{
  std::unique_lock lock(mMutex);
  return mIdle.wait_for(lock, aTimeout, [this]() { return mInProgress == 0; });
}

} // namespace flamingoloom::frontend::internal
