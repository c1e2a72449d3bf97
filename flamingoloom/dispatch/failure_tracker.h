// Evidence of failure per backend server.
//
// A server that fails every task looks idle, so routing by load alone sends it
// more and more. The tracker keeps an exponentially decaying failure rate for
// each server; a server above the threshold is ejected and gets only probes.
// Not thread-safe.
#pragma once

#include <map>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::dispatch {

struct FailureOptions
{
  // Weight of the newest result in the failure rate.
  double mGain = 0.2;
  // A server is ejected at this failure rate or above.
  double mEjectAt = 0.5;
  // Results that must be known before a server can be ejected.
  int mMinimumResults = 3;
  // An ejected server gets one probe after this time, then after twice as
  // long, up to mProbeEveryMost.
  base::Duration mProbeEvery = std::chrono::seconds(2);
  base::Duration mProbeEveryMost = std::chrono::seconds(30);
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

  // Whether an ejected server may get one probe now. A probe must be work
  // that is idempotent and has another try left.
  bool MayProbe(const base::ServerId& aServer, base::Time aNow) const;
  // Notes that a probe was sent.
  void OnProbe(const base::ServerId& aServer, base::Time aNow);

  // Between 0 (never fails) and 1. Halves with each mHalfLife since the last
  // failure, so that a server that gets no work for a few failures gets some
  // again.
  double FailureRate(const base::ServerId& aServer, base::Time aNow) const;

private:
  struct Evidence
  {
    double mRate = 0;
    int mResults = 0;
    base::Time mLastFailure{};
    base::Time mNextProbe{};
    base::Duration mProbeEvery{};
  };

  FailureOptions mOptions;
  std::map<base::ServerId, Evidence> mServers;
};

} // namespace flamingoloom::dispatch
