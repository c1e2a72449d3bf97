#include "testing/fakes/virtual_clock.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingoloom::testing::fakes {

bool VirtualClock::IsLater(const Entry& aLeft, const Entry& aRight)
{
  return std::tie(aLeft.mTime, aLeft.mSequence) >
         std::tie(aRight.mTime, aRight.mSequence);
}

// SplitMix64, which is cheap and has no weak seeds.
std::uint64_t VirtualClock::Random()
{
  mState += 0x9e3779b97f4a7c15;
  std::uint64_t value = mState;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

bool VirtualClock::Chance(double aProbability)
{
  constexpr double kValues = 9007199254740992.0; // 2^53
  return static_cast<double>(Random() >> 11) < aProbability * kValues;
}

base::Duration VirtualClock::Between(base::Duration aFrom, base::Duration aTo)
{
  auto span = static_cast<std::uint64_t>((aTo - aFrom).count()) + 1;
  return aFrom + base::Duration(static_cast<std::int64_t>(Random() % span));
}

void VirtualClock::At(base::Time aTime, std::function<void()> aAction)
{
  std::size_t index = mActions.size();
  if (mFreeIndices.empty()) {
    mActions.push_back(std::move(aAction));
  } else {
    index = mFreeIndices.back();
    mFreeIndices.pop_back();
    mActions[index] = std::move(aAction);
  }
  mHeap.push_back({ std::max(aTime, mNow), mSequence++, index });
  std::push_heap(mHeap.begin(), mHeap.end(), IsLater);
}

void VirtualClock::After(base::Duration aWait, std::function<void()> aAction)
{
  At(mNow + aWait, std::move(aAction));
}

void VirtualClock::RunUntil(base::Time aTime)
{
  while (!mHeap.empty() && mHeap.front().mTime <= aTime) {
    std::pop_heap(mHeap.begin(), mHeap.end(), IsLater);
    Entry entry = mHeap.back();
    mHeap.pop_back();
    std::function<void()> action =
      std::exchange(mActions[entry.mActionIndex], {});
    mFreeIndices.push_back(entry.mActionIndex);
    mNow = entry.mTime;
    ++mEventsRun;
    action();
  }
  mNow = std::max(mNow, aTime);
}

} // namespace flamingoloom::testing::fakes
