#include "flamingoloom/ownership/membership.h"

#include <doctest/doctest.h>

namespace flamingoloom::ownership {
namespace {

platform::Member MakeMember(const std::string& aId,
                            platform::MemberKind aKind,
                            const std::string& aDataCentre,
                            const std::string& aRegion)
{
  platform::Member member;
  member.mId = aId;
  member.mKind = aKind;
  member.mDataCentre = base::DataCentreId(aDataCentre);
  member.mRegion = base::RegionId(aRegion);
  return member;
}

} // namespace

// Guards against new work for a draining server while the list lags behind.
TEST_CASE("an announced draining state survives a list that lacks it")
{
  auto server = MakeMember("s1", platform::MemberKind::eServer, "dc1", "r1");
  Membership members;
  members.Update({ { server }, {} });
  CHECK(members.UsableServers(base::DataCentreId("dc1")).size() == 1);
  CHECK(members.MarkDraining("s1"));
  members.Update({ { server }, {} });
  CHECK(members.UsableServers(base::DataCentreId("dc1")).empty());
  CHECK(members.ListedServers(base::DataCentreId("dc1")).size() == 1);
  members.Update({});
  members.Update({ { server }, {} });
  CHECK(members.UsableServers(base::DataCentreId("dc1")).size() == 1);
}

// Guards against an owner in another region, behind the slow link, while a
// nearer instance is available, and against a draining instance that takes
// over.
TEST_CASE("nearer instances take over first and draining ones never")
{
  auto kind = platform::MemberKind::eInstance;
  Membership members;
  members.Update({ { MakeMember("far", kind, "dc3", "r2"),
                     MakeMember("near", kind, "dc2", "r1"),
                     MakeMember("same", kind, "dc1", "r1") },
                   {} });
  auto rank = [&](const std::string& aId) {
    return members.TakeoverRankOf(
      base::InstanceId(aId), base::DataCentreId("dc1"), base::RegionId("r1"));
  };
  CHECK(rank("same") == TakeoverRank{ true, 0 });
  CHECK(rank("near") == TakeoverRank{ true, 1 });
  CHECK(rank("far") == TakeoverRank{ true, 2 });
  members.MarkDraining("same");
  CHECK_FALSE(rank("same").mEligible);
  CHECK(rank("near").mRank == 0);
  CHECK_FALSE(rank("stranger").mEligible);
}

} // namespace flamingoloom::ownership
