// Random jobs of several queues: widths, run times, estimates and needs as
// callers of a deployment submit them. The same seed gives the same jobs on
// every machine.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "flamingoloom/jobs/job.h"

namespace flamingoloom::testing::scheduler_load {

// Not thread-safe.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  // Uniform in [0, 1).
  double Uniform();
  bool Chance(double aShare) { return Uniform() < aShare; }
  // Uniform in [0, aCount).
  std::size_t Below(std::size_t aCount);
  // Approximately normal, with mean 0 and deviation 1.
  double Normal();
  // With this mean; aSpread is the deviation of the logarithm.
  double LogNormal(double aMean, double aSpread);
  // The time until the next of events that come aPerSecond times a second.
  double WaitSeconds(double aPerSecond);

private:
  std::mt19937_64 mEngine;
};

struct QueueMix
{
  std::string mName;
  int mPriority = 0;
  double mJobsPerSecond = 0;
  double mStretch = 1;
  base::Duration mTargetLatency{ 0 };
  int mMaxAttempts = 2;
  double mMeanSteps = 1;
  double mMeanWidth = 1;
  double mWidthSpread = 0;
  int mMaxWidth = 1;
  base::Duration mMeanWork{ 0 };
  double mWorkSpread = 0;
  base::Duration mMaxWork{ 0 };
  // Deviation of the logarithm of the estimate's error.
  double mEstimateSpread = 0;
  std::int64_t mCpuMilli = 0;
  std::int64_t mMemoryMb = 0;
  // One of these is chosen for each job.
  std::vector<std::int64_t> mAccelerators = { 1 };
  double mGangShare = 0;
  // Of the gangs, those that want one rack.
  double mSameRackShare = 0;
  double mDataRackShare = 0;
  double mLongRunningShare = 0;
  // Share of runs of a task that fail by a fault of the job's own.
  double mErrorShare = 0;
  // Share of jobs of which each run fails.
  double mHopelessShare = 0;
  double mCancelShare = 0;
};

// Three queues of a deployment with 350 servers of 128 cores, 256 GB and 8
// accelerators, two of them with gangs.
std::vector<QueueMix> LargeMix();

// A job with what only its servers know.
struct PlannedJob
{
  jobs::JobSpec mSpec;
  // Run time of a task of each step near its data.
  std::vector<base::Duration> mWork;
  double mErrorShare = 0;
  bool mHopeless = false;
  bool mCancelled = false;
};

PlannedJob MakeJob(Random& aRandom,
                   const QueueMix& aQueue,
                   int aNumber,
                   int aRacks);

} // namespace flamingoloom::testing::scheduler_load
