// One run of control::Instance on a SimulatedCluster under the virtual clock,
// with a fixed load and one kind of disturbance.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "testing/bench/load.h"

namespace flamingoloom::testing::bench {

enum class Disturbance
{
  eNone,
  // Data centre "a", which has the store's region, is taken out at
  // RunTimes::mOut and brought back at RunTimes::mBack.
  eDataCentreOut,
  // One backend server of each data centre, 6% of all, fails every task from
  // RunTimes::mBroken to the end.
  eBrokenServers,
};

enum class Policy
{
  eProduct,
  // dispatch::LeastLoadedRouting for requests without a record. Recorded
  // requests take the same path as in the product.
  eBaseline,
};

struct RunTimes
{
  base::Time mFirstArrival{ std::chrono::seconds(10) };
  base::Time mBroken{ std::chrono::seconds(20) };
  base::Duration mEvidence{ std::chrono::seconds(10) };
  base::Time mOut{ std::chrono::seconds(40) };
  base::Time mBack{ std::chrono::seconds(80) };
  base::Time mLastArrival{ std::chrono::seconds(120) };
  // Work that is in progress at the last arrival may finish until then.
  base::Time mEnd{ std::chrono::seconds(150) };
};

struct RunSetup
{
  const Deployment* mDeployment = nullptr;
  Disturbance mDisturbance = Disturbance::eNone;
  Policy mPolicy = Policy::eProduct;
  std::uint64_t mSeed = 1;
  RunTimes mTimes;
};

// Requests of one kind. Completion times are seen by the caller and sorted.
// Requests without an answer at the end are not in mCompletion.
struct KindResult
{
  int mSubmitted = 0;
  int mInTime = 0;
  // By the last state that the caller was told; "open" without an answer.
  std::map<std::string, int> mStates;
  std::vector<base::Duration> mCompletion;
};

struct RunResult
{
  std::map<std::string, KindResult> mKinds;
  // Finished work by the second in which it was done.
  std::vector<double> mAcceleratorSeconds;
  std::vector<double> mSlotSeconds;
  // Work of attempts that did not finish.
  double mLostAcceleratorSeconds = 0;
  // What a queue that loses nothing to placement could do with the
  // accelerators in service, by second.
  std::vector<double> mPossibleAcceleratorSeconds;
  std::uint64_t mCrossRegionBytes = 0;
  // From the operator's request to the acknowledgement of the take-out.
  base::Duration mTakeOutTime{};
  // Requests for accelerators that were started more than three times.
  int mOftenStarted = 0;
  std::uint64_t mEvents = 0;
  // Requests that may run once only and were sent to a broken server although
  // it had failed tasks for RunTimes::mEvidence.
  int mLateFailures = 0;
  // Requests without an answer: when they were submitted, and their records.
  std::vector<std::string> mOpen;
};

RunResult Run(const RunSetup& aSetup);

// Adds the figures of another run; completion times stay sorted, and the
// longest take-out counts.
void Add(RunResult& aTo, const RunResult& aFrom);

} // namespace flamingoloom::testing::bench
