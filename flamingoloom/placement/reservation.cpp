#include "flamingoloom/placement/reservation.h"

#include <algorithm>

namespace flamingoloom::placement {

namespace {

// Keeps a reservation from starting at once on work that is just ending.
constexpr base::Duration kLeastOverrun = std::chrono::seconds(1);

base::Time EndOf(const AllocationTable::Entry& aEntry, base::Time aNow)
{
  if (aEntry.mStopping) {
    return aNow + kLeastOverrun;
  }
  const base::Duration overrun = aNow - aEntry.mExpectedEnd;
  return overrun < base::Duration::zero()
           ? aEntry.mExpectedEnd
           : aNow + std::max(kLeastOverrun, overrun);
}

} // namespace

std::vector<ExpectedEnd> ExpectedEnds(const AllocationTable& aTable,
                                      base::Time aNow)
{
  std::vector<ExpectedEnd> ends;
  ends.reserve(aTable.size());
  for (const auto& [request, slot] : aTable.Slots()) {
    ends.push_back({ EndOf(aTable.At(slot), aNow), slot });
  }
  std::ranges::sort(ends);
  return ends;
}

} // namespace flamingoloom::placement
