#include "flamingoloom/event_loop/metrics.h"

#include <prometheus/text_serializer.h>

namespace flamingoloom::event_loop {
namespace {

// Upper bounds in seconds. They range from a response within a data centre to
// the longest timeout of a call.
const prometheus::Histogram::BucketBoundaries kCallSecondsBuckets = {
  0.002, 0.005, 0.01, 0.03, 0.06, 0.15, 0.3, 0.6, 1.2, 3.0
};

} // namespace

Metrics::Metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
  , mEvents(prometheus::BuildCounter()
              .Name("flamingoloom_events_total")
              .Help("Decisions and changes of belief, by kind")
              .Register(*mRegistry))
  , mCalls(prometheus::BuildHistogram()
             .Name("flamingoloom_call_seconds")
             .Help("Time of calls, by peer and whether they were answered")
             .Register(*mRegistry))
  , mConfigurationVersion(prometheus::BuildGauge()
                            .Name("flamingoloom_configuration_version")
                            .Help("Version of the active configuration")
                            .Register(*mRegistry)
                            .Add({}))
  , mConfigurationAge(
      prometheus::BuildGauge()
        .Name("flamingoloom_configuration_age_seconds")
        .Help("Time since the active configuration was certainly the newest")
        .Register(*mRegistry)
        .Add({}))
  , mOpenConnections(prometheus::BuildGauge()
                       .Name("flamingoloom_open_connections")
                       .Help("Open connections to the store and to servers")
                       .Register(*mRegistry)
                       .Add({}))
  , mCallerConnections(prometheus::BuildGauge()
                         .Name("flamingoloom_caller_connections")
                         .Help("Open connections of callers.")
                         .Register(*mRegistry)
                         .Add({}))
  , mClosedCallers(
      prometheus::BuildGauge()
        .Name("flamingoloom_caller_connections_closed")
        .Help("Connections of callers closed at the limit of connections.")
        .Register(*mRegistry)
        .Add({}))
  , mRejectedRequests(
      prometheus::BuildGauge()
        .Name("flamingoloom_caller_requests_rejected")
        .Help("Requests of callers given up at the limit of memory.")
        .Register(*mRegistry)
        .Add({}))
  , mJobMemory(prometheus::BuildGauge()
                 .Name("flamingoloom_job_memory_bytes")
                 .Help("Memory of all jobs as the leader estimates it")
                 .Register(*mRegistry)
                 .Add({}))
  , mServers(
      prometheus::BuildGauge()
        .Name("flamingoloom_servers")
        .Help("Listed servers, by whether they take new tasks, or why not")
        .Register(*mRegistry))
  , mAccelerators(prometheus::BuildGauge()
                    .Name("flamingoloom_accelerators")
                    .Help("Accelerators of usable servers: all, free, planned")
                    .Register(*mRegistry))
{
}

void Metrics::CountEvent(const std::string& aEvent)
{
  auto& counter = mEventCounters[aEvent];
  if (counter == nullptr) {
    counter = &mEvents.Add({ { "event", aEvent } });
  }
  counter->Increment();
}

void Metrics::ObserveCall(const std::string& aPeer,
                          base::Duration aDuration,
                          bool aAnswered)
{
  auto& histogram = mCallHistograms[aPeer + (aAnswered ? "+" : "-")];
  if (histogram == nullptr) {
    histogram = &mCalls.Add(
      { { "peer", aPeer }, { "answered", aAnswered ? "true" : "false" } },
      kCallSecondsBuckets);
  }
  histogram->Observe(std::chrono::duration<double>(aDuration).count());
}

void Metrics::SetConfiguration(std::int64_t aVersion, base::Duration aAge)
{
  mConfigurationVersion.Set(static_cast<double>(aVersion));
  mConfigurationAge.Set(std::chrono::duration<double>(aAge).count());
}

void Metrics::SetOpenConnections(int aCount)
{
  mOpenConnections.Set(aCount);
}

void Metrics::SetCallers(int aOpen,
                         unsigned long aClosed,
                         unsigned long aRejected)
{
  mCallerConnections.Set(aOpen);
  mClosedCallers.Set(static_cast<double>(aClosed));
  mRejectedRequests.Set(static_cast<double>(aRejected));
}

void Metrics::SetJobMemory(std::int64_t aBytes)
{
  mJobMemory.Set(static_cast<double>(aBytes));
}

void Metrics::SetFleet(const scheduler::FleetSummary& aSummary)
{
  const auto setServers = [this](const char* aState, int aCount) {
    mServers.Add({ { "state", aState } }).Set(aCount);
  };
  setServers("usable", aSummary.mUsable);
  setServers("quarantined", aSummary.mQuarantined);
  setServers("silent", aSummary.mSilent);
  setServers("unfenced", aSummary.mUnfenced);
  setServers("draining", aSummary.mDraining);
  setServers("out_of_service", aSummary.mOutOfService);
  const auto setAccelerators = [this](const char* aState, std::int64_t aCount) {
    mAccelerators.Add({ { "state", aState } }).Set(static_cast<double>(aCount));
  };
  setAccelerators("usable", aSummary.mUsableAccelerators);
  setAccelerators("free", aSummary.mFreeAccelerators);
  setAccelerators("planned", aSummary.mPlannedAccelerators);
}

std::string Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

} // namespace flamingoloom::event_loop
