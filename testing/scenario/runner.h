// Runs a script against instances in a SimulatedCluster and checks the history.
//
// The runner also simulates the callers and operators:
// - The caller of a durable request retries with the same key and body through
//   any live instance while the response is "pending" or "unknown" or the
//   connection is lost, until the request has completed. A quote, which is not
//   durable, is sent once.
// - An operator reads the version of "datacentre/<dc>" and requests a change.
//   Until a take-out is acknowledged, the operator repeats the request every
//   500 ms with the version of the last response.
// - An operator who puts a configuration uses the active version of the
// instance
//   as the expected version, and retries when the change was not accepted.
//
// The active configuration of each instance is sampled every 50 ms, so that a
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
  // Whether P9 requires an instance to adopt a newer configuration from a
  // reachable peer while the store is unreachable.
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

// Thread-safe: runs share no state.
RunResult RunScript(const Script& aScript, const RunOptions& aOptions);

// Returns one line for each violation.
std::string DescribeViolations(const RunResult& aResult);

// Returns one line for each event whose line contains aText. Used to diagnose a
// violation.
std::string DescribeEvents(const RunResult& aResult, const std::string& aText);

} // namespace flamingoloom::testing::scenario
