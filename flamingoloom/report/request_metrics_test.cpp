#include "flamingoloom/report/request_metrics.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace flamingoloom::report {
namespace {

using namespace std::chrono_literals;

RequestCompletion End(const std::string& aAccount,
                      Result aResult,
                      base::Duration aTook)
{
  return { base::AccountId(aAccount), base::KindId("quote"), aResult, aTook };
}

bool Has(const RequestMetrics& aMetrics, const std::string& aLine)
{
  return aMetrics.Text().find(aLine + "\n") != std::string::npos;
}

} // namespace

// Guards against requests that are missing from the counters or counted under
// another result.
TEST_CASE("requests are counted by account, kind and result")
{
  RequestMetrics metrics;
  metrics.Record(End("acme", Result::eInTime, 10ms));
  metrics.Record(End("acme", Result::eInTime, 20ms));
  metrics.Record(End("acme", Result::eCancelled, 20ms));
  CHECK(Has(metrics,
            "flamingoloom_requests_total{account=\"acme\",kind=\"quote\","
            "result=\"in_time\"} 2"));
  CHECK(Has(metrics,
            "flamingoloom_requests_total{account=\"acme\",kind=\"quote\","
            "result=\"cancelled\"} 1"));
}

// Guards against refusals, which are quick, that make completion times look
// better.
TEST_CASE("only finished requests have a completion time")
{
  RequestMetrics metrics;
  metrics.Record(End("acme", Result::eInTime, 400ms));
  metrics.Record(End("acme", Result::eLate, 700ms));
  metrics.Record(End("acme", Result::eRefused, 1ms));
  const std::string name = "flamingoloom_request_duration_seconds";
  CHECK(Has(metrics, name + "_bucket{kind=\"quote\",le=\"0.25\"} 0"));
  CHECK(Has(metrics, name + "_bucket{kind=\"quote\",le=\"0.5\"} 1"));
  CHECK(Has(metrics, name + "_bucket{kind=\"quote\",le=\"1\"} 2"));
  CHECK(Has(metrics, name + "_count{kind=\"quote\"} 2"));
}

// Guards against a number of label values that grows for ever.
TEST_CASE("pairs beyond the limit share one label")
{
  RequestMetrics metrics;
  for (std::size_t i = 0; i < kMostPairs + 5; ++i) {
    metrics.Record(End(fmt::format("a{}", i), Result::eInTime, 1ms));
  }
  CHECK(Has(metrics,
            "flamingoloom_requests_total{account=\"_other\",kind=\"_other\","
            "result=\"in_time\"} 5"));
}

} // namespace flamingoloom::report
