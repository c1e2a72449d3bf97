// Metrics of ended requests in Prometheus' text format.
//
// At most kMostPairs pairs of account and kind have their own label values;
// later ones are counted under "_other". Not thread-safe.
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
  // The labels under which a pair is counted.
  PairKey LabelsOf(const RequestCompletion& aCompletion);

  prometheus::Registry mRegistry;
  prometheus::Family<prometheus::Counter>& mRequests;
  prometheus::Family<prometheus::Histogram>& mDurations;
  std::set<PairKey> mPairs;
};

} // namespace flamingoloom::report
