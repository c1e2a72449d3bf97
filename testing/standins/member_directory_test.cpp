#include <doctest/doctest.h>

#include "testing/standins/member_directory.h"

namespace flamingoloom::standins {
namespace {

using std::chrono::milliseconds;

constexpr base::Time kStart(std::chrono::hours(1));

} // namespace

// Guards against crashed members that stay in the list because their
// announcements never expire.
TEST_CASE("a member is removed 5 s after its last announcement")
{
  MemberDirectory directory;
  directory.Announce(kStart, { .mId = "a" });
  directory.Announce(kStart + milliseconds(3000), { .mId = "a" });
  CHECK(directory.List(kStart + milliseconds(7999), {}).mMembers.size() == 1);
  CHECK(directory.List(kStart + milliseconds(8000), {}).mMembers.empty());
}

// Guards against a list that ignores its lag and shows new announcements at
// once. Tests would then miss faults that only a stale member list causes.
TEST_CASE("the list shows the members as they were announced one lag ago")
{
  MemberDirectory directory;
  const platform::Member live{ .mId = "a" };
  const platform::Member draining{ .mId = "a",
                                   .mState = platform::MemberState::eDraining };
  directory.Announce(kStart, live);
  directory.Announce(kStart + milliseconds(1000), draining);
  const base::Duration lag = milliseconds(2000);
  CHECK(directory.List(kStart + milliseconds(1999), lag).mMembers.empty());
  const auto list = directory.List(kStart + milliseconds(2999), lag);
  CHECK(list.mAge == lag);
  CHECK(list.mMembers == std::vector{ live });
  CHECK(directory.List(kStart + milliseconds(3000), lag).mMembers ==
        std::vector{ draining });
  CHECK(directory.List(kStart + milliseconds(8000), lag).mMembers.empty());
}

} // namespace flamingoloom::standins
