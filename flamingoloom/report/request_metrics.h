// Metrics of completed requests in the Prometheus text format.
//
// The first kMaxPairs pairs of account and kind have their own label values;
// all others are counted under "_other". Not thread-safe.
#pragma once

#include <set>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "flamingoloom/report/burn.h"
#include "flamingoloom/report/request_completion.h"

namespace flamingoloom::report {

class RequestMetrics
{
public:
  RequestMetrics();

  void Record(const RequestCompletion& aCompletion);
  std::string Text() const;

private:
  // Returns the account and kind labels under which the completion is counted.
  PairKey FindOrAddLabels(const RequestCompletion& aCompletion);

  prometheus::Registry mRegistry;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Histogram>& mDurations;
  std::set<PairKey> mPairs;
};

} // namespace flamingoloom::report
