#include <doctest/doctest.h>

#include "flamingoloom/jobs/records.h"

namespace flamingoloom::jobs {
namespace {

JobSpec SampleJob()
{
  JobSpec job;
  job.mId = "5c0e7a21d94b36f8";
  job.mAccount = base::AccountId("shop");
  job.mRules = { "quotes", "desk", 0, 3, 1.5, std::chrono::milliseconds(500) };
  job.mPayload = "{\"text\": \"\xc3\xbe\"}";
  StepSpec first;
  first.mTaskCount = 4;
  first.mPerTask = { 500, 256, 1 };
  first.mEstimate = std::chrono::milliseconds(900);
  first.mDataRack = "r1-3";
  StepSpec second = first;
  second.mDependsOn = { 0 };
  second.mGang = second.mSameRack = second.mCheckpoints = true;
  job.mSteps = { first, second };
  job.mOccurrences = 2;
  job.mFirstDueMs = 1'780'000'000'000;
  job.mIntervalMs = 2000;
  return job;
}

// Guards against a field that the encoding omits: it would be lost between the
// instance that accepts a job and the leader that schedules it.
TEST_CASE("A job is the same after encoding and decoding")
{
  const auto job = SampleJob();
  CHECK(DecodeJob(job.mId, EncodeJob(job)).value() == job);
}

// Guards against a job within the limits of requests that no row can hold: its
// caller was asked to come back for ever.
TEST_CASE("A job whose steps have many dependencies fits into a row")
{
  auto job = SampleJob();
  job.mSteps.resize(1);
  for (int i = 1; i < 360; ++i) {
    StepSpec step = job.mSteps.front();
    for (int k = 0; k < i; ++k) {
      step.mDependsOn.push_back(k);
    }
    job.mSteps.push_back(step);
  }
  const auto value = EncodeJob(job);
  CHECK(value.size() <= kMaxValueBytes);
  CHECK(DecodeJob(job.mId, value).value() == job);
  CHECK(!DecodeJob(job.mId, value.substr(0, value.size() / 2)));
}

// Guards against lengths of queues that exceed a row: the store would reject
// the leader's renewal, which holds them.
TEST_CASE("The lengths of thousands of queues fit into a row")
{
  QueueLengths lengths;
  for (int i = 0; i < 5000; ++i) {
    lengths["a-queue-with-a-long-name-" + std::to_string(i)] = i % 7;
  }
  const auto value = EncodeQueueLengths(lengths);
  CHECK(value.size() <= kMaxValueBytes);
  CHECK(DecodeQueueLengths(value).value() == lengths);
}

// Guards against a new leader that misreads the assignments which the previous
// leader stored.
TEST_CASE("Step and state records are the same after encoding and decoding")
{
  StepRecord step{
    1, 2, { { 7, TaskOutcome::eAssigned, 3, base::ServerId("s1"), 2, "cp" } }
  };
  CHECK(DecodeStep(EncodeStep(step)).value() == step);
  step.mGangFailedAttempt = 2;
  CHECK(DecodeStep(EncodeStep(step)).value() == step);
  StateRecord state{ JobState::eFailed, base::AccountId("shop"), 17 };
  CHECK(DecodeState(EncodeState(state)).value() == state);
}

// Guards against a malformed row in the store that terminates the process by an
// exception.
TEST_CASE("A malformed row is a decoding error")
{
  CHECK(!DecodeJob("x", "no json"));
  CHECK(!DecodeJob("x", "{}"));
  CHECK(!DecodeState("{\"a\":1}"));
  CHECK(!DecodeStep("[1]"));
}

TEST_CASE("Keys of rows contain the ID of their job")
{
  CHECK(JobOfKey(CancelKey("ab")) == "ab");
  CHECK(IsCancelKey(CancelKey("ab")));
  CHECK(!IsCancelKey("ab"));
  CHECK(JobOfKey(StepKey("ab", 1, 2)) == "ab");
}

// Guards against an objective that is too late because the estimates of steps
// that run in parallel are added up.
TEST_CASE("The longest chain follows the dependencies of steps")
{
  auto job = SampleJob();
  CHECK(job.LongestChain() == std::chrono::milliseconds(1800));
  job.mSteps[1].mDependsOn.clear();
  CHECK(job.LongestChain() == std::chrono::milliseconds(900));
}

} // namespace
} // namespace flamingoloom::jobs
