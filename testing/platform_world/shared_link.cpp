#include "testing/platform_world/shared_link.h"

#include <algorithm>
#include <vector>

namespace flamingoloom::testing::platform_world {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

void SharedLink::Transfer(std::size_t aBytes, std::function<void()> aDone)
{
  Advance();
  mBytesPassed += aBytes;
  mItems.push_back({ static_cast<double>(aBytes), std::move(aDone) });
  ScheduleNextCompletion();
}

void SharedLink::Advance()
{
  const auto elapsed = mClock.Now() - mAdvancedTo;
  mAdvancedTo = mClock.Now();
  const double passed =
    static_cast<double>(elapsed.count()) / kMicrosecondsPerSecond *
    mBytesPerSecond /
    static_cast<double>(std::max<std::size_t>(1, mItems.size()));
  for (auto& item : mItems) {
    item.mBytesLeft -= passed;
  }
}

void SharedLink::ScheduleNextCompletion()
{
  if (mItems.empty()) {
    return;
  }
  const auto next = std::min_element(
    mItems.begin(), mItems.end(), [](const Item& aLeft, const Item& aRight) {
      return aLeft.mBytesLeft < aRight.mBytesLeft;
    });
  const double seconds = std::max(0.0, next->mBytesLeft) *
                         static_cast<double>(mItems.size()) / mBytesPerSecond;
  // Rounded up, so that the transfer is complete at that time.
  const base::Duration wait(
    static_cast<std::int64_t>(seconds * kMicrosecondsPerSecond) + 1);
  mClock.After(wait, [this, change = ++mChanges] {
    if (change != mChanges) {
      return;
    }
    Advance();
    std::vector<std::function<void()>> done;
    for (auto item = mItems.begin(); item != mItems.end();) {
      if (item->mBytesLeft <= 0) {
        done.push_back(std::move(item->mDone));
        item = mItems.erase(item);
      } else {
        ++item;
      }
    }
    ScheduleNextCompletion();
    for (const auto& then : done) {
      then();
    }
  });
}

} // namespace flamingoloom::testing::platform_world
