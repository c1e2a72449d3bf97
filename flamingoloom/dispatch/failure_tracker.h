// Failure rates of backend servers, for ejecting the servers that fail.
//
// A server that fails every task at once looks idle, so routing by load alone
// sends it ever more requests. The tracker keeps an exponentially weighted
// failure rate for each server. A server whose rate reaches the threshold is
// ejected: it gets nothing but probes until one of them succeeds.
// Not thread-safe.
#pragma once

#include <map>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::dispatch {

struct FailureOptions
{
  // Weight of the newest result in the failure rate.
  double mResultWeight = 0.2;
  // A server is ejected at this failure rate or above.
  double mEjectionThreshold = 0.5;
  // Results that must be known before a server can be ejected.
  int mMinimumResults = 3;
  // An ejected server gets one probe after this interval, which doubles with
  // each failed probe, up to mMaxProbeInterval.
  base::Duration mProbeInterval = std::chrono::seconds(2);
  base::Duration mMaxProbeInterval = std::chrono::seconds(30);
  // Time after the last failure in which FailureRate halves.
  base::Duration mHalfLife = std::chrono::seconds(5);

  friend bool operator==(const FailureOptions&,
                         const FailureOptions&) = default;
};

class FailureTracker
{
public:
  explicit FailureTracker(FailureOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  void OnSuccess(const base::ServerId& aServer);
  void OnFailure(const base::ServerId& aServer, base::Time aNow);

  bool IsEjected(const base::ServerId& aServer) const;

  // Returns whether an ejected server may get a probe now. The probe must be a
  // request that is idempotent and may be retried elsewhere.
  bool MayProbe(const base::ServerId& aServer, base::Time aNow) const;
  // Records that a probe was sent.
  void OnProbe(const base::ServerId& aServer, base::Time aNow);

  // Returns the failure rate for routing, from 0 (no failures) to 1. It halves
  // with each mHalfLife since the last failure. Otherwise a server that gets no
  // work because of a few failures could never show that it has recovered.
  double FailureRate(const base::ServerId& aServer, base::Time aNow) const;

private:
  struct ServerHealth
  {
    double mRate = 0;
    int mResults = 0;
    base::Time mLastFailure{};
    base::Time mNextProbe{};
    base::Duration mProbeInterval{};
  };

  FailureOptions mOptions;
  std::map<base::ServerId, ServerHealth> mServers;
};

} // namespace flamingoloom::dispatch
