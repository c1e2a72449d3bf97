#include "flamingoloom/placement/placement_state.h"

#include <algorithm>
#include <set>
#include <utility>

#include "flamingoloom/placement/claim_cover.h"

namespace flamingoloom::placement {

namespace {

constexpr char kAdoptStep[] = "adopt allocation";

// The parts of aBlock outside of aTaken, as blocks.
void AddRemainder(const Block& aBlock,
                  const std::vector<Block>& aTaken,
                  std::vector<HeldBlock>& aRemainder)
{
  bool overlaps = false;
  for (const Block& taken : aTaken) {
    if (taken.Contains(aBlock)) {
      return;
    }
    overlaps = overlaps || aBlock.Contains(taken);
  }
  if (!overlaps) {
    aRemainder.push_back({ aBlock, Hold::eReclaimable });
    return;
  }
  const int level = aBlock.mLevel - 1;
  AddRemainder({ aBlock.mPosition, level }, aTaken, aRemainder);
  AddRemainder(
    { aBlock.mPosition + ShapeAt(level), level }, aTaken, aRemainder);
}

} // namespace

PlacementState::PlacementState(const DataCentreCapacity& aCapacity)
  : mLayout(aCapacity)
  , mCapacity(mLayout)
  , mTable(mLayout.Positions())
  , mServers(mLayout.Servers(), ServerState::eInService)
{
}

int PlacementState::AccountNumber(const base::AccountId& aAccount)
{
  const auto found = std::ranges::find(mAccounts, aAccount);
  if (found != mAccounts.end()) {
    return static_cast<int>(found - mAccounts.begin());
  }
  mAccounts.push_back(aAccount);
  return static_cast<int>(mAccounts.size()) - 1;
}

LevelCounts PlacementState::GuaranteedTo(const base::AccountId& aAccount) const
{
  const auto found = std::ranges::find(mAccounts, aAccount);
  const auto account = static_cast<std::size_t>(found - mAccounts.begin());
  return account < mGuarantees.size() ? mGuarantees[account] : LevelCounts{};
}

std::optional<NeverReason> PlacementState::WhyNever(const Job& aJob) const
{
  if (aJob.mTasks < 1 || aJob.mAcceleratorsPerTask < 0) {
    return NeverReason::eInvalidSize;
  }
  if (aJob.mAcceleratorsPerTask == 0) {
    return std::nullopt;
  }
  // Compared before the product is formed, which could overflow.
  if (aJob.mAcceleratorsPerTask > kLargestShape ||
      aJob.mTasks > mLayout.Accelerators() ||
      aJob.BlockSize() > kLargestShape) {
    return NeverReason::eTooLarge;
  }
  const int level = LevelOf(ShapeOf(aJob.BlockSize()));
  const LevelCounts whole = mLayout.Blocks();
  if (BlocksAt(whole, level) < aJob.Blocks()) {
    return NeverReason::eTooLarge;
  }
  const LevelCounts own = GuaranteedTo(aJob.mRequest.mAccount);
  const int beyond = aJob.Blocks() - BlocksAt(own, level);
  LevelCounts wanted = mGuaranteed;
  wanted[level] += std::max(0, beyond);
  if (beyond > 0 && !aJob.mProperties.IsReclaimable() &&
      !Packs(whole, wanted)) {
    return NeverReason::eGuarantees;
  }
  return std::nullopt;
}

WaitReason PlacementState::WhyWait(const Job& aJob,
                                   const std::vector<Block>& aReserved) const
{
  const int level = LevelOf(ShapeOf(aJob.BlockSize()));
  BlockTree open = mCapacity.Free();
  if (BlocksAt(open.FreeBlocks(), level) < aJob.Blocks()) {
    return WaitReason::eNoFreeBlock;
  }
  for (const Block& block : aReserved) {
    open.Allocate(block);
  }
  if (BlocksAt(open.FreeBlocks(), level) < aJob.Blocks()) {
    return WaitReason::eReserved;
  }
  return mCapacity.CurrentDeficit().IsZero() ? WaitReason::eGuarantees
                                             : WaitReason::eDeficit;
}

void PlacementState::SetGuarantees(std::span<const Demand> aGuarantees)
{
  mGuarantees.clear();
  mGuaranteed = {};
  for (const Demand& guarantee : aGuarantees) {
    const int shape = ShapeOf(guarantee.mShape);
    if (shape == 0 || guarantee.mCount < 1) {
      continue;
    }
    const std::size_t account = AccountNumber(guarantee.mAccount);
    mGuarantees.resize(std::max(mGuarantees.size(), account + 1));
    mGuarantees[account][LevelOf(shape)] += guarantee.mCount;
    mGuaranteed[LevelOf(shape)] += guarantee.mCount;
  }
  mCapacity.SetGuarantees(mGuarantees);
  FollowDroppedClaims();
  CoverHeldWork(mTable, mCapacity);
}

void PlacementState::FollowDroppedClaims()
{
  for (const auto& [request, slot] : mTable.Slots()) {
    const std::vector<HeldBlock> all = mTable.At(slot).mHeld;
    for (const HeldBlock& held : all) {
      if (held.mHold == Hold::eWithinGuarantee &&
          !mCapacity.IsClaimed(held.mBlock)) {
        mTable.SetHold(slot, held.mBlock, Hold::eBeyondGuarantee);
      }
    }
  }
}

std::optional<Block> PlacementState::ToBlock(const Range& aRange) const
{
  const int last = aRange.mFirst + aRange.mCount - 1;
  if (aRange.mFirst < 0 || last >= mLayout.Accelerators() ||
      aRange.mCount < 1 || ShapeOf(aRange.mCount) != aRange.mCount) {
    return std::nullopt;
  }
  const Block block{ mLayout.PositionOf(aRange.mFirst),
                     LevelOf(aRange.mCount) };
  const bool aligned = block.mPosition % block.Size() == 0 &&
                       mLayout.PositionOf(last) == block.End() - 1;
  return aligned ? std::optional(block) : std::nullopt;
}

Range PlacementState::ToRange(const Block& aBlock) const
{
  return { mLayout.IndexOf(aBlock.mPosition), aBlock.Size() };
}

std::vector<Range> PlacementState::ToRanges(
  const std::vector<HeldBlock>& aHeld) const
{
  std::vector<Range> ranges;
  ranges.reserve(aHeld.size());
  for (const HeldBlock& held : aHeld) {
    ranges.push_back(ToRange(held.mBlock));
  }
  return ranges;
}

std::vector<Block> PlacementState::ToBlocks(
  const std::vector<Range>& aRanges) const
{
  std::vector<Block> blocks;
  for (const Range& range : aRanges) {
    if (const auto block = ToBlock(range)) {
      blocks.push_back(*block);
    }
  }
  return blocks;
}

base::Expected<std::vector<Block>> PlacementState::ReadBlocks(
  const Allocation& aAllocation) const
{
  const std::string& key = aAllocation.mRequest.mKey;
  if (mTable.Find(aAllocation.mRequest) != AllocationTable::kNone) {
    return base::MakeError(base::ErrorCode::eConflict,
                           kAdoptStep,
                           {},
                           "request " + key + " already holds blocks");
  }
  std::vector<Block> blocks;
  std::set<int> positions;
  for (const Range& range : aAllocation.mBlocks) {
    const auto block = ToBlock(range);
    if (!block) {
      return base::MakeError(base::ErrorCode::eInvalid,
                             kAdoptStep,
                             {},
                             "request " + key +
                               " names accelerators that form no block");
    }
    for (int i = block->mPosition; i < block->End(); ++i) {
      if (mTable.OwnerOf(i) != AllocationTable::kNone ||
          !positions.insert(i).second) {
        return base::MakeError(base::ErrorCode::eConflict,
                               kAdoptStep,
                               {},
                               "request " + key + " names accelerators in use");
      }
    }
    blocks.push_back(*block);
  }
  return blocks;
}

void PlacementState::AdoptBlocks(const Allocation& aAllocation,
                                 const std::vector<Block>& aBlocks)
{
  AllocationTable::Entry entry{ aAllocation.mRequest,
                                aAllocation.mProperties,
                                AccountNumber(aAllocation.mRequest.mAccount),
                                {},
                                aAllocation.mStarted,
                                aAllocation.mExpectedEnd,
                                aAllocation.mStopping };
  const bool reclaimable =
    entry.mStopping ||
    (entry.mProperties.IsReclaimable() && !aAllocation.mWithinGuarantee);
  const Hold hold = reclaimable ? Hold::eReclaimable : Hold::eBeyondGuarantee;
  for (const Block& block : aBlocks) {
    mCapacity.Take(block, hold);
    entry.mHeld.push_back({ block, hold });
  }
  mTable.Add(std::move(entry));
}

base::Expected<void> PlacementState::Adopt(
  std::span<const Allocation> aAllocations)
{
  PlacementState draft = *this;
  for (const Allocation& allocation : aAllocations) {
    const auto blocks = draft.ReadBlocks(allocation);
    if (!blocks) {
      return tl::unexpected(blocks.error());
    }
    draft.AdoptBlocks(allocation, *blocks);
  }
  CoverHeldWork(draft.mTable, draft.mCapacity);
  *this = std::move(draft);
  return {};
}

void PlacementState::ReleaseBlocks(Slot aSlot)
{
  // The table's entry still holds the blocks while claims are covered again,
  // so the allocation itself must not be chosen for that.
  const std::vector<HeldBlock> all = mTable.At(aSlot).mHeld;
  mTable.ReplaceBlocks(aSlot, {});
  for (const HeldBlock& held : all) {
    if (const auto ended = mCapacity.Release(held.mBlock, held.mHold)) {
      CoverWithEndedClaim(*ended);
    }
  }
}

void PlacementState::CoverWithEndedClaim(const Claim& aClaim)
{
  for (const auto& [request, slot] : mTable.Slots()) {
    const AllocationTable::Entry& entry = mTable.At(slot);
    for (const HeldBlock& held : entry.mHeld) {
      if (entry.mAccount == aClaim.mAccount &&
          held.mHold == Hold::eBeyondGuarantee &&
          held.mBlock.mLevel == aClaim.mBlock.mLevel) {
        mCapacity.CoverByClaim(entry.mAccount, held.mBlock, { held.mBlock });
        mTable.SetHold(slot, held.mBlock, Hold::eWithinGuarantee);
        return;
      }
    }
  }
}

bool PlacementState::Finish(const base::RequestId& aRequest)
{
  const Slot slot = mTable.Find(aRequest);
  if (slot == AllocationTable::kNone) {
    return false;
  }
  ReleaseBlocks(slot);
  mTable.Remove(slot);
  return true;
}

Preemption PlacementState::StopExcept(Slot aSlot,
                                      const std::vector<Block>& aTaken)
{
  const AllocationTable::Entry& entry = mTable.At(aSlot);
  Preemption preemption{ entry.mRequest,
                         entry.mProperties.mCheckpointable
                           ? PreemptionMethod::eCheckpoint
                           : PreemptionMethod::eStop,
                         ToRanges(entry.mHeld) };
  std::vector<HeldBlock> remainder;
  for (const HeldBlock& held : entry.mHeld) {
    AddRemainder(held.mBlock, aTaken, remainder);
  }
  ReleaseBlocks(aSlot);
  for (const HeldBlock& held : remainder) {
    mCapacity.Take(held.mBlock, held.mHold);
  }
  mTable.ReplaceBlocks(aSlot, std::move(remainder));
  mTable.MarkStopping(aSlot);
  return preemption;
}

void PlacementState::SetServer(int aServer, ServerState aState)
{
  if (mServers[aServer] == aState) {
    return;
  }
  mServers[aServer] = aState;
  const int first = mLayout.FirstPositionOfServer(aServer);
  for (int i = 0; i < mLayout.AcceleratorsPerServer(); ++i) {
    if (aState == ServerState::eOut) {
      mCapacity.Disable(first + i);
    } else {
      mCapacity.Enable(first + i);
    }
  }
}

void PlacementState::DrainServer(int aServer)
{
  SetServer(aServer, ServerState::eOut);
}

void PlacementState::ReturnServer(int aServer)
{
  SetServer(aServer, ServerState::eInService);
}

std::vector<Preemption> PlacementState::LoseServer(int aServer)
{
  SetServer(aServer, ServerState::eOut);
  std::vector<Block> lost;
  std::set<Slot> slots;
  const int first = mLayout.FirstPositionOfServer(aServer);
  for (int i = 0; i < mLayout.AcceleratorsPerServer(); ++i) {
    lost.push_back({ first + i, 0 });
    if (const Slot slot = mTable.OwnerOf(first + i);
        slot != AllocationTable::kNone) {
      slots.insert(slot);
    }
  }
  std::vector<Preemption> stopped;
  for (const Slot slot : slots) {
    stopped.push_back(StopExcept(slot, lost));
    stopped.back().mMethod = PreemptionMethod::eStop;
  }
  return stopped;
}

double PlacementState::Fragmentation(int aWaitingShape) const
{
  int level = kLevels - 1;
  while (level >= 0 && mGuaranteed[level] == 0 &&
         ShapeAt(level) > aWaitingShape) {
    --level;
  }
  const int free = FreeAccelerators();
  if (level < 0 || free == 0) {
    return 0;
  }
  const int usable = BlocksAt(FreeBlocks(), level) * ShapeAt(level);
  return 1.0 - static_cast<double>(usable) / free;
}

Allocation PlacementState::ToAllocation(Slot aSlot) const
{
  const AllocationTable::Entry& entry = mTable.At(aSlot);
  const bool within =
    std::ranges::any_of(entry.mHeld, [](const HeldBlock& aHeld) {
      return aHeld.mHold == Hold::eWithinGuarantee;
    });
  return { entry.mRequest, entry.mProperties,  ToRanges(entry.mHeld),
           entry.mStarted, entry.mExpectedEnd, entry.mStopping,
           within };
}

std::vector<Allocation> PlacementState::Allocations() const
{
  std::vector<Allocation> all;
  all.reserve(mTable.size());
  for (const auto& [request, slot] : mTable.Slots()) {
    all.push_back(ToAllocation(slot));
  }
  return all;
}

std::optional<Allocation> PlacementState::FindAllocation(
  const base::RequestId& aRequest) const
{
  const Slot slot = mTable.Find(aRequest);
  if (slot == AllocationTable::kNone) {
    return std::nullopt;
  }
  return ToAllocation(slot);
}

std::size_t PlacementState::MemoryBytes() const
{
  return sizeof(*this) + mCapacity.MemoryBytes() + mTable.MemoryBytes() +
         mGuarantees.capacity() * sizeof(LevelCounts) +
         mServers.capacity() * sizeof(ServerState);
}

} // namespace flamingoloom::placement
