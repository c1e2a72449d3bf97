// Virtual clock with an event queue and a random number generator.
//
// The clock is deterministic: events run in the order of their times, events of
// the same time run in the order in which they were added, and all random
// values derive from one seed. Not thread-safe; each run has its own clock.
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

  // Returns a value that is uniform over all 64-bit values.
  std::uint64_t Random();
  // Returns true with probability aProbability.
  bool Chance(double aProbability);
  // Returns a duration that is uniform in [aFrom, aTo].
  base::Duration Between(base::Duration aFrom, base::Duration aTo);

  // Schedules aAction. A time in the past counts as the current time.
  void At(base::Time aTime, std::function<void()> aAction);
  void After(base::Duration aWait, std::function<void()> aAction);

  // Runs all events up to and including aTime and sets the current time to it.
  void RunUntil(base::Time aTime);
  void RunFor(base::Duration aDuration) { RunUntil(mNow + aDuration); }

  std::uint64_t EventsRun() const { return mEventsRun; }

private:
  // Heap entry. It refers to its action by index, so that heap operations do
  // not move the larger std::function objects.
  struct Entry
  {
    base::Time mTime;
    std::uint64_t mSequence = 0;
    std::size_t mActionIndex = 0;
  };
  static bool IsLater(const Entry& aLeft, const Entry& aRight);

  std::uint64_t mState;
  base::Time mNow{};
  std::uint64_t mSequence = 0;
  std::uint64_t mEventsRun = 0;
  std::vector<Entry> mHeap;
  std::vector<std::function<void()>> mActions;
  std::vector<std::size_t> mFreeIndices;
};

} // namespace flamingoloom::testing::fakes
