#include "flamingoloom/placement/guarantee_plan.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <fmt/format.h>

namespace flamingoloom::placement {

namespace {

constexpr char kStep[] = "plan guarantees";

// What one data centre can give to one demand, and what it gives.
struct Room
{
  int mFree = 0;
  int mTaken = 0;
};

struct State
{
  std::vector<LevelCounts> mFree;
  std::vector<std::vector<Demand>> mAssigned;
};

std::string Field(const char* aList, std::size_t aIndex)
{
  return fmt::format("/{}/{}", aList, aIndex);
}

base::Expected<State> ReadCentres(
  std::span<const DataCentreCapacity> aDataCentres)
{
  State state;
  std::set<base::DataCentreId> seen;
  for (std::size_t i = 0; i < aDataCentres.size(); ++i) {
    const DataCentreCapacity& dataCentre = aDataCentres[i];
    if (dataCentre.mRacks < 1 || dataCentre.mServersPerRack < 1 ||
        dataCentre.mAcceleratorsPerServer < 1) {
      return base::MakeError(
        base::ErrorCode::eInvalid,
        kStep,
        dataCentre.mId.Value(),
        "racks, servers and accelerators must be at least 1",
        Field("centres", i));
    }
    if (!seen.insert(dataCentre.mId).second) {
      return base::MakeError(base::ErrorCode::eInvalid,
                             kStep,
                             dataCentre.mId.Value(),
                             "the data centre is listed twice",
                             Field("centres", i));
    }
    state.mFree.push_back(Layout(dataCentre).Blocks());
  }
  state.mAssigned.resize(aDataCentres.size());
  return state;
}

// Sums up by account and rounded shape, ordered by falling shape, then by
// falling count: large demands have the fewest places to choose from.
base::Expected<std::vector<Demand>> ReadDemands(
  std::span<const Demand> aDemands)
{
  std::map<std::pair<base::AccountId, int>, int> sums;
  for (std::size_t i = 0; i < aDemands.size(); ++i) {
    const Demand& demand = aDemands[i];
    const int shape = ShapeOf(demand.mShape);
    if (shape == 0 || demand.mCount < 0) {
      return base::MakeError(
        base::ErrorCode::eInvalid,
        kStep,
        {},
        fmt::format("client account {}: shape {} must be 1 to {} and count {} "
                    "must not be negative",
                    demand.mAccount.Value(),
                    demand.mShape,
                    kLargestShape,
                    demand.mCount),
        Field("demands", i));
    }
    sums[{ demand.mAccount, shape }] += demand.mCount;
  }
  std::vector<Demand> demands;
  for (const auto& [key, count] : sums) {
    if (count > 0) {
      demands.push_back({ key.first, key.second, count });
    }
  }
  std::ranges::stable_sort(demands, [](const auto& aLeft, const auto& aRight) {
    return std::pair(aLeft.mShape, aLeft.mCount) >
           std::pair(aRight.mShape, aRight.mCount);
  });
  return demands;
}

std::vector<Room> FreeBlocks(const State& aState, int aLevel)
{
  std::vector<Room> rooms;
  for (const LevelCounts& dataCentre : aState.mFree) {
    rooms.push_back({ BlocksAt(dataCentre, aLevel), 0 });
  }
  return rooms;
}

// Blocks that remain in the worst case when each data centre gives at most
// aLimit: those of the others when one that gives aLimit is out.
int CountWithLimit(const std::vector<Room>& aRooms, int aLimit)
{
  int sum = 0;
  for (const Room& room : aRooms) {
    sum += std::min(room.mFree, aLimit);
  }
  return aRooms.size() > 1 ? sum - aLimit : sum;
}

int LargestCount(const std::vector<Room>& aRooms)
{
  int most = 0;
  for (const Room& room : aRooms) {
    most = std::max(most, room.mFree);
  }
  int largest = 0;
  for (int limit = 1; limit <= most; ++limit) {
    largest = std::max(largest, CountWithLimit(aRooms, limit));
  }
  return largest;
}

// The smallest limit needs the fewest spare blocks in total.
std::optional<int> SmallestLimit(const std::vector<Room>& aRooms, int aCount)
{
  for (int limit = 1; limit <= aCount; ++limit) {
    if (CountWithLimit(aRooms, limit) >= aCount) {
      return limit;
    }
  }
  return std::nullopt;
}

// The data centre with the most blocks left of those below aLimit.
Room* Emptiest(std::vector<Room>& aRooms, int aLimit)
{
  Room* best = nullptr;
  for (Room& room : aRooms) {
    if (room.mTaken < aLimit && (!best || room.mFree > best->mFree)) {
      best = &room;
    }
  }
  return best;
}

// Takes one block at a time from the data centre with the most left, so that
// later demands find room in as many data centres as possible.
void SpreadEvenly(std::vector<Room>& aRooms, int aTotal, int aLimit)
{
  for (int placed = 0; placed < aTotal; ++placed) {
    if (Room* room = Emptiest(aRooms, aLimit)) {
      ++room->mTaken;
      --room->mFree;
    }
  }
}

void Assign(State& aState,
            const Demand& aDemand,
            const std::vector<Room>& aRooms)
{
  for (std::size_t i = 0; i < aRooms.size(); ++i) {
    const int taken = aRooms[i].mTaken;
    if (taken > 0) {
      Remove(aState.mFree[i], LevelOf(aDemand.mShape), taken);
      aState.mAssigned[i].push_back(
        { aDemand.mAccount, aDemand.mShape, taken });
    }
  }
}

std::string DoesNotFit(const Demand& aDemand, const std::vector<Room>& aRooms)
{
  return fmt::format(
    "client account {}: {} blocks of shape {} do not fit{}; at most {} fit "
    "beside the guarantees of larger shapes and those of this shape with "
    "larger counts",
    aDemand.mAccount.Value(),
    aDemand.mCount,
    aDemand.mShape,
    aRooms.size() > 1 ? " with any one data centre out" : "",
    LargestCount(aRooms));
}

std::vector<DataCentreAssignment> Collect(
  std::span<const DataCentreCapacity> aDataCentres,
  const State& aState)
{
  std::vector<DataCentreAssignment> plan;
  for (std::size_t i = 0; i < aDataCentres.size(); ++i) {
    for (const Demand& demand : aState.mAssigned[i]) {
      plan.push_back({ aDataCentres[i].mId, demand });
    }
  }
  return plan;
}

} // namespace

base::Expected<std::vector<DataCentreAssignment>> PlanGuarantees(
  std::span<const DataCentreCapacity> aDataCentres,
  std::span<const Demand> aDemands)
{
  auto state = ReadCentres(aDataCentres);
  if (!state) {
    return tl::unexpected(state.error());
  }
  const auto demands = ReadDemands(aDemands);
  if (!demands) {
    return tl::unexpected(demands.error());
  }
  for (const Demand& demand : *demands) {
    auto rooms = FreeBlocks(*state, LevelOf(demand.mShape));
    const auto limit = SmallestLimit(rooms, demand.mCount);
    if (!limit) {
      return base::MakeError(base::ErrorCode::eInvalid,
                             kStep,
                             {},
                             DoesNotFit(demand, rooms),
                             "/guarantees");
    }
    const int spare = rooms.size() > 1 ? *limit : 0;
    SpreadEvenly(rooms, demand.mCount + spare, *limit);
    Assign(*state, demand, rooms);
  }
  return Collect(aDataCentres, *state);
}

} // namespace flamingoloom::placement
