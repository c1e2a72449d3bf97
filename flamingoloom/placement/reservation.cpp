#include "flamingoloom/placement/reservation.h"

#include <algorithm>

namespace flamingoloom::placement {

namespace {

// Prevents a reservation from starting at once on blocks of work that is just
// ending.
constexpr base::Duration kMinOverrun = std::chrono::seconds(1);

base::Time ExpectedCompletionOf(const AllocationTable::Entry& aEntry,
                                base::Time aNow)
{
  if (aEntry.mStopping) {
    return aNow + kMinOverrun;
  }
  const base::Duration overrun = aNow - aEntry.mExpectedEnd;
  return overrun < base::Duration::zero()
           ? aEntry.mExpectedEnd
           : aNow + std::max(kMinOverrun, overrun);
}

} // namespace

std::vector<ExpectedCompletion> ExpectedCompletions(
  const AllocationTable& aTable,
  base::Time aNow)
{
  std::vector<ExpectedCompletion> completions;
  completions.reserve(aTable.size());
  for (const auto& [request, index] : aTable.IndexByRequest()) {
    completions.push_back(
      { ExpectedCompletionOf(aTable.At(index), aNow), index });
  }
  std::ranges::sort(completions);
  return completions;
}

} // namespace flamingoloom::placement
