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
  using Slot = int;
  static constexpr Slot kNone = -1;

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
  Slot Find(const base::RequestId& aRequest) const;
  // kNone when no allocation holds the position.
  Slot OwnerOf(int aPosition) const { return mOwners[aPosition]; }
  const Entry& At(Slot aSlot) const { return mEntries[aSlot]; }

  // Precondition: the request has no allocation, and the blocks no owner.
  Slot Add(Entry aEntry);
  void Remove(Slot aSlot);
  // Preconditions as for Add, but for blocks of the same allocation.
  void ReplaceBlocks(Slot aSlot, std::vector<HeldBlock> aHeld);
  void MarkStopping(Slot aSlot) { mEntries[aSlot].mStopping = true; }
  // Changes how the block is held. Precondition: the slot holds it.
  void SetHold(Slot aSlot, const Block& aBlock, Hold aHold);

  int size() const { return static_cast<int>(mSlots.size()); }
  // Slots by rising request.
  const std::map<base::RequestId, Slot>& Slots() const { return mSlots; }

  // Estimate that includes the heap blocks of the standard containers.
  std::size_t MemoryBytes() const;

private:
  void SetOwner(const std::vector<HeldBlock>& aHeld, Slot aOwner);

  std::vector<Entry> mEntries;
  std::vector<Slot> mUnused;
  std::map<base::RequestId, Slot> mSlots;
  std::vector<Slot> mOwners;
};

} // namespace flamingoloom::placement
