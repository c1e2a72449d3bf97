#include <doctest/doctest.h>

#include "flamingoloom/admission/job_admission.h"

namespace flamingoloom::admission {
namespace {

using std::chrono::seconds;

constexpr std::int64_t kLimit = 64'000;
// What one class gets: with two classes an eighth that is reserved, and half of
// the three quarters that are shared.
constexpr std::int64_t kLargest = kLimit / 8 + kLimit * 3 / 8;
// The part of one class that the leader has not counted.
constexpr std::int64_t kPart = 2'000;

MemoryClass Shop()
{
  return { base::AccountId("shop"), false };
}

MemoryClass Guest()
{
  return { base::AccountId("guest"), false };
}

base::Time At(int aSeconds)
{
  return base::Time() + seconds(aSeconds);
}

JobAdmission MakeAdmission()
{
  return JobAdmission({ kLimit, kLimit / kPart });
}

// Guards against several instances that all give away the room which the leader
// has published before it has counted any of it.
TEST_CASE("An instance accepts a part of one class until it is counted")
{
  auto admission = MakeAdmission();
  int admitted = 0;
  while (admission.TryAdmit(At(1), Shop(), 100)) {
    ++admitted;
  }
  CHECK(admitted * 100 == kPart);
  CHECK(admission.TryAdmit(At(1), Guest(), 100));
  // Nothing has been counted without a leader.
  CHECK(!admission.TryAdmit(At(60), Shop(), 100));
  admission.OnCounted(At(60));
  CHECK(admission.TryAdmit(At(60), Shop(), 100));
}

TEST_CASE("What the leader has counted is in its use, and not counted twice")
{
  auto admission = MakeAdmission();
  MemoryUse use;
  use.Add(Shop(), kLargest - 100);
  admission.OnPublished(use);
  CHECK(admission.TryAdmit(At(1), Shop(), 50));
  CHECK(admission.TryAdmit(At(1), Shop(), 50));
  CHECK(admission.TryAdmit(At(1), Shop(), 50).error() == Refusal::eNoRoom);
  CHECK(admission.TryAdmit(At(1), Guest(), 50));
  use.Add(Shop(), -1000);
  admission.OnPublished(use);
  CHECK(admission.TryAdmit(At(1), Shop(), 50));
}

// Guards against jobs that are refused by the store and use up the room.
TEST_CASE("A job that was not stored is not counted")
{
  auto admission = MakeAdmission();
  for (int i = 0; i < 100; ++i) {
    const auto admitted = admission.TryAdmit(At(1), Shop(), kPart);
    REQUIRE(admitted);
    admission.Withdraw(*admitted);
  }
}

// Guards against a job that is asked to come back although it can never be
// accepted, and against one that is large and is refused in calm.
TEST_CASE("The size of a job decides whether it can ever be accepted")
{
  auto admission = MakeAdmission();
  CHECK(admission.TryAdmit(At(1), Shop(), kLargest + 1).error() ==
        Refusal::eTooLarge);
  CHECK(admission.TryAdmit(At(1), Shop(), kLargest));
}

} // namespace
} // namespace flamingoloom::admission
