// Measures the time to place a gang and the memory used by the placement state.
#pragma once

#include <cstddef>

namespace flamingoloom::placement {

struct SpeedCase
{
  int mServers = 0;
  int mDataCentres = 0;
  int mTasks = 0;
};

// Times for one operation, in microseconds.
struct Times
{
  double mMedian = 0;
  // 99th percentile.
  double mP99 = 0;
  double mMax = 0;
};

struct SpeedResult
{
  // The size of the simulated deployment. Servers are added by whole racks, and
  // some tasks do not fit, so these may differ from the requested numbers.
  int mServers = 0;
  int mTasks = 0;
  int mAccelerators = 0;
  int mFreeAccelerators = 0;
  // A preemptible gang of 16 accelerators as one block, and as 16 blocks of one
  // accelerator.
  Times mAdjacent;
  Times mScattered;
  // The same as mScattered for non-preemptible work.
  Times mScatteredNonPreemptible;
  // One block within a guarantee, which requires preemption.
  Times mPreempting;
  // Adoption of all running work of one data centre by a new owner.
  Times mTakeover;
  // Memory of the state in bytes: as reported by the placements, and as
  // measured by the growth of the heap.
  std::size_t mStateBytes = 0;
  std::size_t mHeapBytes = 0;
};

SpeedResult MeasureSpeed(const SpeedCase& aCase);

} // namespace flamingoloom::placement
