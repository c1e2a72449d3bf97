// The steps of a job as its callers submit them, for the servers that run its
// tasks and for the judge.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace flamingoloom::testing::real_cluster {

// What a task takes, and what a server has.
struct Capacity
{
  long mCpuMilli = 0;
  long mMemoryMb = 0;
  long mGpus = 0;

  bool operator==(const Capacity&) const = default;
  Capacity& operator+=(const Capacity& aOther);
  Capacity& operator-=(const Capacity& aOther);
  bool Holds(const Capacity& aNeed) const;
  // How many of aNeed fit; a large number if it needs nothing.
  long Fits(const Capacity& aNeed) const;
  // The largest share of aTotal that this is, over the kinds of capacity.
  double ShareOf(const Capacity& aTotal) const;
};

struct JobStep
{
  int mCount = 1;
  Capacity mNeed;
  double mMs = 0;
  bool mGang = false;
  bool mSameRack = false;
  bool mLasts = false;
  std::string mDataRack;
  std::vector<int> mAfter;

  bool operator==(const JobStep&) const = default;
  nlohmann::json ToJson() const;
};

using JobSteps = std::vector<JobStep>;

// A task's name, "JOB.OCCURRENCE.STEP.INDEX".
struct TaskName
{
  std::string mJob;
  std::size_t mStep = 0;
  int mIndex = 0;

  auto operator<=>(const TaskName&) const = default;
};

// Precondition: aName is the name of a task.
TaskName ParseTaskName(const std::string& aName);

} // namespace flamingoloom::testing::real_cluster
