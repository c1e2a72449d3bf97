// The work that is placed in a data centre, and the result of its placement.
//
// Immutable value types; safe to copy between threads.
#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::placement {

// Properties of a job kind that decide whether its work can be preempted.
struct WorkProperties
{
  bool mPreemptible = false;
  bool mCheckpointable = false;
  bool mIdempotent = false;

  // Returns whether the work can be preempted. Work that must not run twice
  // cannot.
  bool IsReclaimable() const { return mPreemptible && mIdempotent; }

  friend bool operator==(const WorkProperties&,
                         const WorkProperties&) = default;
};

struct Job
{
  // Includes the client account whose guarantee applies.
  base::RequestId mRequest;
  WorkProperties mProperties;
  // The number of tasks, which run together or not at all (gang).
  int mTasks = 1;
  int mAcceleratorsPerTask = 1;
  // Whether all accelerators of the job form one block. Otherwise each task has
  // its own block.
  bool mAdjacent = false;
  base::Duration mExpectedRunTime{};

  int Accelerators() const { return mTasks * mAcceleratorsPerTask; }
  // The number of blocks that the job needs, and the size of each in
  // accelerators before rounding to a shape.
  int Blocks() const { return mAdjacent ? 1 : mTasks; }
  int BlockSize() const
  {
    return mAdjacent ? Accelerators() : mAcceleratorsPerTask;
  }

  friend bool operator==(const Job&, const Job&) = default;
};

// A range of mCount accelerators with consecutive indices from mFirst on. The
// indices are defined in layout.h.
struct Range
{
  int mFirst = 0;
  int mCount = 0;

  friend auto operator<=>(const Range&, const Range&) = default;
  friend bool operator==(const Range&, const Range&) = default;
};

// Work that holds accelerators.
struct Allocation
{
  base::RequestId mRequest;
  WorkProperties mProperties;
  std::vector<Range> mBlocks;
  base::Time mStarted;
  base::Time mExpectedEnd;
  // The work was preempted or lost a server. Until its end is reported, the
  // allocation keeps the blocks that have not been given to other work.
  bool mStopping = false;
  // The work uses the guarantee of its client account and cannot be preempted,
  // whatever its properties.
  bool mWithinGuarantee = false;

  friend bool operator==(const Allocation&, const Allocation&) = default;
};

enum class PreemptionMethod
{
  eCheckpoint,
  eStop,
};

// An allocation that must end, with all blocks that it held before the
// preemption.
struct Preemption
{
  base::RequestId mRequest;
  PreemptionMethod mMethod = PreemptionMethod::eStop;
  std::vector<Range> mBlocks;

  friend bool operator==(const Preemption&, const Preemption&) = default;
};

// The job was placed and holds its blocks from now on. When mPreempted is not
// empty, the caller starts the job only after all of this work has released its
// accelerators.
struct Placed
{
  std::vector<Range> mBlocks;
  std::vector<Preemption> mPreempted;

  friend bool operator==(const Placed&, const Placed&) = default;
};

enum class WaitReason
{
  // There are not enough free blocks of the size.
  eNoFreeBlock,
  // The free blocks are needed for guarantees of client accounts.
  eGuarantees,
  // The servers in service cannot provide the guarantees, because others were
  // lost or drained.
  eDeficit,
  // The free blocks are reserved for a waiting gang.
  eReserved,
  // The request still holds blocks in this data centre.
  eStillHeld,
};

struct MustWait
{
  WaitReason mReason = WaitReason::eNoFreeBlock;

  friend bool operator==(const MustWait&, const MustWait&) = default;
};

enum class NeverReason
{
  // A size is negative, or the job has no tasks.
  eInvalidSize,
  // The data centre is too small even when it is empty.
  eTooLarge,
  // The guarantees never leave enough for work that cannot be preempted.
  eGuarantees,
};

// The job cannot be placed until the guarantees or the size of the data centre
// change.
struct NeverFits
{
  NeverReason mReason = NeverReason::eTooLarge;

  friend bool operator==(const NeverFits&, const NeverFits&) = default;
};

using Decision = std::variant<Placed, MustWait, NeverFits>;

// Names for messages and metrics, such as "no_free_block". They are part of the
// external interface and must not change.
std::string_view WaitReasonName(WaitReason aReason);
std::string_view NeverReasonName(NeverReason aReason);

} // namespace flamingoloom::placement
