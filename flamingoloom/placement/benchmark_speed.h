// Measures how long it takes to place a gang, and the memory of the state.
#pragma once

#include <cstddef>

namespace flamingoloom::placement {

struct SpeedCase
{
  int mServers = 0;
  int mDataCentres = 0;
  int mTasks = 0;
};

// Microseconds for one placement.
struct Times
{
  double mMedian = 0;
  // 99th percentile.
  double mP99 = 0;
  double mMax = 0;
};

struct SpeedResult
{
  // What was reached; servers are added by whole racks.
  int mServers = 0;
  int mTasks = 0;
  int mAccelerators = 0;
  int mFreeAccelerators = 0;
  // A 16-accelerator gang as one block, and as 16 blocks of one.
  Times mAdjacent;
  Times mScattered;
  // As mScattered, for work that cannot be preempted.
  Times mScatteredNonPreemptible;
  // One block within a guarantee that needs preemption.
  Times mPreempting;
  // A successor adopts all running work of one data centre.
  Times mTakeover;
  // As counted by the placements, and as the heap grew.
  std::size_t mStateBytes = 0;
  std::size_t mHeapBytes = 0;
};

SpeedResult MeasureSpeed(const SpeedCase& aCase);

} // namespace flamingoloom::placement
