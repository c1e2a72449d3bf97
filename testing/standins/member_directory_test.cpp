#include <doctest/doctest.h>

#include "testing/standins/member_directory.h"

namespace flamingoloom::standins {
namespace {

using std::chrono::milliseconds;

constexpr base::Time kStart(std::chrono::hours(1));

} // namespace

// Guards against dead members that stay in the list.
TEST_CASE("a member disappears 5 s after its last announcement")
{
  MemberDirectory directory;
  directory.Announce(kStart, { .mId = "a" });
  directory.Announce(kStart + milliseconds(3000), { .mId = "a" });
  CHECK(directory.List(kStart + milliseconds(7999), {}).mMembers.size() == 1);
  CHECK(directory.List(kStart + milliseconds(8000), {}).mMembers.empty());
}

// Guards against a list that is fresher than its lag, which would hide faults
// that only an old list causes.
TEST_CASE("the list shows announcements as they were before the lag")
{
  MemberDirectory directory;
  const platform::Member live{ .mId = "a" };
  const platform::Member leaving{ .mId = "a",
                                  .mState = platform::MemberState::eDraining };
  directory.Announce(kStart, live);
  directory.Announce(kStart + milliseconds(1000), leaving);
  const base::Duration lag = milliseconds(2000);
  CHECK(directory.List(kStart + milliseconds(1999), lag).mMembers.empty());
  const auto list = directory.List(kStart + milliseconds(2999), lag);
  CHECK(list.mAge == lag);
  CHECK(list.mMembers == std::vector{ live });
  CHECK(directory.List(kStart + milliseconds(3000), lag).mMembers ==
        std::vector{ leaving });
  CHECK(directory.List(kStart + milliseconds(8000), lag).mMembers.empty());
}

} // namespace flamingoloom::standins
