// The allocations of one data centre, indexed by request and by position.
//
// A value type; one thread at a time.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "flamingoloom/base/ids.h"
#include "flamingoloom/base/time.h"
#include "flamingoloom/placement/capacity_state.h"
#include "flamingoloom/placement/work.h"

namespace flamingoloom::placement {

struct HeldBlock
{
  Block mBlock;
  Hold mHold = Hold::eReclaimable;

  friend bool operator==(const HeldBlock&, const HeldBlock&) = default;
};

class AllocationTable
{
public:
  // The index of an allocation in the table; valid until the allocation is
  // removed.
  using Index = int;
  static constexpr Index kNone = -1;

  struct Entry
  {
    base::RequestId mRequest;
    WorkProperties mProperties;
    int mAccount = 0;
    std::vector<HeldBlock> mHeld;
    base::Time mStarted;
    base::Time mExpectedEnd;
    bool mStopping = false;
  };

  explicit AllocationTable(int aPositions)
    : mOwners(aPositions, kNone)
  {
  }

  // Returns kNone when the request has no allocation.
  Index Find(const base::RequestId& aRequest) const;
  // Returns kNone when no allocation holds the position.
  Index OwnerOf(int aPosition) const { return mOwners[aPosition]; }
  const Entry& At(Index aIndex) const { return mEntries[aIndex]; }

  // Preconditions: the request has no allocation, and no allocation holds a
  // position of the blocks.
  Index Add(Entry aEntry);
  void Remove(Index aIndex);
  // Replaces all blocks of the allocation. Precondition: no other allocation
  // holds a position of the new blocks.
  void ReplaceBlocks(Index aIndex, std::vector<HeldBlock> aHeld);
  void MarkStopping(Index aIndex) { mEntries[aIndex].mStopping = true; }
  // Changes how the block is held. Precondition: the allocation holds the
  // block.
  void SetHold(Index aIndex, const Block& aBlock, Hold aHold);

  int size() const { return static_cast<int>(mIndexByRequest.size()); }
  // The index of each allocation, in ascending order of request.
  const std::map<base::RequestId, Index>& IndexByRequest() const
  {
    return mIndexByRequest;
  }

  // Estimated memory in bytes, with the heap blocks of the standard containers.
  std::size_t MemoryBytes() const;

private:
  void SetOwner(const std::vector<HeldBlock>& aHeld, Index aOwner);

  std::vector<Entry> mEntries;
  std::vector<Index> mUnusedIndices;
  std::map<base::RequestId, Index> mIndexByRequest;
  std::vector<Index> mOwners;
};

} // namespace flamingoloom::placement
