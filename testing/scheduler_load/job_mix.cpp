#include "testing/scheduler_load/job_mix.h"

#include <algorithm>
#include <cmath>

namespace flamingoloom::testing::scheduler_load {

using std::chrono::milliseconds;

double Random::Uniform()
{
  constexpr double kScale = 1.0 / 9007199254740992.0;
  return static_cast<double>(mEngine() >> 11U) * kScale;
}

std::size_t Random::Below(std::size_t aCount)
{
  return std::min(
    aCount - 1,
    static_cast<std::size_t>(Uniform() * static_cast<double>(aCount)));
}

double Random::Normal()
{
  // The sum of 12 uniform numbers has variance 1.
  constexpr int kTerms = 12;
  double sum = -kTerms / 2.0;
  for (int i = 0; i < kTerms; ++i) {
    sum += Uniform();
  }
  return sum;
}

double Random::LogNormal(double aMean, double aSpread)
{
  return aMean * std::exp(aSpread * Normal() - aSpread * aSpread / 2);
}

double Random::WaitSeconds(double aPerSecond)
{
  return -std::log(1 - Uniform()) / aPerSecond;
}

std::vector<QueueMix> LargeMix()
{
  QueueMix survey;
  survey.mName = "survey";
  survey.mPriority = 1;
  survey.mJobsPerSecond = 3.19;
  survey.mStretch = 3;
  survey.mTargetLatency = milliseconds(1200);
  survey.mMeanWidth = 10;
  survey.mWidthSpread = 0.8;
  survey.mMaxWidth = 60;
  survey.mMeanWork = milliseconds(6800);
  survey.mWorkSpread = 0.3;
  survey.mMaxWork = milliseconds(11000);
  survey.mEstimateSpread = 0.9;
  survey.mCpuMilli = 52000;
  survey.mMemoryMb = 140000;
  survey.mAccelerators = { 1, 2, 4, 8, 8 };
  survey.mGangShare = 1;
  survey.mSameRackShare = 0.6;
  survey.mErrorShare = 0.02;
  survey.mHopelessShare = 0.03;
  survey.mCancelShare = 0.05;

  QueueMix booking;
  booking.mName = "booking";
  booking.mPriority = 0;
  booking.mJobsPerSecond = 7.61;
  booking.mStretch = 1.5;
  booking.mTargetLatency = milliseconds(500);
  booking.mMeanWidth = 4.7;
  booking.mWidthSpread = 0.8;
  booking.mMaxWidth = 28;
  booking.mMeanWork = milliseconds(2500);
  booking.mWorkSpread = 0.5;
  booking.mMaxWork = milliseconds(8000);
  booking.mEstimateSpread = 0.2;
  booking.mCpuMilli = 15000;
  booking.mMemoryMb = 22000;
  booking.mAccelerators = { 1, 2, 4, 8, 8 };
  booking.mGangShare = 1;
  booking.mSameRackShare = 0.8;
  booking.mErrorShare = 0.02;

  QueueMix match;
  match.mName = "match";
  match.mPriority = 2;
  match.mJobsPerSecond = 3.14;
  match.mStretch = 3;
  match.mTargetLatency = milliseconds(3000);
  match.mMeanSteps = 1.3;
  match.mMeanWidth = 30;
  match.mWidthSpread = 0.8;
  match.mMaxWidth = 180;
  match.mMeanWork = milliseconds(6100);
  match.mWorkSpread = 0.3;
  match.mMaxWork = milliseconds(11000);
  match.mEstimateSpread = 0.5;
  match.mCpuMilli = 11000;
  match.mMemoryMb = 16000;
  match.mAccelerators = { 1 };
  match.mDataRackShare = 0.2;
  match.mErrorShare = 0.05;
  match.mCancelShare = 0.15;
  return { survey, booking, match };
}

PlannedJob MakeJob(Random& aRandom,
                   const QueueMix& aQueue,
                   int aNumber,
                   int aRacks)
{
  PlannedJob job;
  job.mSpec.mId = "j" + std::to_string(aNumber);
  // The order of ids is that of a hash, not of arrival.
  job.mSpec.mId.insert(0, 1, static_cast<char>('a' + aRandom.Below(26)));
  constexpr std::size_t kAccounts = 10;
  // A few accounts are large.
  const auto account =
    aRandom.Chance(0.6) ? aRandom.Below(3) : aRandom.Below(kAccounts);
  job.mSpec.mAccount = base::AccountId("account" + std::to_string(account));
  job.mSpec.mRules = { aQueue.mName,     "desk",
                       aQueue.mPriority, aQueue.mMaxAttempts,
                       aQueue.mStretch,  aQueue.mTargetLatency };
  job.mErrorShare = aQueue.mErrorShare;
  job.mHopeless = aRandom.Chance(aQueue.mHopelessShare);
  job.mCancelled = aRandom.Chance(aQueue.mCancelShare);
  const bool longRunning = aRandom.Chance(aQueue.mLongRunningShare);
  const auto accelerators =
    aQueue.mAccelerators[aRandom.Below(aQueue.mAccelerators.size())];
  int steps = 1;
  while (!longRunning && steps < 3 && aRandom.Chance(aQueue.mMeanSteps - 1)) {
    ++steps;
  }
  for (int i = 0; i < steps; ++i) {
    const auto work = std::min<double>(
      static_cast<double>(aQueue.mMaxWork.count()),
      aRandom.LogNormal(static_cast<double>(aQueue.mMeanWork.count()),
                        aQueue.mWorkSpread));
    jobs::StepSpec step;
    step.mTaskCount = std::clamp(static_cast<int>(aRandom.LogNormal(
                                   aQueue.mMeanWidth, aQueue.mWidthSpread)),
                                 1,
                                 aQueue.mMaxWidth);
    step.mPerTask = { aQueue.mCpuMilli, aQueue.mMemoryMb, accelerators };
    step.mEstimate = base::Duration(static_cast<std::int64_t>(
      work * std::exp(aQueue.mEstimateSpread * aRandom.Normal())));
    if (i > 0) {
      step.mDependsOn = { i - 1 };
    }
    step.mGang =
      step.mTaskCount > 1 && !longRunning && aRandom.Chance(aQueue.mGangShare);
    step.mSameRack = step.mGang && aRandom.Chance(aQueue.mSameRackShare);
    step.mLongRunning = longRunning;
    if (!step.mSameRack && aRandom.Chance(aQueue.mDataRackShare)) {
      step.mDataRack =
        "r" + std::to_string(aRandom.Below(static_cast<std::size_t>(aRacks)));
    }
    job.mSpec.mSteps.push_back(step);
    job.mWork.emplace_back(static_cast<std::int64_t>(work));
  }
  return job;
}

} // namespace flamingoloom::testing::scheduler_load
