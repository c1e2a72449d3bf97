// Three-state circuit breaker per backend server (Closed/Open/Half-Open), the
// alternative to dispatch::FailureTracker that routing_benchmark compares.
//
//   if (breaker.Permits(server, now)) {
//     breaker.OnSend(server, now);
//     // later breaker.OnResult(server, succeeded, now);
//   }
//
// Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/dispatch/route.h"

namespace flamingoloom::testing::bench {

struct BreakerOptions
{
  // Results of the last calls that the failure rate is taken of.
  std::size_t mWindow = 20;
  // Results that must be known before the breaker opens.
  std::size_t mMinimumCalls = 20;
  double mOpenAt = 0.5;
  base::Duration mOpenFor = std::chrono::seconds(5);
  // Calls that are let through in Half-Open; their results decide.
  std::size_t mTrialCalls = 5;
};

enum class BreakerState
{
  eClosed,
  eOpen,
  eHalfOpen,
};

class CircuitBreaker
{
public:
  explicit CircuitBreaker(BreakerOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  BreakerState State(const base::ServerId& aServer, base::Time aNow) const;
  bool Permits(const base::ServerId& aServer, base::Time aNow) const;
  // Notes a permitted call.
  void OnSend(const base::ServerId& aServer, base::Time aNow);
  void OnResult(const base::ServerId& aServer,
                bool aSucceeded,
                base::Time aNow);

private:
  struct Breaker
  {
    // Half-Open begins at mOpenUntil; Closed has no mOpenUntil.
    std::optional<base::Time> mOpenUntil;
    std::deque<bool> mResults;
    std::size_t mTrialsSent = 0;
  };

  // Whether at least mOpenAt of the results are failures.
  bool FailsTooOften(const Breaker& aBreaker) const;
  static void Reset(Breaker& aBreaker, std::optional<base::Time> aOpenUntil);

  BreakerOptions mOptions;
  std::map<base::ServerId, Breaker> mServers;
};

// The nearest and least loaded of the servers that the breaker permits.
std::optional<dispatch::Route> ChooseWithBreaker(
  const std::vector<dispatch::FreeSlot>& aFree,
  const CircuitBreaker& aBreaker,
  const dispatch::RouteQuery& aQuery);

} // namespace flamingoloom::testing::bench
