// An instance's event loop on the virtual clock; timers of an instance that was
// killed do not fire.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "flamingoloom/node/ports.h"
#include "testing/fakes/virtual_clock.h"

namespace flamingoloom::testing::platform_world {

class ClockLoop : public node::Loop
{
public:
  explicit ClockLoop(fakes::VirtualClock& aClock)
    : mClock(aClock)
  {
  }

  base::Time Now() const override { return mClock.Now(); }
  std::int64_t UnixMs() const override
  {
    return base::ToMilliseconds(mClock.Now().time_since_epoch());
  }
  void After(base::Duration aDelay, std::function<void()> aThen) override
  {
    mClock.After(aDelay, [alive = mAlive, then = std::move(aThen)] {
      if (*alive) {
        then();
      }
    });
  }
  void Kill() { *mAlive = false; }

private:
  fakes::VirtualClock& mClock;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace flamingoloom::testing::platform_world
