#include "flamingoloom/jobs/job.h"

#include <algorithm>

namespace flamingoloom::jobs {

Resources& Resources::operator+=(const Resources& aOther)
{
  mCpuMilli += aOther.mCpuMilli;
  mMemoryMb += aOther.mMemoryMb;
  mAccelerators += aOther.mAccelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& aOther)
{
  mCpuMilli -= aOther.mCpuMilli;
  mMemoryMb -= aOther.mMemoryMb;
  mAccelerators -= aOther.mAccelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& aFree) const
{
  return mCpuMilli <= aFree.mCpuMilli && mMemoryMb <= aFree.mMemoryMb &&
         mAccelerators <= aFree.mAccelerators;
}

std::int64_t Resources::CountIn(const Resources& aFree) const
{
  if (!FitsIn(aFree)) {
    return 0;
  }
  std::int64_t count = kMaxCount;
  for (const auto& [need, free] :
       { std::pair{ mCpuMilli, aFree.mCpuMilli },
         std::pair{ mMemoryMb, aFree.mMemoryMb },
         std::pair{ mAccelerators, aFree.mAccelerators } }) {
    if (need > 0) {
      count = std::min(count, free / need);
    }
  }
  return count;
}

Resources Resources::Times(std::int64_t aCount) const
{
  return { mCpuMilli * aCount, mMemoryMb * aCount, mAccelerators * aCount };
}

double Resources::WeightedCores() const
{
  return static_cast<double>(mCpuMilli) / 1000.0 +
         static_cast<double>(mAccelerators) * kCoresPerAccelerator;
}

Resources StepSpec::Footprint() const
{
  Resources footprint = mPerTask;
  if (mUsesIdleCpu) {
    footprint.mCpuMilli = 0;
  }
  return footprint;
}

base::Duration JobSpec::LongestChain() const
{
  std::vector<base::Duration> finishTimes(mSteps.size());
  base::Duration longest{ 0 };
  for (std::size_t i = 0; i < mSteps.size(); ++i) {
    base::Duration start{ 0 };
    for (const int dependency : mSteps[i].mDependsOn) {
      start =
        std::max(start, finishTimes[static_cast<std::size_t>(dependency)]);
    }
    finishTimes[i] = start + mSteps[i].mEstimate;
    longest = std::max(longest, finishTimes[i]);
  }
  return longest;
}

bool IsFinal(JobState aState)
{
  return aState == JobState::eCompleted || aState == JobState::eFailed ||
         aState == JobState::eCancelled;
}

const char* JobStateName(JobState aState)
{
  switch (aState) {
    case JobState::eQueued:
      return "queued";
    case JobState::eRunning:
      return "running";
    case JobState::eCompleted:
      return "completed";
    case JobState::eFailed:
      return "failed";
    case JobState::eCancelled:
      return "cancelled";
  }
  return "queued";
}

} // namespace flamingoloom::jobs
