#include "flamingoloom/dispatch/failure_tracker.h"

#include <algorithm>
#include <cmath>

namespace flamingoloom::dispatch {

void FailureTracker::OnSuccess(const base::ServerId& aServer)
{
  Evidence& evidence = mServers[aServer];
  if (IsEjected(aServer)) {
    // One good probe ends the ejection; the evidence starts anew.
    evidence = Evidence{};
  }
  ++evidence.mResults;
  evidence.mRate *= 1 - mOptions.mGain;
}

void FailureTracker::OnFailure(const base::ServerId& aServer, base::Time aNow)
{
  Evidence& evidence = mServers[aServer];
  bool wasEjected = IsEjected(aServer);
  evidence.mLastFailure = aNow;
  ++evidence.mResults;
  evidence.mRate += mOptions.mGain * (1 - evidence.mRate);
  // The decaying rate starts at zero and would need several results to pass
  // the threshold, so few results are weighed by their plain share.
  if (evidence.mResults <= mOptions.mMinimumResults) {
    evidence.mRate = std::max(evidence.mRate,
                              mOptions.mEjectAt * evidence.mResults /
                                mOptions.mMinimumResults);
  }
  if (!IsEjected(aServer)) {
    return;
  }
  evidence.mProbeEvery =
    wasEjected ? std::min(2 * evidence.mProbeEvery, mOptions.mProbeEveryMost)
               : mOptions.mProbeEvery;
  evidence.mNextProbe = aNow + evidence.mProbeEvery;
}

bool FailureTracker::IsEjected(const base::ServerId& aServer) const
{
  auto found = mServers.find(aServer);
  return found != mServers.end() &&
         found->second.mResults >= mOptions.mMinimumResults &&
         found->second.mRate >= mOptions.mEjectAt;
}

bool FailureTracker::MayProbe(const base::ServerId& aServer,
                              base::Time aNow) const
{
  auto found = mServers.find(aServer);
  return found != mServers.end() && aNow >= found->second.mNextProbe;
}

void FailureTracker::OnProbe(const base::ServerId& aServer, base::Time aNow)
{
  Evidence& evidence = mServers[aServer];
  evidence.mNextProbe = aNow + evidence.mProbeEvery;
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
