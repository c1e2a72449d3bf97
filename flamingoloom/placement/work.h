// The work that is placed in a data centre, and what becomes of it.
//
// Immutable value types; safe to copy between threads.
#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"

namespace flamingoloom::placement {

// Properties of a job kind that decide about preemption.
struct WorkProperties
{
  bool mPreemptible = false;
  bool mCheckpointable = false;
  bool mIdempotent = false;

  // Only work that may run again can be preempted.
  bool IsReclaimable() const { return mPreemptible && mIdempotent; }

  friend bool operator==(const WorkProperties&,
                         const WorkProperties&) = default;
};

struct Job
{
  // Also names the client account whose guarantee applies.
  base::RequestId mRequest;
  WorkProperties mProperties;
  // Tasks that run together or not at all.
  int mTasks = 1;
  int mAcceleratorsPerTask = 1;
  // All accelerators of the job form one block. Otherwise each task has one.
  bool mAdjacent = false;
  base::Duration mExpectedRunTime{};

  int Accelerators() const { return mTasks * mAcceleratorsPerTask; }
  // How many blocks the job needs, and of which size before rounding.
  int Blocks() const { return mAdjacent ? 1 : mTasks; }
  int BlockSize() const
  {
    return mAdjacent ? Accelerators() : mAcceleratorsPerTask;
  }

  friend bool operator==(const Job&, const Job&) = default;
};

// mCount accelerators with consecutive indices from mFirst on; see layout.h.
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
  // It was preempted or lost a server. It keeps the blocks that are not yet
  // given to other work until its end is reported.
  bool mStopping = false;
  // It uses the guarantee of its client account and cannot be preempted,
  // whatever its properties.
  bool mWithinGuarantee = false;

  friend bool operator==(const Allocation&, const Allocation&) = default;
};

enum class PreemptionMethod
{
  eCheckpoint,
  eStop,
};

// An allocation that must end, with all blocks that it held before.
struct Preemption
{
  base::RequestId mRequest;
  PreemptionMethod mMethod = PreemptionMethod::eStop;
  std::vector<Range> mBlocks;

  friend bool operator==(const Preemption&, const Preemption&) = default;
};

// The job holds its blocks from now on. When mPreempted is not empty, the
// caller starts the job only after each of these has left its blocks.
struct Placed
{
  std::vector<Range> mBlocks;
  std::vector<Preemption> mPreempted;

  friend bool operator==(const Placed&, const Placed&) = default;
};

enum class WaitReason
{
  // Not enough free blocks of the size.
  eNoFreeBlock,
  // The free blocks are needed for guarantees of client accounts.
  eGuarantees,
  // Lost or drained servers leave less than the guarantees need.
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

// Holds until the guarantees or the data centre's size change.
struct NeverFits
{
  NeverReason mReason = NeverReason::eTooLarge;

  friend bool operator==(const NeverFits&, const NeverFits&) = default;
};

using Decision = std::variant<Placed, MustWait, NeverFits>;

// Stable names for messages and metrics, such as "no_free_block".
std::string_view WaitReasonName(WaitReason aReason);
std::string_view NeverReasonName(NeverReason aReason);

} // namespace flamingoloom::placement
