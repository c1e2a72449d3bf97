// Counters and latency histograms of an instance, served as text.
//
//   Metrics metrics;
//   metrics.CountEvent("lead_taken");
//   metrics.ObserveCall("store", 4ms, true);
//
// Not thread-safe.
#pragma once

#include <map>
#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "flamingoloom/base/time.h"

namespace flamingoloom::event_loop {

class Metrics
{
public:
  Metrics();

  // One decision of the given kind; the kinds are the events of the log.
  void CountEvent(const std::string& aEvent);
  // One call to a dependency ("store", "server") or from a caller.
  void ObserveCall(const std::string& aPeer,
                   base::Duration aDuration,
                   bool aAnswered);

  // All metrics in the text format that scrapers read.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mEvents;
  prometheus::Family<prometheus::Histogram>& mCalls;
  std::map<std::string, prometheus::Counter*> mEventCounters;
  std::map<std::string, prometheus::Histogram*> mCallHistograms;
};

} // namespace flamingoloom::event_loop
