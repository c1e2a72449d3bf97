#include <doctest/doctest.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "flamingoloom/config/difference.h"
#include "flamingoloom/config/example_answers.h"
#include "flamingoloom/config/generate.h"

namespace flamingoloom::config {
namespace {

Configuration ExampleConfiguration()
{
  return Generate(ExampleAnswers(), "test", placement::PlanGuarantees).value();
}

std::string JoinLines(const std::vector<std::string>& aLines)
{
  return fmt::format("{}\n", fmt::join(aLines, "\n"));
}

} // namespace

// Guards against a reported difference where there is none, for example because
// the versions are compared: every stored configuration has a new version.
TEST_CASE("configurations that differ only in their version are equal")
{
  auto newer = ExampleConfiguration();
  newer.mVersion = 7;
  CHECK(Difference(ExampleConfiguration(), newer).empty());
}

// Guards against a change that Difference does not report: the operator would
// apply it without having seen it.
TEST_CASE("each change is reported as one sentence")
{
  auto changed = ExampleConfiguration();
  changed.mDeployment = "Other";
  changed.mDataCentres[0].mRacks = 2;
  changed.mAccounts[0].mKeySha256 = std::string(64, 'b');
  changed.mAccounts.pop_back();
  changed.mGuarantees[0].mCount = 3;
  changed.mKinds[0].mTarget = std::chrono::milliseconds(400);
  changed.mKinds[2].mId = base::KindId("invoice-batch");
  changed.mAssignments.clear();
  CHECK(JoinLines(Difference(ExampleConfiguration(), changed)) ==
        "The installation is now called \"Other\" (was \"Example\").\n"
        "data centre dc-1: racks is now 2 (was 1).\n"
        "client account small was removed.\n"
        "client account large: the key was replaced.\n"
        "guarantee of blocks of 32 for client account large: blocks is now 3 "
        "(was 1).\n"
        "kind of job invoice was removed.\n"
        "kind of job quote: answer expected within is now 400 ms (was 500 "
        "ms).\n"
        "kind of job invoice-batch is new.\n"
        "reservation of blocks of 32 for client account large in data centre "
        "dc-1 was removed.\n"
        "reservation of blocks of 4 for client account small in data centre "
        "dc-1 was removed.\n"
        "reservation of blocks of 32 for client account large in data centre "
        "dc-2 was removed.\n"
        "reservation of blocks of 4 for client account small in data centre "
        "dc-2 was removed.\n");
}

// Guards against a property that Difference does not compare, for example one
// that was added later, so that its changes are not reported.
TEST_CASE("every property of every entry is compared")
{
  const std::vector<std::function<void(Configuration&)>> changes = {
    [](auto& aNew) { aNew.mDataCentres[0].mRegion = base::RegionId("x"); },
    [](auto& aNew) { aNew.mDataCentres[0].mServersPerRack = 1; },
    [](auto& aNew) { aNew.mDataCentres[0].mAcceleratorsPerServer = 1; },
    [](auto& aNew) { aNew.mAccounts[0].mWeight = 9; },
    [](auto& aNew) { aNew.mAccounts[0].mQuota = 9; },
    [](auto& aNew) { aNew.mAccounts[0].mKeySha256 = ""; },
    [](auto& aNew) { aNew.mKinds[0].mIdempotent ^= true; },
    [](auto& aNew) { aNew.mKinds[0].mDurable ^= true; },
    [](auto& aNew) { aNew.mKinds[0].mCheckpointable ^= true; },
    [](auto& aNew) { aNew.mKinds[0].mPreemptible ^= true; },
    [](auto& aNew) { aNew.mKinds[0].mPriority = Priority::eOvernight; },
    [](auto& aNew) { aNew.mKinds[0].mDeadline = base::Duration(1); },
    [](auto& aNew) { aNew.mKinds[0].mDeclaredRunTime = base::Duration(1); },
    [](auto& aNew) { aNew.mKinds[0].mTasks = 9; },
    [](auto& aNew) { aNew.mKinds[0].mAcceleratorsPerTask = 9; },
    [](auto& aNew) { aNew.mKinds[0].mAdjacent ^= true; },
    [](auto& aNew) { aNew.mKinds[0].mObjective = 0.5; },
    [](auto& aNew) { aNew.mAssignments[0].mGuarantee.mCount = 9; },
  };
  for (const auto& change : changes) {
    auto changed = ExampleConfiguration();
    change(changed);
    CHECK(Difference(ExampleConfiguration(), changed).size() == 1);
  }
}

} // namespace flamingoloom::config
