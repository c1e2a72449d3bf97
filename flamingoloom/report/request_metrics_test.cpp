#include "flamingoloom/report/request_metrics.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace flamingoloom::report {
namespace {

using namespace std::chrono_literals;

RequestCompletion MakeCompletion(const std::string& aAccount,
                                 Result aResult,
                                 base::Duration aDuration)
{
  return {
    base::AccountId(aAccount), base::KindId("quote"), aResult, aDuration
  };
}

bool HasLine(const RequestMetrics& aMetrics, const std::string& aLine)
{
  return aMetrics.Text().find(aLine + "\n") != std::string::npos;
}

} // namespace

// Guards against requests that are not counted or are counted under the wrong
// result.
TEST_CASE("requests are counted by account, kind and result")
{
  RequestMetrics metrics;
  metrics.Record(MakeCompletion("acme", Result::eInTime, 10ms));
  metrics.Record(MakeCompletion("acme", Result::eInTime, 20ms));
  metrics.Record(MakeCompletion("acme", Result::eCancelled, 20ms));
  CHECK(HasLine(metrics,
                "flamingoloom_requests_total{account=\"acme\",kind=\"quote\","
                "result=\"in_time\"} 2"));
  CHECK(HasLine(metrics,
                "flamingoloom_requests_total{account=\"acme\",kind=\"quote\","
                "result=\"cancelled\"} 1"));
}

// Rejections take little time. Guards against a histogram that includes them
// and so understates the durations.
TEST_CASE("only finished requests are in the duration histogram")
{
  RequestMetrics metrics;
  metrics.Record(MakeCompletion("acme", Result::eInTime, 400ms));
  metrics.Record(MakeCompletion("acme", Result::eLate, 700ms));
  metrics.Record(MakeCompletion("acme", Result::eRefused, 1ms));
  const std::string name = "flamingoloom_request_duration_seconds";
  CHECK(HasLine(metrics, name + "_bucket{kind=\"quote\",le=\"0.25\"} 0"));
  CHECK(HasLine(metrics, name + "_bucket{kind=\"quote\",le=\"0.5\"} 1"));
  CHECK(HasLine(metrics, name + "_bucket{kind=\"quote\",le=\"1\"} 2"));
  CHECK(HasLine(metrics, name + "_count{kind=\"quote\"} 2"));
}

// Guards against an unbounded number of label values.
TEST_CASE("pairs beyond the limit are counted under _other")
{
  RequestMetrics metrics;
  for (std::size_t i = 0; i < kMaxPairs + 5; ++i) {
    metrics.Record(MakeCompletion(fmt::format("a{}", i), Result::eInTime, 1ms));
  }
  CHECK(
    HasLine(metrics,
            "flamingoloom_requests_total{account=\"_other\",kind=\"_other\","
            "result=\"in_time\"} 5"));
}

} // namespace flamingoloom::report
