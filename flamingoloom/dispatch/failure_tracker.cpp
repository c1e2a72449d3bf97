#include "flamingoloom/dispatch/failure_tracker.h"

#include <algorithm>
#include <cmath>

namespace flamingoloom::dispatch {

void FailureTracker::OnSuccess(const base::ServerId& aServer)
{
  ServerHealth& health = mServers[aServer];
  if (IsEjected(aServer)) {
    // One successful probe ends the ejection and resets the failure rate.
    health = ServerHealth{};
  }
  ++health.mResults;
  health.mRate *= 1 - mOptions.mResultWeight;
}

void FailureTracker::OnFailure(const base::ServerId& aServer, base::Time aNow)
{
  ServerHealth& health = mServers[aServer];
  bool wasEjected = IsEjected(aServer);
  health.mLastFailure = aNow;
  ++health.mResults;
  health.mRate += mOptions.mResultWeight * (1 - health.mRate);
  // The weighted rate starts at 0 and would need more than mMinimumResults
  // failures to reach the threshold. Up to mMinimumResults results, the rate
  // therefore rises at least in proportion to their number and reaches the
  // threshold with the last of them.
  if (health.mResults <= mOptions.mMinimumResults) {
    health.mRate = std::max(health.mRate,
                            mOptions.mEjectionThreshold * health.mResults /
                              mOptions.mMinimumResults);
  }
  if (!IsEjected(aServer)) {
    return;
  }
  health.mProbeInterval =
    wasEjected ? std::min(2 * health.mProbeInterval, mOptions.mMaxProbeInterval)
               : mOptions.mProbeInterval;
  health.mNextProbe = aNow + health.mProbeInterval;
}

bool FailureTracker::IsEjected(const base::ServerId& aServer) const
{
  auto found = mServers.find(aServer);
  return found != mServers.end() &&
         found->second.mResults >= mOptions.mMinimumResults &&
         found->second.mRate >= mOptions.mEjectionThreshold;
}

bool FailureTracker::MayProbe(const base::ServerId& aServer,
                              base::Time aNow) const
{
  auto found = mServers.find(aServer);
  return found != mServers.end() && aNow >= found->second.mNextProbe;
}

void FailureTracker::OnProbe(const base::ServerId& aServer, base::Time aNow)
{
  ServerHealth& health = mServers[aServer];
  health.mNextProbe = aNow + health.mProbeInterval;
}

double FailureTracker::FailureRate(const base::ServerId& aServer,
                                   base::Time aNow) const
{
  auto found = mServers.find(aServer);
  if (found == mServers.end()) {
    return 0;
  }
  double halfLives =
    std::chrono::duration<double>(aNow - found->second.mLastFailure) /
    std::chrono::duration<double>(mOptions.mHalfLife);
  return found->second.mRate * std::exp2(-std::max(halfLives, 0.0));
}

} // namespace flamingoloom::dispatch
