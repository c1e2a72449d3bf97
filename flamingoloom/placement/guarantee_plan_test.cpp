#include "flamingoloom/placement/guarantee_plan.h"

#include <map>

#include <doctest/doctest.h>

namespace flamingoloom::placement {

namespace {

using base::AccountId;
using base::DataCentreId;

DataCentreCapacity MakeDataCentre(const char* aId, int aRacks)
{
  return { DataCentreId(aId), aRacks, 8, 8 };
}

} // namespace

// Guards against rounding down, which would assign a block that is too small
// for the job.
TEST_CASE("sizes are rounded up to powers of two within 1 to 128")
{
  CHECK(ShapeOf(1) == 1);
  CHECK(ShapeOf(3) == 4);
  CHECK(ShapeOf(64) == 64);
  CHECK(ShapeOf(65) == 128);
  CHECK(ShapeOf(0) == 0);
  CHECK(ShapeOf(129) == 0);
}

// Guards against blocks that cover parts of two servers or racks when their
// sizes are not powers of two.
TEST_CASE("sizes that are not powers of two leave unused positions")
{
  const Layout layout({ DataCentreId("a"), 2, 3, 6 });
  LevelCounts expected{};
  expected[LevelOf(4)] = 6;
  expected[LevelOf(2)] = 6;
  CHECK(layout.Blocks() == expected);
  for (int index = 0; index < layout.Accelerators(); ++index) {
    CHECK(layout.IndexOf(layout.PositionOf(index)) == index);
    CHECK(layout.HasAccelerator(layout.PositionOf(index)));
  }
}

// Guards against a plan that cannot provide a guarantee when one data centre is
// out of service, and against one that assigns more to a data centre than it
// has.
TEST_CASE("the plan holds with any one data centre out of service")
{
  const std::vector dataCentres{ MakeDataCentre("a", 4),
                                 MakeDataCentre("b", 2),
                                 MakeDataCentre("c", 3) };
  const std::vector<Demand> demands{ { AccountId("x"), 128, 1 },
                                     { AccountId("y"), 12, 5 },
                                     { AccountId("y"), 16, 1 },
                                     { AccountId("z"), 1, 7 } };
  const auto plan = PlanGuarantees(dataCentres, demands);
  REQUIRE(plan);
  std::map<DataCentreId, LevelCounts> perDataCentre;
  for (const auto& entry : *plan) {
    perDataCentre[entry.mDataCentre][LevelOf(entry.mDemand.mShape)] +=
      entry.mDemand.mCount;
  }
  for (const auto& dataCentre : dataCentres) {
    CHECK(Packs(Layout(dataCentre).Blocks(), perDataCentre[dataCentre.mId]));
    std::map<AccountId, int> remaining;
    for (const auto& entry : *plan) {
      if (entry.mDataCentre != dataCentre.mId) {
        remaining[entry.mDemand.mAccount] += entry.mDemand.mCount;
      }
    }
    CHECK(remaining[AccountId("x")] >= 1);
    CHECK(remaining[AccountId("y")] >= 6);
    CHECK(remaining[AccountId("z")] >= 7);
  }
}

// Guards against an error message without the numbers that operators need to
// correct the guarantees.
TEST_CASE("the error names the account, the shape and the count that fits")
{
  const std::vector dataCentres{ MakeDataCentre("a", 2),
                                 MakeDataCentre("b", 2),
                                 MakeDataCentre("c", 2) };
  const std::vector<Demand> demands{ { AccountId("x"), 64, 5 } };
  const auto plan = PlanGuarantees(dataCentres, demands);
  REQUIRE(!plan);
  CHECK(plan.error().mCode == base::ErrorCode::eInvalid);
  CHECK(plan.error().mMessage.find("account x") != std::string::npos);
  CHECK(plan.error().mMessage.find("shape 64") != std::string::npos);
  CHECK(plan.error().mMessage.find("at most 4 fit") != std::string::npos);
  CHECK(PlanGuarantees(dataCentres,
                       std::vector<Demand>{ { AccountId("x"), 64, 4 } }));
}

// Guards against accepting input that the block tree cannot represent.
TEST_CASE("invalid data centres and shapes are rejected")
{
  const std::vector dataCentres{ MakeDataCentre("a", 2) };
  const std::vector<Demand> tooLarge{ { AccountId("x"), 129, 1 } };
  const std::vector<Demand> one{ { AccountId("x"), 1, 1 } };
  CHECK(!PlanGuarantees(dataCentres, tooLarge));
  CHECK(!PlanGuarantees({}, one));
  CHECK(!PlanGuarantees(std::vector{ MakeDataCentre("a", 0) }, one));
  CHECK(!PlanGuarantees(
    std::vector{ MakeDataCentre("a", 1), MakeDataCentre("a", 1) }, one));
}

} // namespace flamingoloom::placement
