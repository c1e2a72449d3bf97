#include "flamingoloom/placement/placement.h"

#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include "flamingoloom/placement/backfill.h"

namespace flamingoloom::placement {

namespace {

using base::AccountId;
using std::chrono::seconds;

const DataCentreCapacity kTwoRacks{ base::DataCentreId("a"), 2, 8, 8 };
constexpr WorkProperties kNonPreemptible{};
constexpr WorkProperties kPreemptible{ true, false, true };
constexpr WorkProperties kCheckpointable{ true, true, true };

base::Time At(int aSeconds)
{
  return base::Time(seconds(aSeconds));
}

Job MakeJob(const char* aAccount,
            const char* aKey,
            int aAccelerators,
            WorkProperties aProperties,
            base::Duration aRunTime = seconds(100))
{
  return {
    { AccountId(aAccount), aKey }, aProperties, aAccelerators, 1, true, aRunTime
  };
}

const Placed& RequirePlaced(const Decision& aDecision)
{
  REQUIRE(std::holds_alternative<Placed>(aDecision));
  return std::get<Placed>(aDecision);
}

Decision Wait(WaitReason aReason)
{
  return MustWait{ aReason };
}

} // namespace

// Guards against a guarantee that its account cannot reclaim because
// non-preemptible work of other accounts holds the capacity.
TEST_CASE("non-preemptible work leaves capacity for the guarantees")
{
  Placement placement(kTwoRacks);
  placement.SetGuarantees(std::vector<Demand>{ { AccountId("x"), 64, 1 } });
  RequirePlaced(placement.Place(MakeJob("y", "1", 32, kNonPreemptible), At(0)));
  RequirePlaced(placement.Place(MakeJob("y", "2", 32, kNonPreemptible), At(0)));
  CHECK(placement.Place(MakeJob("y", "3", 1, kNonPreemptible), At(0)) ==
        Wait(WaitReason::eGuarantees));
  RequirePlaced(placement.Place(MakeJob("x", "1", 64, kNonPreemptible), At(0)));
  CHECK(placement.FreeAccelerators() == 0);
  CHECK(placement.Place(MakeJob("z", "1", 128, kNonPreemptible), At(0)) ==
        Decision{ NeverFits{ NeverReason::eGuarantees } });
  CHECK(placement.Place(MakeJob("z", "2", 129, kNonPreemptible), At(0)) ==
        Decision{ NeverFits{ NeverReason::eTooLarge } });
}

// Guards against preemption that loses more work than necessary, and against
// the preemption of work that must not run twice.
TEST_CASE("preemption selects checkpointable work first, then the youngest")
{
  Placement placement(kTwoRacks);
  placement.SetGuarantees(std::vector<Demand>{ { AccountId("x"), 32, 3 } });
  RequirePlaced(
    placement.Place(MakeJob("y", "firm", 32, kNonPreemptible), At(0)));
  RequirePlaced(placement.Place(MakeJob("y", "old", 32, kPreemptible), At(1)));
  RequirePlaced(
    placement.Place(MakeJob("y", "saved", 32, kCheckpointable), At(2)));
  RequirePlaced(
    placement.Place(MakeJob("y", "young", 32, kPreemptible), At(3)));
  const auto victim = [&](const char* aKey) {
    return RequirePlaced(
             placement.Place(MakeJob("x", aKey, 32, kNonPreemptible), At(9)))
      .mPreempted.at(0);
  };
  const Preemption saved = victim("1");
  CHECK(saved.mRequest.mKey == "saved");
  CHECK(saved.mMethod == PreemptionMethod::eCheckpoint);
  CHECK(victim("2").mRequest.mKey == "young");
  CHECK(victim("3").mRequest.mKey == "old");
  CHECK(placement.Place(MakeJob("x", "4", 32, kNonPreemptible), At(9)) ==
        Wait(WaitReason::eNoFreeBlock));
}

// Guards against assigning the blocks of a preempted gang to other work before
// the gang has released them.
TEST_CASE("a preempted gang holds its other blocks until it is finished")
{
  Placement placement(kTwoRacks);
  placement.SetGuarantees(std::vector<Demand>{ { AccountId("x"), 8, 1 } });
  RequirePlaced(placement.Place(MakeJob("y", "1", 128, kPreemptible), At(0)));
  const Placed placed = RequirePlaced(
    placement.Place(MakeJob("x", "1", 8, kNonPreemptible), At(1)));
  REQUIRE(placed.mPreempted.size() == 1);
  CHECK(placed.mPreempted[0].mBlocks == std::vector{ Range{ 0, 128 } });
  CHECK(placement.FreeAccelerators() == 0);
  CHECK(placement.Place(MakeJob("y", "1", 8, kPreemptible), At(1)) ==
        Wait(WaitReason::eStillHeld));
  CHECK(placement.Finish({ AccountId("y"), "1" }));
  CHECK(placement.FreeAccelerators() == 120);
  CHECK(!placement.Finish({ AccountId("y"), "1" }));
}

// Guards against a lost server that does not show as a deficit, against new
// non-preemptible work that increases the deficit, and against a gang that
// continues to run partially.
TEST_CASE("a lost server stops its gangs and is reported as a deficit")
{
  Placement placement({ base::DataCentreId("a"), 3, 8, 8 });
  placement.SetGuarantees(std::vector<Demand>{ { AccountId("x"), 128, 1 } });
  Job gang = MakeJob("x", "1", 12, kNonPreemptible);
  gang.mAdjacent = false;
  const Placed placed = RequirePlaced(placement.Place(gang, At(0)));
  CHECK(placed.mBlocks.size() == 12);
  const auto stopped = placement.LoseServer(placed.mBlocks[0].mFirst / 8);
  REQUIRE(stopped.size() == 1);
  CHECK(stopped[0].mBlocks == placed.mBlocks);
  CHECK(placement.DeficitNow()[LevelOf(128)] == 1);
  CHECK(placement.Place(MakeJob("y", "1", 1, kNonPreemptible), At(0)) ==
        Wait(WaitReason::eDeficit));
  CHECK(placement.Finish(gang.mRequest));
  RequirePlaced(placement.Place(MakeJob("y", "2", 1, kPreemptible), At(0)));
  placement.ReturnServer(placed.mBlocks[0].mFirst / 8);
  CHECK(placement.DeficitNow() == LevelCounts{});
}

// Guards against a new owner that does not restore all running work, or not its
// use of the guarantees.
TEST_CASE("a new owner adopts the running allocations")
{
  const std::vector<Demand> guarantees{ { AccountId("x"), 16, 2 } };
  Placement before(kTwoRacks);
  before.SetGuarantees(guarantees);
  RequirePlaced(before.Place(MakeJob("x", "1", 16, kNonPreemptible), At(0)));
  RequirePlaced(before.Place(MakeJob("x", "2", 4, kNonPreemptible), At(0)));
  RequirePlaced(before.Place(MakeJob("y", "1", 32, kPreemptible), At(0)));
  Placement after(kTwoRacks);
  after.SetGuarantees(guarantees);
  REQUIRE(after.Adopt(before.Allocations()));
  CHECK(after.Adopt(before.Allocations()).error().mCode ==
        base::ErrorCode::eConflict);
  CHECK(after.Allocations() == before.Allocations());
  CHECK(after.FreeBlocks() == before.FreeBlocks());
  Allocation unaligned = before.Allocations()[0];
  unaligned.mRequest.mKey = "other";
  unaligned.mBlocks = { { 70, 4 } };
  CHECK(after.Adopt(std::vector{ unaligned }).error().mCode ==
        base::ErrorCode::eInvalid);
}

// Guards against a new owner that claims one large block where the old owner
// had claims for the smaller blocks in it, and so reports a deficit.
TEST_CASE("a new owner finds claims that cover all running work")
{
  const DataCentreCapacity capacity{ base::DataCentreId("a"), 2, 4, 4 };
  const auto running = [](const char* aKey, std::vector<Range> aBlocks) {
    Allocation allocation;
    allocation.mRequest = { AccountId("x"), aKey };
    allocation.mBlocks = std::move(aBlocks);
    return allocation;
  };
  SUBCASE("several claims form a block of another guaranteed shape")
  {
    Placement newOwner(capacity);
    newOwner.SetGuarantees(std::vector<Demand>{ { AccountId("x"), 4, 2 },
                                                { AccountId("x"), 8, 1 },
                                                { AccountId("x"), 16, 1 } });
    REQUIRE(newOwner.Adopt(std::vector{
      running("1", { { 16, 16 } }),
      running("2", { { 8, 8 } }),
      running("3", { { 0, 4 }, { 4, 4 } }),
    }));
    CHECK(newOwner.DeficitNow() == LevelCounts{});
  }
  SUBCASE("work beyond the guarantees leaves no spare capacity")
  {
    Placement newOwner(capacity);
    newOwner.SetGuarantees(std::vector<Demand>{ { AccountId("x"), 2, 2 },
                                                { AccountId("x"), 4, 1 },
                                                { AccountId("x"), 8, 1 },
                                                { AccountId("z"), 2, 1 } });
    Allocation other = running("1", { { 16, 8 } });
    other.mRequest.mAccount = AccountId("y");
    REQUIRE(newOwner.Adopt(std::vector{
      other,
      running("2", { { 0, 1 }, { 1, 1 }, { 2, 1 }, { 3, 1 } }),
      running("3", { { 28, 4 } }),
      running("4", { { 8, 4 }, { 12, 4 }, { 4, 4 } }),
    }));
    CHECK(newOwner.DeficitNow() == LevelCounts{});
  }
}

// Guards against a deficit that is still computed from the previous guarantees
// after a change of the configuration.
TEST_CASE("new guarantees apply to running work")
{
  Placement placement(kTwoRacks);
  RequirePlaced(placement.Place(MakeJob("x", "1", 64, kNonPreemptible), At(0)));
  placement.SetGuarantees(std::vector<Demand>{ { AccountId("x"), 64, 1 },
                                               { AccountId("y"), 64, 1 } });
  CHECK(placement.DeficitNow() == LevelCounts{});
  placement.SetGuarantees(std::vector<Demand>{ { AccountId("y"), 64, 2 } });
  CHECK(placement.DeficitNow()[LevelOf(64)] == 1);
  CHECK(placement.Finish({ AccountId("x"), "1" }));
  CHECK(placement.DeficitNow() == LevelCounts{});
}

// Guards against a large gang that starves because small jobs are placed first,
// and against a reservation that blocks jobs that would not delay the gang.
TEST_CASE("small jobs overtake a waiting gang only if they do not delay it")
{
  Placement placement(kTwoRacks);
  RequirePlaced(placement.Place(
    MakeJob("x", "a", 64, kNonPreemptible, seconds(50)), At(0)));
  RequirePlaced(placement.Place(
    MakeJob("x", "b", 16, kNonPreemptible, seconds(90)), At(0)));
  const std::vector<Job> waiting{
    MakeJob("x", "gang", 128, kNonPreemptible, seconds(10)),
    MakeJob("x", "long", 1, kNonPreemptible, seconds(91)),
    MakeJob("x", "short", 1, kNonPreemptible, seconds(90)),
  };
  const QueueDecision queue = DecideQueue(placement, waiting, At(0));
  REQUIRE(queue.mReservation);
  CHECK(queue.mReservation->mStart == At(90));
  CHECK(queue.mReservation->mBlocks == std::vector{ Range{ 0, 128 } });
  CHECK(queue.mDecisions[0] == Wait(WaitReason::eNoFreeBlock));
  CHECK(queue.mDecisions[1] == Wait(WaitReason::eReserved));
  RequirePlaced(queue.mDecisions[2]);
}

// Guards against a fragmentation figure that omits accelerators which the
// largest shape cannot use.
TEST_CASE("fragmentation is the share that the largest shape cannot use")
{
  Placement placement(kTwoRacks);
  CHECK(placement.Fragmentation() == 0);
  RequirePlaced(placement.Place(MakeJob("x", "1", 32, kNonPreemptible), At(0)));
  CHECK(placement.Fragmentation(64) == doctest::Approx(32.0 / 96));
  CHECK(placement.Fragmentation(128) == 1);
  placement.SetGuarantees(std::vector<Demand>{ { AccountId("x"), 128, 1 } });
  CHECK(placement.Fragmentation(1) == 1);
}

} // namespace flamingoloom::placement
