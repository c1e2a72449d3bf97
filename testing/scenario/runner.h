// Runs a script against instances in a SimulatedCluster and judges the history.
//
// The runner also plays the callers and operators:
// - A caller of a durable request that is told "pending" or "unknown", or
//   loses its connection, asks again through any live instance, with the same
//   key and body, until the request has ended. A quote is sent once.
// - An operator reads the version of "datacentre/<dc>" and requests a change.
//   Until a take-out is acknowledged it repeats the change every 500 ms with
//   the version that it was last told.
// - An operator who puts a configuration expects the version that the
//   instance uses, and tries again when it was not accepted.
//
// The configuration that an instance uses is sampled every 50 ms, so that a
// time measured for P9 is at most 50 ms too long.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "testing/fakes/checker.h"
#include "testing/fakes/system_under_test.h"
#include "testing/scenario/script.h"

namespace flamingoloom::testing::scenario {

struct RunOptions
{
  std::uint64_t mSeed = 1;
  fakes::InstanceFactory mFactory;
  fakes::Limits mLimits;
  // An instance that reaches a peer with a newer configuration must use it
  // within the bound even while it does not reach the store.
  bool mPeersPassConfiguration = true;
};

struct RunResult
{
  std::uint64_t mSeed = 0;
  fakes::History mHistory;
  std::vector<fakes::Violation> mViolations;
  std::uint64_t mEventsRun = 0;
  std::uint64_t mCrossRegionBytes = 0;
};

// Thread-safe: a run shares nothing with another.
RunResult RunScript(const Script& aScript, const RunOptions& aOptions);

// One line for each violation.
std::string DescribeViolations(const RunResult& aResult);

// One line for each event that names aText, for the search of a cause.
std::string DescribeEvents(const RunResult& aResult, const std::string& aText);

} // namespace flamingoloom::testing::scenario
