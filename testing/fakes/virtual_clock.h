// Virtual time and the queue of everything that happens in it.
//
// Deterministic: events run in the order of their times, and in the order in
// which they were added when the times are equal; all random values come from
// the one seed. Not thread-safe; each run has a clock of its own.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "flamingoloom/base/time.h"

namespace flamingoloom::testing::fakes {

class VirtualClock
{
public:
  explicit VirtualClock(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  base::Time Now() const { return mNow; }

  // Uniform over all values.
  std::uint64_t Random();
  // True with probability aProbability.
  bool Chance(double aProbability);
  // Uniform in [aFrom, aTo].
  base::Duration Between(base::Duration aFrom, base::Duration aTo);

  // A time that has passed counts as now.
  void At(base::Time aTime, std::function<void()> aAction);
  void After(base::Duration aWait, std::function<void()> aAction);

  // Runs all events up to and including aTime, which then is now.
  void RunUntil(base::Time aTime);
  void RunFor(base::Duration aDuration) { RunUntil(mNow + aDuration); }

  std::uint64_t EventsRun() const { return mEventsRun; }

private:
  // Actions stay in place while the heap moves these small entries.
  struct Entry
  {
    base::Time mTime;
    std::uint64_t mSequence = 0;
    std::size_t mSlot = 0;
  };
  static bool Later(const Entry& aLeft, const Entry& aRight);

  std::uint64_t mState;
  base::Time mNow{};
  std::uint64_t mSequence = 0;
  std::uint64_t mEventsRun = 0;
  std::vector<Entry> mHeap;
  std::vector<std::function<void()>> mActions;
  std::vector<std::size_t> mFreeSlots;
};

} // namespace flamingoloom::testing::fakes
