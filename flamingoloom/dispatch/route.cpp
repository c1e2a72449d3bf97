#include "flamingoloom/dispatch/route.h"

#include <algorithm>
#include <tuple>

namespace flamingoloom::dispatch {
namespace {

bool WasTried(const FreeSlot& aSlot, const RouteQuery& aQuery)
{
  return std::find(aQuery.mTried.begin(),
                   aQuery.mTried.end(),
                   aSlot.mServer.mId) != aQuery.mTried.end();
}

// Order among servers that are otherwise equal. It depends on the query's
// random value, since the first server would get every such request otherwise.
std::uint64_t TieBreaker(const FreeSlot& aSlot, const RouteQuery& aQuery)
{
  return std::hash<base::ServerId>()(aSlot.mServer.mId) ^ aQuery.mRandom;
}

// Returns the slot with the lowest aOrder among those that aIsCandidate
// accepts, or null.
template <class Order, class IsCandidate>
const FreeSlot* Lowest(const std::vector<FreeSlot>& aFree,
                       Order aOrder,
                       IsCandidate aIsCandidate)
{
  const FreeSlot* best = nullptr;
  for (const FreeSlot& slot : aFree) {
    if (aIsCandidate(slot) && (!best || aOrder(slot) < aOrder(*best))) {
      best = &slot;
    }
  }
  return best;
}

} // namespace

std::optional<Route> WeightedRouting::Choose(const std::vector<FreeSlot>& aFree,
                                             const FailureTracker& aFailures,
                                             const RouteQuery& aQuery)
{
  auto distance = [&](const FreeSlot& aSlot) {
    return aQuery.mDistance(aSlot.mDataCentre);
  };
  if (aQuery.mMayProbe) {
    const FreeSlot* probe = Lowest(aFree, distance, [&](const FreeSlot& aSlot) {
      const base::ServerId& server = aSlot.mServer.mId;
      return aFailures.IsEjected(server) &&
             aFailures.MayProbe(server, aQuery.mNow) &&
             !WasTried(aSlot, aQuery);
    });
    if (probe) {
      return Route{ *probe, true };
    }
  }
  auto order = [&](const FreeSlot& aSlot) {
    double rate = aFailures.FailureRate(aSlot.mServer.mId, aQuery.mNow);
    double load = static_cast<double>(aSlot.mInUse + 1) /
                  static_cast<double>(aSlot.mInUse + aSlot.mFree);
    return std::tuple(distance(aSlot),
                      load / (1.0 - std::min(rate, 0.9)),
                      TieBreaker(aSlot, aQuery));
  };
  const FreeSlot* best = Lowest(aFree, order, [&](const FreeSlot& aSlot) {
    return !WasTried(aSlot, aQuery) && !aFailures.IsEjected(aSlot.mServer.mId);
  });
  if (!best) {
    return std::nullopt;
  }
  return Route{ *best, false };
}

std::optional<Route> LeastLoadedRouting::Choose(
  const std::vector<FreeSlot>& aFree,
  const FailureTracker&,
  const RouteQuery& aQuery)
{
  auto order = [&](const FreeSlot& aSlot) {
    return std::tuple(aQuery.mDistance(aSlot.mDataCentre),
                      aSlot.mInUse,
                      TieBreaker(aSlot, aQuery));
  };
  const FreeSlot* best =
    Lowest(aFree, order, [](const FreeSlot&) { return true; });
  if (!best) {
    return std::nullopt;
  }
  return Route{ *best, false };
}

} // namespace flamingoloom::dispatch
