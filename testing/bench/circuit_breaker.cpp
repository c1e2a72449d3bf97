#include "testing/bench/circuit_breaker.h"

#include <algorithm>

namespace flamingoloom::testing::bench {

BreakerState CircuitBreaker::State(const base::ServerId& aServer,
                                   base::Time aNow) const
{
  auto found = mServers.find(aServer);
  if (found == mServers.end() || !found->second.mOpenUntil) {
    return BreakerState::eClosed;
  }
  return aNow < *found->second.mOpenUntil ? BreakerState::eOpen
                                          : BreakerState::eHalfOpen;
}

bool CircuitBreaker::Permits(const base::ServerId& aServer,
                             base::Time aNow) const
{
  switch (State(aServer, aNow)) {
    case BreakerState::eOpen:
      return false;
    case BreakerState::eHalfOpen:
      return mServers.at(aServer).mTrialsSent < mOptions.mTrialCalls;
    case BreakerState::eClosed:
      break;
  }
  return true;
}

void CircuitBreaker::OnSend(const base::ServerId& aServer, base::Time aNow)
{
  if (State(aServer, aNow) == BreakerState::eHalfOpen) {
    ++mServers[aServer].mTrialsSent;
  }
}

void CircuitBreaker::OnResult(const base::ServerId& aServer,
                              bool aSucceeded,
                              base::Time aNow)
{
  BreakerState state = State(aServer, aNow);
  Breaker& breaker = mServers[aServer];
  if (state == BreakerState::eOpen) {
    // The call was sent before the breaker opened.
    return;
  }
  breaker.mResults.push_back(aSucceeded);
  if (state == BreakerState::eHalfOpen) {
    if (breaker.mResults.size() >= mOptions.mTrialCalls) {
      bool fails = FailsTooOften(breaker);
      Reset(breaker,
            fails ? std::optional(aNow + mOptions.mOpenFor) : std::nullopt);
    }
    return;
  }
  if (breaker.mResults.size() > mOptions.mWindow) {
    breaker.mResults.pop_front();
  }
  if (breaker.mResults.size() >= mOptions.mMinimumCalls &&
      FailsTooOften(breaker)) {
    Reset(breaker, aNow + mOptions.mOpenFor);
  }
}

bool CircuitBreaker::FailsTooOften(const Breaker& aBreaker) const
{
  auto failures = std::ranges::count(aBreaker.mResults, false);
  return static_cast<double>(failures) >=
         mOptions.mOpenAt * static_cast<double>(aBreaker.mResults.size());
}

void CircuitBreaker::Reset(Breaker& aBreaker,
                           std::optional<base::Time> aOpenUntil)
{
  aBreaker.mOpenUntil = aOpenUntil;
  aBreaker.mResults.clear();
  aBreaker.mTrialsSent = 0;
}

std::optional<dispatch::Route> ChooseWithBreaker(
  const std::vector<dispatch::FreeSlot>& aFree,
  const CircuitBreaker& aBreaker,
  const dispatch::RouteQuery& aQuery)
{
  std::vector<dispatch::FreeSlot> permitted;
  for (const dispatch::FreeSlot& slot : aFree) {
    const base::ServerId& server = slot.mServer.mId;
    if (aBreaker.Permits(server, aQuery.mNow) &&
        std::ranges::find(aQuery.mTried, server) == aQuery.mTried.end()) {
      permitted.push_back(slot);
    }
  }
  return dispatch::LeastLoadedRouting::Choose(
    permitted, dispatch::FailureTracker(), aQuery);
}

} // namespace flamingoloom::testing::bench
