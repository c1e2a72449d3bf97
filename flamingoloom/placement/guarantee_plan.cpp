#include "flamingoloom/placement/guarantee_plan.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <fmt/format.h>

namespace flamingoloom::placement {

namespace {

constexpr char kOperation[] = "plan guarantees";

// The blocks of one shape that a data centre has free, and how many of them are
// assigned to the current demand.
struct CandidateDataCentre
{
  int mFree = 0;
  int mAssignedCount = 0;
};

struct State
{
  std::vector<LevelCounts> mFree;
  std::vector<std::vector<Demand>> mAssigned;
};

std::string JsonPointer(const char* aList, std::size_t aIndex)
{
  return fmt::format("/{}/{}", aList, aIndex);
}

base::Expected<State> ReadDataCentres(
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
        kOperation,
        dataCentre.mId.Value(),
        "racks, servers and accelerators must be at least 1",
        JsonPointer("centres", i));
    }
    if (!seen.insert(dataCentre.mId).second) {
      return base::MakeError(base::ErrorCode::eInvalid,
                             kOperation,
                             dataCentre.mId.Value(),
                             "the data centre is listed twice",
                             JsonPointer("centres", i));
    }
    state.mFree.push_back(Layout(dataCentre).Blocks());
  }
  state.mAssigned.resize(aDataCentres.size());
  return state;
}

// Adds up the demands by account and rounded shape. The result is ordered by
// falling shape, then by falling count, because large demands fit in the fewest
// data centres.
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
        kOperation,
        {},
        fmt::format("client account {}: shape {} must be 1 to {} and count {} "
                    "must not be negative",
                    demand.mAccount.Value(),
                    demand.mShape,
                    kMaxShape,
                    demand.mCount),
        JsonPointer("demands", i));
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

std::vector<CandidateDataCentre> FindCandidates(const State& aState, int aLevel)
{
  std::vector<CandidateDataCentre> candidates;
  for (const LevelCounts& dataCentre : aState.mFree) {
    candidates.push_back({ BlocksAt(dataCentre, aLevel), 0 });
  }
  return candidates;
}

// Returns how many blocks remain in the worst case when each data centre
// provides at most aLimit: those of the others when a data centre that provides
// aLimit is out of service.
int WorstCaseCount(const std::vector<CandidateDataCentre>& aCandidates,
                   int aLimit)
{
  int sum = 0;
  for (const CandidateDataCentre& candidate : aCandidates) {
    sum += std::min(candidate.mFree, aLimit);
  }
  return aCandidates.size() > 1 ? sum - aLimit : sum;
}

int MaxFeasibleCount(const std::vector<CandidateDataCentre>& aCandidates)
{
  int maxFree = 0;
  for (const CandidateDataCentre& candidate : aCandidates) {
    maxFree = std::max(maxFree, candidate.mFree);
  }
  int maxCount = 0;
  for (int limit = 1; limit <= maxFree; ++limit) {
    maxCount = std::max(maxCount, WorstCaseCount(aCandidates, limit));
  }
  return maxCount;
}

// Returns the smallest limit per data centre with which aCount blocks remain in
// the worst case. It needs the fewest spare blocks in total.
std::optional<int> MinLimit(const std::vector<CandidateDataCentre>& aCandidates,
                            int aCount)
{
  for (int limit = 1; limit <= aCount; ++limit) {
    if (WorstCaseCount(aCandidates, limit) >= aCount) {
      return limit;
    }
  }
  return std::nullopt;
}

// Returns the data centre with the most free blocks among those that are
// assigned fewer than aLimit, or nullptr.
CandidateDataCentre* FindMostFree(std::vector<CandidateDataCentre>& aCandidates,
                                  int aLimit)
{
  CandidateDataCentre* mostFree = nullptr;
  for (CandidateDataCentre& candidate : aCandidates) {
    if (candidate.mAssignedCount < aLimit &&
        (!mostFree || candidate.mFree > mostFree->mFree)) {
      mostFree = &candidate;
    }
  }
  return mostFree;
}

// Assigns one block at a time to the data centre with the most free blocks, so
// that later demands find capacity in as many data centres as possible.
void AssignEvenly(std::vector<CandidateDataCentre>& aCandidates,
                  int aTotal,
                  int aLimit)
{
  for (int placed = 0; placed < aTotal; ++placed) {
    if (CandidateDataCentre* candidate = FindMostFree(aCandidates, aLimit)) {
      ++candidate->mAssignedCount;
      --candidate->mFree;
    }
  }
}

void Assign(State& aState,
            const Demand& aDemand,
            const std::vector<CandidateDataCentre>& aCandidates)
{
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    const int assignedCount = aCandidates[i].mAssignedCount;
    if (assignedCount > 0) {
      Remove(aState.mFree[i], LevelOf(aDemand.mShape), assignedCount);
      aState.mAssigned[i].push_back(
        { aDemand.mAccount, aDemand.mShape, assignedCount });
    }
  }
}

std::string DoesNotFitMessage(
  const Demand& aDemand,
  const std::vector<CandidateDataCentre>& aCandidates)
{
  return fmt::format(
    "client account {}: {} blocks of shape {} do not fit{}; at most {} fit "
    "in addition to the guarantees of larger shapes and those of this shape "
    "with larger counts",
    aDemand.mAccount.Value(),
    aDemand.mCount,
    aDemand.mShape,
    aCandidates.size() > 1 ? " with any one data centre out of service" : "",
    MaxFeasibleCount(aCandidates));
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
  auto state = ReadDataCentres(aDataCentres);
  if (!state) {
    return tl::unexpected(state.error());
  }
  const auto demands = ReadDemands(aDemands);
  if (!demands) {
    return tl::unexpected(demands.error());
  }
  for (const Demand& demand : *demands) {
    auto candidates = FindCandidates(*state, LevelOf(demand.mShape));
    const auto limit = MinLimit(candidates, demand.mCount);
    if (!limit) {
      return base::MakeError(base::ErrorCode::eInvalid,
                             kOperation,
                             {},
                             DoesNotFitMessage(demand, candidates),
                             "/guarantees");
    }
    const int spare = candidates.size() > 1 ? *limit : 0;
    AssignEvenly(candidates, demand.mCount + spare, *limit);
    Assign(*state, demand, candidates);
  }
  return Collect(aDataCentres, *state);
}

} // namespace flamingoloom::placement
