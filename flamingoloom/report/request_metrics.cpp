#include "flamingoloom/report/request_metrics.h"

#include <prometheus/text_serializer.h>

namespace flamingoloom::report {
namespace {

constexpr const char* kOther = "_other";

// Bucket boundaries in seconds. They range from quotes over loopback to
// overnight runs; 0.5 s is the target of quotes.
prometheus::Histogram::BucketBoundaries BucketBoundariesInSeconds()
{
  return { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5,  1,
           2.5,   5,    10,    30,   60,  300,  1800, 7200 };
}

double Seconds(base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

bool IsFinished(Result aResult)
{
  return aResult == Result::eInTime || aResult == Result::eLate;
}

} // namespace

RequestMetrics::RequestMetrics()
  : mRequests(prometheus::BuildCounter()
                .Name("flamingoloom_requests_total")
                .Help("Requests that ended, by account, kind and result.")
                .Register(mRegistry))
  , mDurations(prometheus::BuildHistogram()
                 .Name("flamingoloom_request_duration_seconds")
                 .Help("Time from arrival to the answer of finished requests.")
                 .Register(mRegistry))
{
}

PairKey RequestMetrics::FindOrAddLabels(const RequestCompletion& aCompletion)
{
  PairKey pair(aCompletion.mAccount, aCompletion.mKind);
  if (mPairs.contains(pair)) {
    return pair;
  }
  if (mPairs.size() >= kMaxPairs) {
    return { base::AccountId(kOther), base::KindId(kOther) };
  }
  mPairs.insert(pair);
  return pair;
}

void RequestMetrics::Record(const RequestCompletion& aCompletion)
{
  auto [account, kind] = FindOrAddLabels(aCompletion);
  mRequests
    .Add({ { "account", account.Value() },
           { "kind", kind.Value() },
           { "result", std::string(ResultName(aCompletion.mResult)) } })
    .Increment();
  if (IsFinished(aCompletion.mResult)) {
    mDurations.Add({ { "kind", kind.Value() } }, BucketBoundariesInSeconds())
      .Observe(Seconds(aCompletion.mDuration));
  }
}

std::string RequestMetrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry.Collect());
}

} // namespace flamingoloom::report
