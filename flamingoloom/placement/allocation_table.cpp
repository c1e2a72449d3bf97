#include "flamingoloom/placement/allocation_table.h"

#include <algorithm>
#include <utility>

namespace flamingoloom::placement {

AllocationTable::Slot AllocationTable::Find(
  const base::RequestId& aRequest) const
{
  const auto found = mSlots.find(aRequest);
  return found == mSlots.end() ? kNone : found->second;
}

AllocationTable::Slot AllocationTable::Add(Entry aEntry)
{
  if (mUnused.empty()) {
    mUnused.push_back(static_cast<Slot>(mEntries.size()));
    mEntries.emplace_back();
  }
  const Slot slot = mUnused.back();
  mUnused.pop_back();
  mSlots[aEntry.mRequest] = slot;
  SetOwner(aEntry.mHeld, slot);
  mEntries[slot] = std::move(aEntry);
  return slot;
}

void AllocationTable::Remove(Slot aSlot)
{
  SetOwner(mEntries[aSlot].mHeld, kNone);
  mSlots.erase(mEntries[aSlot].mRequest);
  mEntries[aSlot] = {};
  mUnused.push_back(aSlot);
}

void AllocationTable::ReplaceBlocks(Slot aSlot, std::vector<HeldBlock> aHeld)
{
  SetOwner(mEntries[aSlot].mHeld, kNone);
  SetOwner(aHeld, aSlot);
  mEntries[aSlot].mHeld = std::move(aHeld);
}

void AllocationTable::SetHold(Slot aSlot, const Block& aBlock, Hold aHold)
{
  for (HeldBlock& held : mEntries[aSlot].mHeld) {
    if (held.mBlock == aBlock) {
      held.mHold = aHold;
    }
  }
}

void AllocationTable::SetOwner(const std::vector<HeldBlock>& aHeld, Slot aOwner)
{
  for (const HeldBlock& held : aHeld) {
    std::fill_n(
      mOwners.begin() + held.mBlock.mPosition, held.mBlock.Size(), aOwner);
  }
}

std::size_t AllocationTable::MemoryBytes() const
{
  // Tree links, colour and the allocator's header of one map node.
  constexpr std::size_t kMapNodeOverhead = 48;
  std::size_t bytes = mEntries.capacity() * sizeof(Entry) +
                      (mUnused.capacity() + mOwners.capacity()) * sizeof(Slot);
  const auto text = [](const base::RequestId& aRequest) {
    return aRequest.mAccount.Value().capacity() + aRequest.mKey.capacity();
  };
  for (const auto& [request, slot] : mSlots) {
    const Entry& entry = mEntries[slot];
    bytes += sizeof(std::pair<base::RequestId, Slot>) + kMapNodeOverhead +
             text(request) + text(entry.mRequest) +
             entry.mHeld.capacity() * sizeof(HeldBlock);
  }
  return bytes;
}

} // namespace flamingoloom::placement
