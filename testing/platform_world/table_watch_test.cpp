#include "flamingoloom/node/table_watch.h"

#include <algorithm>

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
    [this](const std::vector<node::Row>& aRows) {
      for (const auto& row : aRows) {
        mNewestRow = std::max(mNewestRow, row.mVersion);
      }
    });
  // The highest version of a row that was reported.
  std::int64_t mNewestRow = 0;
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

// After the history is forgotten the table is read page by page. Guards against
// an instance that continues from the version of the first page, or counts its
// state as confirmed, without the changes that are on later pages.
TEST_CASE("A version and time are named only with the state that they have")
{
  Fixture fixture;
  for (const char* key : { "a", "b", "c", "d" }) {
    fixture.mStore.Put("table", key, "1");
  }
  fixture.mStore.SetMaxRowsPerPage(1);
  fixture.mWatch->Start();
  fixture.mClock.RunFor(milliseconds(100));
  REQUIRE(fixture.mWatch->IsComplete());
  fixture.mStoreConnection.SetFault(StoreFault::eRejectsCalls);
  fixture.mClock.RunFor(milliseconds(500));
  fixture.mStore.Put("table", "d", "2");
  const auto changedAt = fixture.mClock.Now();
  const auto version = fixture.mStore.Version();
  fixture.mStore.CompactHistory();
  fixture.mStoreConnection.SetFault(StoreFault::eNone);
  for (int ms = 0; ms < 1000; ++ms) {
    fixture.mClock.RunFor(milliseconds(1));
    if (fixture.mNewestRow < version) {
      CHECK(fixture.mWatch->Version() < version);
      CHECK(fixture.mWatch->LastContact() <= changedAt);
    }
  }
  CHECK(fixture.mNewestRow == version);
}

} // namespace
} // namespace flamingoloom::testing::platform_world
