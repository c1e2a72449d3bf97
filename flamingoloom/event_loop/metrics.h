// Counters and latency histograms of an instance, exported in the Prometheus
// text format.
//
//   Metrics metrics;
//   metrics.CountEvent("lead_taken");
//   metrics.ObserveCall("store", 4ms, true);
//
// Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "flamingoloom/base/time.h"
#include "flamingoloom/scheduler/waiting_report.h"

namespace flamingoloom::event_loop {

class Metrics
{
public:
  Metrics();

  // Increments the counter of aEvent, the name of a log event.
  void CountEvent(const std::string& aEvent);
  // Records the duration of one call to aPeer ("store" or "server") and
  // whether it received a response.
  void ObserveCall(const std::string& aPeer,
                   base::Duration aDuration,
                   bool aAnswered);

  // Sets the version of the active configuration and its age: how long ago it
  // was certainly the newest one.
  void SetConfiguration(std::int64_t aVersion, base::Duration aAge);

  // Sets the number of open connections to the store and to servers.
  void SetOpenConnections(int aCount);

  // Sets the number of open connections of callers, of those that were closed
  // for want of connections, and of requests that were given up for want of
  // memory.
  void SetCallers(int aOpen, unsigned long aClosed, unsigned long aRejected);

  // Sets the memory of all jobs as the leader estimates it; 0 on other
  // instances.
  void SetJobMemory(std::int64_t aBytes);

  // Sets the numbers of servers and accelerators as the leader knows them; all
  // are 0 on other instances.
  void SetFleet(const scheduler::FleetSummary& aSummary);

  // Returns all metrics in the Prometheus text exposition format.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  prometheus::Family<prometheus::Counter>& mEvents;
  prometheus::Family<prometheus::Histogram>& mCalls;
  prometheus::Gauge& mConfigurationVersion;
  prometheus::Gauge& mConfigurationAge;
  prometheus::Gauge& mOpenConnections;
  prometheus::Gauge& mCallerConnections;
  prometheus::Gauge& mClosedCallers;
  prometheus::Gauge& mRejectedRequests;
  prometheus::Gauge& mJobMemory;
  prometheus::Family<prometheus::Gauge>& mServers;
  prometheus::Family<prometheus::Gauge>& mAccelerators;
  std::map<std::string, prometheus::Counter*> mEventCounters;
  std::map<std::string, prometheus::Histogram*> mCallHistograms;
};

} // namespace flamingoloom::event_loop
