// The scenario language: one action per line, such as
//
//   at 5s kill a1
//   at 6500ms submit invoice --account paper --key k1 --at a1 --again-at b1
//   at 40s expect request paper/k1 finished unknown
//
// In place of an instance, "owner:a" names the one that owned data centre "a"
// when the script first named it, and "other:a" the other one that started
// there.
//
// Each verb is a CLI11 subcommand; `scenario_dummy --verbs` prints them all.
// "#" starts a comment. A line "sweep 1 40" asks for one run for each value,
// which then replaces "%n" in all other lines.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "flamingoloom/base/error.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::testing::scenario {

// One line. A verb uses the fields that it needs; the others keep defaults.
struct Action
{
  base::Duration mAt{};
  std::string mVerb;
  // What the verb acts on: instance, server, data centre, both sides of a
  // cut, store mode, job kind, or what is expected.
  std::vector<std::string> mNames;
  std::string mAccount = "paper";
  std::string mKey;
  std::string mPayload = "payload";
  std::string mOperator = "operator";
  // Instance that gets the call; empty for any that is live.
  std::string mInstance;
  // Instances that get the same request at the same time.
  std::vector<std::string> mRepeatedAt;
  base::Duration mWait = std::chrono::seconds(2);
  std::optional<base::Duration> mStartsWithin;
  double mProbability = 0.3;
  int mCount = 0;
  bool mFlag = false;
};

struct Script
{
  std::vector<Action> mActions;
  int mSweepFrom = 0;
  int mSweepTo = 0;
};

// eInvalid with the line number and CLI11's message for a line with a fault.
base::Expected<Script> ParseScript(std::string_view aText, int aSweep = 0);

// Help text of all verbs.
std::string DescribeVerbs();

} // namespace flamingoloom::testing::scenario
