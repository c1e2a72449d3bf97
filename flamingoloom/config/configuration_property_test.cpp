#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "flamingoloom/config/configuration_json.h"

namespace flamingoloom::config {
namespace {

using base::AccountId;
using base::DataCentreId;

constexpr int kMaxEntries = 6;
constexpr int kMaxCount = 1'000'000;
constexpr int kMaxSize = 1000;
constexpr std::int64_t kOneYearUs = 31'536'000'000'000;

// Generates a value from aFirst to aLast, both included.
template <class T>
T Any(T aFirst, T aLast)
{
  return *rc::gen::inRange<T>(aFirst, aLast + 1);
}

bool AnyFlag()
{
  return *rc::gen::arbitrary<bool>();
}

base::Duration AnyDuration()
{
  return base::Duration(Any<std::int64_t>(0, kOneYearUs));
}

DataCentre AnyDataCentre(int aIndex)
{
  return { DataCentreId("dc-" + std::to_string(aIndex)),
           base::RegionId("r." + std::to_string(Any(0, 9))),
           Any(0, kMaxSize),
           Any(0, kMaxSize),
           Any(0, kMaxSize) };
}

ClientAccount AnyAccount(int aIndex)
{
  ClientAccount account;
  account.mId = AccountId("account_" + std::to_string(aIndex));
  account.mWeight = Any(1, kMaxCount);
  if (AnyFlag()) {
    account.mQuota = Any(0, kMaxCount);
  }
  account.mKeySha256 = std::string(AnyFlag() ? 64 : 0, 'f');
  return account;
}

JobKind AnyKind(int aIndex)
{
  JobKind kind;
  kind.mId = base::KindId("kind" + std::to_string(aIndex));
  kind.mIdempotent = AnyFlag();
  kind.mDurable = AnyFlag();
  kind.mCheckpointable = AnyFlag();
  kind.mPreemptible = kind.mIdempotent && AnyFlag();
  kind.mPriority = static_cast<Priority>(Any(0, 2));
  kind.mTarget = AnyDuration();
  kind.mDeadline = AnyDuration();
  kind.mDeclaredRunTime = AnyDuration();
  kind.mTasks = Any(1, kMaxSize);
  kind.mAcceleratorsPerTask = Any(0, kMaxSize);
  kind.mAdjacent = kind.mAcceleratorsPerTask > 0 && AnyFlag();
  // Uses arbitrary fractions, because short decimals would not reveal rounding.
  kind.mObjective = static_cast<double>(Any<std::int64_t>(0, kOneYearUs)) /
                    static_cast<double>(kOneYearUs);
  return kind;
}

Guarantee AnyGuarantee(const Configuration& aConfiguration)
{
  const int last = static_cast<int>(aConfiguration.mAccounts.size()) - 1;
  return { aConfiguration.mAccounts[Any(0, last)].mId,
           1 << Any(0, 7),
           Any(1, kMaxCount) };
}

DataCentreGuarantee AnyAssignment(const Configuration& aConfiguration)
{
  const int last = static_cast<int>(aConfiguration.mDataCentres.size()) - 1;
  return { aConfiguration.mDataCentres[Any(0, last)].mId,
           AnyGuarantee(aConfiguration) };
}

Configuration AnyConfiguration()
{
  Configuration any;
  any.mVersion = Any<std::int64_t>(0, kOneYearUs);
  any.mDeployment = *rc::gen::string<std::string>();
  // Random bytes above 127 would rarely form valid UTF-8.
  std::erase_if(any.mDeployment, [](char aByte) { return aByte < 0; });
  for (int i = Any(1, kMaxEntries); i > 0; --i) {
    any.mDataCentres.push_back(AnyDataCentre(i));
    any.mAccounts.push_back(AnyAccount(i));
    any.mKinds.push_back(AnyKind(i));
    any.mGuarantees.push_back(AnyGuarantee(any));
    any.mAssignments.push_back(AnyAssignment(any));
  }
  return any;
}

} // namespace

// Guards against values that are rounded, truncated or wrongly escaped when the
// configuration is stored and read back. Random configurations find values that
// fixed examples miss.
TEST_CASE("any valid configuration is unchanged by a round trip through JSON")
{
  CHECK(rc::check("round trip", [] {
    const auto any = AnyConfiguration();
    RC_ASSERT(ConfigurationFromText(ToText(any), "test") == any);
  }));
}

// Guards against a crash of an instance that reads a corrupted row from the
// store, and against an error message that cannot be encoded as JSON because it
// quotes bytes that are not UTF-8. The test overwrites a byte and truncates the
// text; either outcome, a configuration or problems, is correct.
TEST_CASE("corrupted text does not crash the parser")
{
  CHECK(rc::check("damage", [] {
    auto text = ToText(AnyConfiguration());
    const int last = static_cast<int>(text.size()) - 1;
    text[Any(0, last)] = static_cast<char>(Any(-128, 127));
    if (AnyFlag()) {
      text.resize(Any(0, last));
    }
    auto read = ConfigurationFromText(text, "test");
    if (!read) {
      RC_ASSERT(!read.error().empty());
      static_cast<void>(nlohmann::json(ToString(read.error())).dump());
    }
  }));
}

} // namespace flamingoloom::config
