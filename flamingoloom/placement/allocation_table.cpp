#include "flamingoloom/placement/allocation_table.h"

#include <algorithm>
#include <utility>

namespace flamingoloom::placement {

AllocationTable::Index AllocationTable::Find(
  const base::RequestId& aRequest) const
{
  const auto found = mIndexByRequest.find(aRequest);
  return found == mIndexByRequest.end() ? kNone : found->second;
}

AllocationTable::Index AllocationTable::Add(Entry aEntry)
{
  if (mUnusedIndices.empty()) {
    mUnusedIndices.push_back(static_cast<Index>(mEntries.size()));
    mEntries.emplace_back();
  }
  const Index index = mUnusedIndices.back();
  mUnusedIndices.pop_back();
  mIndexByRequest[aEntry.mRequest] = index;
  SetOwner(aEntry.mHeld, index);
  mEntries[index] = std::move(aEntry);
  return index;
}

void AllocationTable::Remove(Index aIndex)
{
  SetOwner(mEntries[aIndex].mHeld, kNone);
  mIndexByRequest.erase(mEntries[aIndex].mRequest);
  mEntries[aIndex] = {};
  mUnusedIndices.push_back(aIndex);
}

void AllocationTable::ReplaceBlocks(Index aIndex, std::vector<HeldBlock> aHeld)
{
  SetOwner(mEntries[aIndex].mHeld, kNone);
  SetOwner(aHeld, aIndex);
  mEntries[aIndex].mHeld = std::move(aHeld);
}

void AllocationTable::SetHold(Index aIndex, const Block& aBlock, Hold aHold)
{
  for (HeldBlock& held : mEntries[aIndex].mHeld) {
    if (held.mBlock == aBlock) {
      held.mHold = aHold;
    }
  }
}

void AllocationTable::SetOwner(const std::vector<HeldBlock>& aHeld,
                               Index aOwner)
{
  for (const HeldBlock& held : aHeld) {
    std::fill_n(
      mOwners.begin() + held.mBlock.mPosition, held.mBlock.Size(), aOwner);
  }
}

std::size_t AllocationTable::MemoryBytes() const
{
  // The tree links, the colour and the allocator's header of one map node.
  constexpr std::size_t kMapNodeOverhead = 48;
  std::size_t bytes =
    mEntries.capacity() * sizeof(Entry) +
    (mUnusedIndices.capacity() + mOwners.capacity()) * sizeof(Index);
  const auto text = [](const base::RequestId& aRequest) {
    return aRequest.mAccount.Value().capacity() + aRequest.mKey.capacity();
  };
  for (const auto& [request, index] : mIndexByRequest) {
    const Entry& entry = mEntries[index];
    bytes += sizeof(std::pair<base::RequestId, Index>) + kMapNodeOverhead +
             text(request) + text(entry.mRequest) +
             entry.mHeld.capacity() * sizeof(HeldBlock);
  }
  return bytes;
}

} // namespace flamingoloom::placement
