// The scenario language: one action per line, such as
//
//   at 5s kill a1
//   at 6500ms submit invoice --account paper --key k1 --at a1 --again-at b1
//   at 40s expect request paper/k1 finished unknown
//
// An instance can be given as "owner:a", which is the instance that owned data
// centre "a" when the script first referred to it, or as "other:a", which is
// the other one of the two initial instances of that data centre.
//
// Each verb is a CLI11 subcommand; `scenario_dummy --verbs` prints all of them.
// "#" starts a comment. A line "sweep 1 40" requests one run for each value
// from 1 to 40; the value replaces "%n" in the other lines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::testing::scenario {

// One parsed line. A verb uses the fields that it needs; the others have their
// default values.
struct Action
{
  base::Duration mAt{};
  std::string mVerb;
  // Operands of the verb: an instance, a server, a data centre, both sides of a
  // network partition, a store mode, a job kind, or an expectation.
  std::vector<std::string> mNames;
  std::string mAccount = "paper";
  std::string mKey;
  std::string mPayload = "payload";
  std::string mOperator = "operator";
  // Instance that receives the call; empty for any live instance.
  std::string mInstance;
  // Further instances that receive the same request at the same time.
  std::vector<std::string> mRepeatedAt;
  base::Duration mWait = std::chrono::seconds(2);
  std::optional<base::Duration> mStartsWithin;
  double mProbability = 0.3;
  // Value of --at-message.
  int mCount = 0;
  // Whether the flag of the verb is set: --before-start of "freeze", --accepts
  // of "leave-server".
  bool mFlag = false;
};

struct Script
{
  std::vector<Action> mActions;
  int mSweepFrom = 0;
  int mSweepTo = 0;
};

// Parses a script and sorts its actions by time; aSweep replaces "%n". Returns
// eInvalid with the line number and the message of CLI11 for an invalid line.
base::Expected<Script> ParseScript(std::string_view aText, int aSweep = 0);

// Returns the help text of all verbs.
std::string DescribeVerbs();

} // namespace flamingoloom::testing::scenario
