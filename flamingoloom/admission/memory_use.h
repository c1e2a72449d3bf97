// The memory that accepted jobs take in the instance that leads, by an upper
// estimate, and how it is divided among those who submit them.
//
//   MemoryUse use;
//   const MemoryClass shop{ account, urgent };
//   if (HasRoom(use, shop, JobMemory(job), limits)) {
//     use.Add(shop, JobMemory(job));
//   }
//
// The leader publishes its use to the other instances in a row of the store.
// Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/ids.h"
#include "flamingoloom/jobs/job.h"

namespace flamingoloom::admission {

// Jobs that share a part of the memory: the urgent ones of an account, or its
// others.
struct MemoryClass
{
  base::AccountId mAccount;
  bool mUrgent = false;

  friend auto operator<=>(const MemoryClass&, const MemoryClass&) = default;
  friend bool operator==(const MemoryClass&, const MemoryClass&) = default;
};

// The class of jobs of aAccount with this priority.
MemoryClass ClassOf(const base::AccountId& aAccount, int aPriority);

class MemoryUse
{
public:
  // Adds bytes, or takes them off if aBytes is negative.
  void Add(const MemoryClass& aClass, std::int64_t aBytes);
  // Adds all of aOther.
  void Add(const MemoryUse& aOther);
  // Adds bytes of classes that are not listed.
  void AddUnlisted(std::int64_t aBytes)
  {
    mTotal += aBytes;
    mUnlisted += aBytes;
  }

  std::int64_t Total() const { return mTotal; }
  std::int64_t Of(const MemoryClass& aClass) const;
  std::int64_t Unlisted() const { return mUnlisted; }
  // Classes that use none are not listed.
  const std::map<MemoryClass, std::int64_t>& ByClass() const
  {
    return mByClass;
  }

  friend bool operator==(const MemoryUse&, const MemoryUse&) = default;

private:
  std::int64_t mTotal = 0;
  // The part of mTotal that is not in mByClass.
  std::int64_t mUnlisted = 0;
  std::map<MemoryClass, std::int64_t> mByClass;
};

// Bytes that a job takes until it has ended, with all of its occurrences.
std::int64_t JobMemory(const jobs::JobSpec& aJob);
// Bytes that a job takes from some time after its end until its rows are
// removed. aStepRows is the number of its rows of steps.
std::int64_t EndedJobMemory(std::size_t aStepRows);
// Bytes that the cancellation of an unknown job takes.
inline constexpr std::int64_t kCancellationMemory = 512;

// How memory is divided. Each class has a reserved part, so that however many
// others use up what they may, it finds room for some jobs. The rest is shared:
// a class gets no more of it than is then left for others, so that the first
// gets half, and all get equal parts as their jobs end.
struct MemoryLimits
{
  std::int64_t mTotal = 0;
  // The number of classes that may use memory.
  std::int64_t mClasses = 2;

  friend bool operator==(const MemoryLimits&, const MemoryLimits&) = default;

  std::int64_t ReservedForEach() const;
  std::int64_t Shared() const;
};

// Returns whether aClass may use aBytes more.
bool HasRoom(const MemoryUse& aUse,
             const MemoryClass& aClass,
             std::int64_t aBytes,
             const MemoryLimits& aLimits);

// Returns whether a job of aBytes could be accepted if there were no others.
bool MayEverFit(std::int64_t aBytes, const MemoryLimits& aLimits);

// The published use, rounded down to 256ths of aLimit, which must be positive.
// Classes below that are left out, so at most 256 are listed as long as the use
// is within the limit. Decoding is total.
std::string EncodeMemoryUse(const MemoryUse& aUse, std::int64_t aLimit);
base::Expected<MemoryUse> DecodeMemoryUse(const std::string& aValue);

} // namespace flamingoloom::admission
