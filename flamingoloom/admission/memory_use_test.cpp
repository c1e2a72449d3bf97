#include <cstdlib>

#include <doctest/doctest.h>

#include "flamingoloom/admission/memory_use.h"

namespace flamingoloom::admission {
namespace {

// Four classes with 4,000 each, and 48,000 that are shared.
constexpr MemoryLimits kLimits{ 64'000, 4 };
constexpr std::int64_t kReserved = 4'000;
constexpr std::int64_t kShared = 48'000;

MemoryClass Shop(bool aUrgent = false)
{
  return { base::AccountId("shop"), aUrgent };
}

MemoryClass Guest()
{
  return { base::AccountId("guest"), false };
}

// Adds jobs of aBytes until there is no room, and returns their sum.
std::int64_t Fill(MemoryUse& aUse,
                  const MemoryClass& aClass,
                  std::int64_t aBytes)
{
  while (HasRoom(aUse, aClass, aBytes, kLimits)) {
    aUse.Add(aClass, aBytes);
  }
  return aUse.Of(aClass);
}

// Guards against an account that takes all of the memory, so that nothing of
// others is accepted.
TEST_CASE("One class gets half, and leaves room for others")
{
  MemoryUse use;
  CHECK(Fill(use, Shop(), 100) == kReserved + kShared / 2);
  CHECK(HasRoom(use, Guest(), 100, kLimits));
  CHECK(HasRoom(use, Shop(true), 100, kLimits));
  CHECK(!HasRoom(use, Shop(), 100, kLimits));
}

// Guards against accounts that submit without end and leave nothing to one that
// submits a little, however many they are.
TEST_CASE("A class that uses nothing finds room beside many that are full")
{
  constexpr MemoryLimits kManyAccounts{ 1'000'000, 100 };
  MemoryUse use;
  for (int i = 0; i < 99; ++i) {
    const MemoryClass other{ base::AccountId("a" + std::to_string(i)), false };
    while (HasRoom(use, other, 10, kManyAccounts)) {
      use.Add(other, 10);
    }
  }
  CHECK(use.Total() <= kManyAccounts.mTotal);
  int accepted = 0;
  while (HasRoom(use, Guest(), 10, kManyAccounts)) {
    use.Add(Guest(), 10);
    ++accepted;
  }
  CHECK(accepted * 10 >= kManyAccounts.ReservedForEach());
  CHECK(use.Total() <= kManyAccounts.mTotal);
}

// Guards against accounts that were first and keep the room of those that came
// later.
TEST_CASE("Classes that go on get equal parts as their jobs end")
{
  MemoryUse use;
  Fill(use, Shop(), 100);
  Fill(use, Guest(), 100);
  for (int i = 0; i < 1000; ++i) {
    for (const auto& entry : { Shop(), Guest() }) {
      use.Add(entry, -100);
      Fill(use, entry, 100);
    }
  }
  CHECK(std::abs(use.Of(Shop()) - use.Of(Guest())) <= 200);
}

// Guards against jobs that are small as text and large in memory.
TEST_CASE("The estimate counts tasks, occurrences and texts")
{
  jobs::JobSpec job;
  job.mSteps.resize(1);
  const auto small = JobMemory(job);
  job.mSteps.front().mTaskCount = 500;
  const auto wide = JobMemory(job);
  CHECK(wide - small >= 499 * 250);
  job.mOccurrences = 1000;
  CHECK(JobMemory(job) >= 900 * (wide - small));
  job.mOccurrences = 0;
  job.mPayload = std::string(4000, 'x');
  CHECK(JobMemory(job) - wide == 4000);
  CHECK(!MayEverFit(kReserved + kShared / 2 + 1, kLimits));
  CHECK(MayEverFit(kReserved + kShared / 2, kLimits));
}

TEST_CASE("The published use is rounded, and the sum of small classes is kept")
{
  constexpr std::int64_t kTotal = 256'000;
  MemoryUse use;
  use.Add(Shop(), 20'500);
  use.Add(Guest(), 900);
  use.Add(Shop(true), 900);
  const auto published = DecodeMemoryUse(EncodeMemoryUse(use, kTotal)).value();
  CHECK(published.Of(Shop()) == 20'000);
  CHECK(published.Of(Guest()) == 0);
  CHECK(published.Unlisted() == 2'000);
  CHECK(published.Total() == 22'000);
}

// Guards against a row of another writer that ends the process.
TEST_CASE("A malformed row is a decoding error")
{
  CHECK(!DecodeMemoryUse(""));
  CHECK(!DecodeMemoryUse("{}"));
  CHECK(!DecodeMemoryUse("[0]"));
  CHECK(!DecodeMemoryUse(R"([-1,[]])"));
  CHECK(!DecodeMemoryUse(R"([0,[["shop",true,1e30]]])"));
  CHECK(!DecodeMemoryUse(R"([0,[["shop",1,1]]])"));
}

} // namespace
} // namespace flamingoloom::admission
