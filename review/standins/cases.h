// The cases that are shown with the stand-ins.
#pragma once

#include <functional>
#include <string>

#include "review/standins/system.h"

namespace review {

struct World
{
  Runtime& mRuntime;
  Store& mStore;
  Fleet& mFleet;
  System& mSystem;
  Caller& mCaller;
  // Whether the disruption of the case happens.
  bool mTrouble = true;
  // Ends the play before its time.
  std::function<void()> mFinish = {};
};

enum class Verdict
{
  eHeld = 0,
  eBroken = 1,
  eNotRun = 2,
};

struct Case
{
  const char* mName;
  // Guaranteed accelerators of the tenant "shop".
  int mGuarantee = 0;
  // Adds the workers.
  std::function<void(World&)> mPrepare;
  // Schedules what happens, from when the system is ready on.
  std::function<void(World&)> mPlay;
  double mLengthMs = 0;
  std::function<Verdict(World&)> mJudge;
  int mInstances = 2;
};

// Returns nullptr for an unknown name.
const Case* FindCase(const std::string& aName);

} // namespace review
