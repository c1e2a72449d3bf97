// A network link of limited bandwidth under virtual time; its transfers share
// the bandwidth equally. Not thread-safe.
#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <utility>

#include "testing/fakes/virtual_clock.h"

namespace flamingoloom::testing::platform_world {

class SharedLink
{
public:
  // aBytesPerSecond must be positive. aClock must outlive the link.
  SharedLink(fakes::VirtualClock& aClock, double aBytesPerSecond)
    : mClock(aClock)
    , mBytesPerSecond(aBytesPerSecond)
  {
  }

  // Calls aDone when aBytes have passed the link.
  void Transfer(std::size_t aBytes, std::function<void()> aDone);

  std::size_t BytesPassed() const { return mBytesPassed; }

private:
  struct Item
  {
    double mBytesLeft = 0;
    std::function<void()> mDone;
  };

  // Deducts what has passed since the last call.
  void Advance();
  void ScheduleNextCompletion();

  fakes::VirtualClock& mClock;
  const double mBytesPerSecond;
  std::list<Item> mItems;
  base::Time mAdvancedTo;
  // Completions that were scheduled before the last change are outdated.
  std::uint64_t mChanges = 0;
  std::size_t mBytesPassed = 0;
};

} // namespace flamingoloom::testing::platform_world
