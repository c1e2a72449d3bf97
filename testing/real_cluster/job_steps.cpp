#include "testing/real_cluster/job_steps.h"

#include <algorithm>
#include <limits>

namespace flamingoloom::testing::real_cluster {

Capacity& Capacity::operator+=(const Capacity& aOther)
{
  mCpuMilli += aOther.mCpuMilli;
  mMemoryMb += aOther.mMemoryMb;
  mGpus += aOther.mGpus;
  return *this;
}

Capacity& Capacity::operator-=(const Capacity& aOther)
{
  mCpuMilli -= aOther.mCpuMilli;
  mMemoryMb -= aOther.mMemoryMb;
  mGpus -= aOther.mGpus;
  return *this;
}

bool Capacity::Holds(const Capacity& aNeed) const
{
  return Fits(aNeed) > 0;
}

long Capacity::Fits(const Capacity& aNeed) const
{
  long fits = std::numeric_limits<int>::max();
  const auto limit = [&fits](long aHas, long aNeeds) {
    if (aNeeds > 0) {
      fits = std::min(fits, std::max(aHas, 0L) / aNeeds);
    }
  };
  limit(mCpuMilli, aNeed.mCpuMilli);
  limit(mMemoryMb, aNeed.mMemoryMb);
  limit(mGpus, aNeed.mGpus);
  return fits;
}

double Capacity::ShareOf(const Capacity& aTotal) const
{
  const auto share = [](long aPart, long aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                      : static_cast<double>(aPart > 0);
  };
  return std::max({ share(mCpuMilli, aTotal.mCpuMilli),
                    share(mMemoryMb, aTotal.mMemoryMb),
                    share(mGpus, aTotal.mGpus) });
}

nlohmann::json JobStep::ToJson() const
{
  nlohmann::json step{ { "count", mCount },
                       { "cpu", mNeed.mCpuMilli },
                       { "requested-memory-mb", mNeed.mMemoryMb },
                       { "gpus", mNeed.mGpus },
                       { "estimated-duration-ms", static_cast<long>(mMs) } };
  if (mGang) {
    step["gang"] = true;
  }
  if (mSameRack) {
    step["same-rack"] = true;
  }
  if (mLasts) {
    step["long-running"] = true;
  }
  if (!mDataRack.empty()) {
    step["data-rack"] = mDataRack;
  }
  if (!mAfter.empty()) {
    step["after"] = mAfter;
  }
  return step;
}

TaskName ParseTaskName(const std::string& aName)
{
  const auto occurrence = aName.find('.');
  const auto step = aName.find('.', occurrence + 1);
  const auto index = aName.find('.', step + 1);
  return { aName.substr(0, occurrence),
           std::stoul(aName.substr(step + 1)),
           std::stoi(aName.substr(index + 1)) };
}

} // namespace flamingoloom::testing::real_cluster
