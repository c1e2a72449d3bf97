#include "flamingoloom/node/table_watch.h"

#include <doctest/doctest.h>

#include "testing/platform_world/clock_loop.h"
#include "testing/platform_world/fake_store.h"
#include "testing/platform_world/silent_log.h"

namespace flamingoloom::testing::platform_world {
namespace {

using std::chrono::milliseconds;

struct Fixture
{
  fakes::VirtualClock mClock{ 1 };
  FakeStore mStore{ mClock };
  StoreConnection mStoreConnection{ mStore, mClock };
  ClockLoop mLoop{ mClock };
  SilentLog mLog;
  std::shared_ptr<node::TableWatch> mWatch = std::make_shared<node::TableWatch>(
    node::Ports{ &mLoop, &mStoreConnection, nullptr, nullptr, &mLog },
    "table",
    std::vector<std::string>{ "" },
    node::TableWatchTiming{},
    [](const std::vector<node::Row>&) {});
};

// Guards against an instance that keeps rejecting callers for a whole wait
// after the store is reachable again, because no row of the table changes.
TEST_CASE(
  "A store that is reachable again is detected at once without any change")
{
  Fixture fixture;
  fixture.mWatch->Start();
  fixture.mClock.RunFor(milliseconds(100));
  REQUIRE(fixture.mWatch->IsConnected());
  fixture.mStoreConnection.SetFault(StoreFault::eRejectsCalls);
  fixture.mClock.RunFor(milliseconds(4000));
  REQUIRE_FALSE(fixture.mWatch->IsConnected());
  fixture.mStoreConnection.SetFault(StoreFault::eNone);
  fixture.mClock.RunFor(node::TableWatchTiming{}.mRetryDelay +
                        milliseconds(50));
  CHECK(fixture.mWatch->IsConnected());
}

} // namespace
} // namespace flamingoloom::testing::platform_world
