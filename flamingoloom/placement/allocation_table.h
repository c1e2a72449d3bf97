// The allocations of one data centre, found by request and by position.
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
  // Index of an allocation; valid until it is removed.
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

  // kNone when the request has no allocation.
  Index Find(const base::RequestId& aRequest) const;
  // kNone when no allocation holds the position.
  Index OwnerOf(int aPosition) const { return mOwners[aPosition]; }
  const Entry& At(Index aIndex) const { return mEntries[aIndex]; }

  // Precondition: the request has no allocation, and the blocks no owner.
  Index Add(Entry aEntry);
  void Remove(Index aIndex);
  // Preconditions as for Add, but for blocks of the same allocation.
  void ReplaceBlocks(Index aIndex, std::vector<HeldBlock> aHeld);
  void MarkStopping(Index aIndex) { mEntries[aIndex].mStopping = true; }
  // Changes how the block is held. Precondition: the slot holds it.
  void SetHold(Index aIndex, const Block& aBlock, Hold aHold);

  int size() const { return static_cast<int>(mIndexByRequest.size()); }
  // Slots by rising request.
  const std::map<base::RequestId, Index>& IndexByRequest() const
  {
    return mIndexByRequest;
  }

  // Estimate that includes the heap blocks of the standard containers.
  std::size_t MemoryBytes() const;

private:
  void SetOwner(const std::vector<HeldBlock>& aHeld, Index aOwner);

  std::vector<Entry> mEntries;
  std::vector<Index> mUnusedIndices;
  std::map<base::RequestId, Index> mIndexByRequest;
  std::vector<Index> mOwners;
};

} // namespace flamingoloom::placement
