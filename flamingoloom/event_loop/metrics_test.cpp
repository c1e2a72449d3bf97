#include <doctest/doctest.h>

#include "flamingoloom/event_loop/metrics.h"

namespace flamingoloom::event_loop {
namespace {

// Guards against events or calls to different peers being added up in one
// series, so that an operator cannot see which of them is slow or frequent.
TEST_CASE("Events are counted by name and calls are recorded by peer")
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

TEST_CASE("The configuration is shown with its version and age")
{
  Metrics metrics;
  metrics.SetConfiguration(7, std::chrono::milliseconds(1500));
  const auto text = metrics.Text();
  CHECK(text.find("flamingoloom_configuration_version 7") != std::string::npos);
  CHECK(text.find("flamingoloom_configuration_age_seconds 1.5") !=
        std::string::npos);
}

TEST_CASE("The number of open connections is shown")
{
  Metrics metrics;
  metrics.SetOpenConnections(12);
  CHECK(metrics.Text().find("flamingoloom_open_connections 12") !=
        std::string::npos);
}

// Guards against a limit that is reached without anything that shows it.
TEST_CASE("The memory of jobs is shown")
{
  Metrics metrics;
  metrics.SetJobMemory(5000);
  CHECK(metrics.Text().find("flamingoloom_job_memory_bytes 5000") !=
        std::string::npos);
}

} // namespace
} // namespace flamingoloom::event_loop
