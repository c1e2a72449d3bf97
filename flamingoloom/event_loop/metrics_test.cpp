#include <doctest/doctest.h>

#include "flamingoloom/event_loop/metrics.h"

namespace flamingoloom::event_loop {
namespace {

// Guards against metrics that an operator cannot tell apart.
TEST_CASE("Events are counted by kind and calls by peer")
{
  Metrics metrics;
  metrics.CountEvent("lead_taken");
  metrics.CountEvent("lead_taken");
  metrics.ObserveCall("store", std::chrono::milliseconds(4), true);
  const auto text = metrics.Text();
  CHECK(text.find("flamingoloom_events_total{event=\"lead_taken\"} 2") !=
        std::string::npos);
  CHECK(text.find("peer=\"store\"") != std::string::npos);
  CHECK(text.find("le=\"0.005\"} 1") != std::string::npos);
}

} // namespace
} // namespace flamingoloom::event_loop
