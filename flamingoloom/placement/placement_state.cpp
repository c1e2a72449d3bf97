#include "flamingoloom/placement/placement_state.h"

#include <algorithm>
#include <set>
#include <utility>

#include "flamingoloom/placement/claim_cover.h"

namespace flamingoloom::placement {

namespace {

constexpr char kAdoptOperation[] = "adopt allocation";

// Adds the parts of aBlock outside of aRemoved to aRemainder, as reclaimable
// blocks.
void AddRemainder(const Block& aBlock,
                  const std::vector<Block>& aRemoved,
                  std::vector<HeldBlock>& aRemainder)
{
  bool overlaps = false;
  for (const Block& removed : aRemoved) {
    if (removed.Contains(aBlock)) {
      return;
    }
    overlaps = overlaps || aBlock.Contains(removed);
  }
  if (!overlaps) {
    aRemainder.push_back({ aBlock, Hold::eReclaimable });
    return;
  }
  const int level = aBlock.mLevel - 1;
  AddRemainder({ aBlock.mPosition, level }, aRemoved, aRemainder);
  AddRemainder(
    { aBlock.mPosition + ShapeAt(level), level }, aRemoved, aRemainder);
}

} // namespace

PlacementState::PlacementState(const DataCentreCapacity& aCapacity)
  : mLayout(aCapacity)
  , mCapacity(mLayout)
  , mTable(mLayout.Positions())
  , mServerStates(mLayout.Servers(), ServerState::eInService)
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

LevelCounts PlacementState::GuaranteesOf(const base::AccountId& aAccount) const
{
  const auto found = std::ranges::find(mAccounts, aAccount);
  const auto account = static_cast<std::size_t>(found - mAccounts.begin());
  return account < mGuarantees.size() ? mGuarantees[account] : LevelCounts{};
}

std::optional<NeverReason> PlacementState::FindNeverReason(
  const Job& aJob) const
{
  if (aJob.mTasks < 1 || aJob.mAcceleratorsPerTask < 0) {
    return NeverReason::eInvalidSize;
  }
  if (aJob.mAcceleratorsPerTask == 0) {
    return std::nullopt;
  }
  // Checked first because the product of both numbers could overflow.
  if (aJob.mAcceleratorsPerTask > kMaxShape ||
      aJob.mTasks > mLayout.Accelerators() || aJob.BlockSize() > kMaxShape) {
    return NeverReason::eTooLarge;
  }
  const int level = LevelOf(ShapeOf(aJob.BlockSize()));
  const LevelCounts whole = mLayout.Blocks();
  if (BlocksAt(whole, level) < aJob.Blocks()) {
    return NeverReason::eTooLarge;
  }
  const LevelCounts own = GuaranteesOf(aJob.mRequest.mAccount);
  const int beyond = aJob.Blocks() - BlocksAt(own, level);
  LevelCounts wanted = mTotalGuarantees;
  wanted[level] += std::max(0, beyond);
  if (beyond > 0 && !aJob.mProperties.IsReclaimable() &&
      !Packs(whole, wanted)) {
    return NeverReason::eGuarantees;
  }
  return std::nullopt;
}

WaitReason PlacementState::FindWaitReason(
  const Job& aJob,
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
  mTotalGuarantees = {};
  for (const Demand& guarantee : aGuarantees) {
    const int shape = ShapeOf(guarantee.mShape);
    if (shape == 0 || guarantee.mCount < 1) {
      continue;
    }
    const std::size_t account = AccountNumber(guarantee.mAccount);
    mGuarantees.resize(std::max(mGuarantees.size(), account + 1));
    mGuarantees[account][LevelOf(shape)] += guarantee.mCount;
    mTotalGuarantees[LevelOf(shape)] += guarantee.mCount;
  }
  mCapacity.SetGuarantees(mGuarantees);
  ReclassifyUnclaimedWork();
  CoverWorkWithClaims(mTable, mCapacity);
}

void PlacementState::ReclassifyUnclaimedWork()
{
  for (const auto& [request, index] : mTable.IndexByRequest()) {
    const std::vector<HeldBlock> heldBlocks = mTable.At(index).mHeld;
    for (const HeldBlock& held : heldBlocks) {
      if (held.mHold == Hold::eWithinGuarantee &&
          !mCapacity.IsClaimed(held.mBlock)) {
        mTable.SetHold(index, held.mBlock, Hold::eBeyondGuarantee);
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
                           kAdoptOperation,
                           {},
                           "request " + key + " already holds blocks");
  }
  std::vector<Block> blocks;
  std::set<int> positions;
  for (const Range& range : aAllocation.mBlocks) {
    const auto block = ToBlock(range);
    if (!block) {
      return base::MakeError(
        base::ErrorCode::eInvalid,
        kAdoptOperation,
        {},
        "request " + key +
          " lists accelerators that do not form an aligned block");
    }
    for (int i = block->mPosition; i < block->End(); ++i) {
      if (mTable.OwnerOf(i) != AllocationTable::kNone ||
          !positions.insert(i).second) {
        return base::MakeError(base::ErrorCode::eConflict,
                               kAdoptOperation,
                               {},
                               "request " + key +
                                 " lists accelerators that are already in use");
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
    mCapacity.AllocateBlock(block, hold);
    entry.mHeld.push_back({ block, hold });
  }
  mTable.Add(std::move(entry));
}

base::Expected<void> PlacementState::Adopt(
  std::span<const Allocation> aAllocations)
{
  PlacementState updated = *this;
  for (const Allocation& allocation : aAllocations) {
    const auto blocks = updated.ReadBlocks(allocation);
    if (!blocks) {
      return tl::unexpected(blocks.error());
    }
    updated.AdoptBlocks(allocation, *blocks);
  }
  CoverWorkWithClaims(updated.mTable, updated.mCapacity);
  *this = std::move(updated);
  return {};
}

void PlacementState::ReleaseBlocks(Index aIndex)
{
  // The entry is emptied first: ReuseEndedClaim must not find the blocks of
  // this allocation when it selects other work for a claim that ends.
  const std::vector<HeldBlock> heldBlocks = mTable.At(aIndex).mHeld;
  mTable.ReplaceBlocks(aIndex, {});
  for (const HeldBlock& held : heldBlocks) {
    if (const auto ended = mCapacity.Release(held.mBlock, held.mHold)) {
      ReuseEndedClaim(*ended);
    }
  }
}

void PlacementState::ReuseEndedClaim(const Claim& aClaim)
{
  for (const auto& [request, index] : mTable.IndexByRequest()) {
    const AllocationTable::Entry& entry = mTable.At(index);
    for (const HeldBlock& held : entry.mHeld) {
      if (entry.mAccount == aClaim.mAccount &&
          held.mHold == Hold::eBeyondGuarantee &&
          held.mBlock.mLevel == aClaim.mBlock.mLevel) {
        mCapacity.AddClaimForHeldBlocks(
          entry.mAccount, held.mBlock, { held.mBlock });
        mTable.SetHold(index, held.mBlock, Hold::eWithinGuarantee);
        return;
      }
    }
  }
}

bool PlacementState::Finish(const base::RequestId& aRequest)
{
  const Index index = mTable.Find(aRequest);
  if (index == AllocationTable::kNone) {
    return false;
  }
  ReleaseBlocks(index);
  mTable.Remove(index);
  return true;
}

Preemption PlacementState::StopAllocation(Index aIndex,
                                          const std::vector<Block>& aRemoved)
{
  const AllocationTable::Entry& entry = mTable.At(aIndex);
  Preemption preemption{ entry.mRequest,
                         entry.mProperties.mCheckpointable
                           ? PreemptionMethod::eCheckpoint
                           : PreemptionMethod::eStop,
                         ToRanges(entry.mHeld) };
  std::vector<HeldBlock> remainder;
  for (const HeldBlock& held : entry.mHeld) {
    AddRemainder(held.mBlock, aRemoved, remainder);
  }
  ReleaseBlocks(aIndex);
  for (const HeldBlock& held : remainder) {
    mCapacity.AllocateBlock(held.mBlock, held.mHold);
  }
  mTable.ReplaceBlocks(aIndex, std::move(remainder));
  mTable.MarkStopping(aIndex);
  return preemption;
}

void PlacementState::SetServerState(int aServer, ServerState aState)
{
  if (mServerStates[aServer] == aState) {
    return;
  }
  mServerStates[aServer] = aState;
  const int first = mLayout.FirstPositionOfServer(aServer);
  for (int i = 0; i < mLayout.AcceleratorsPerServer(); ++i) {
    if (aState == ServerState::eOutOfService) {
      mCapacity.Disable(first + i);
    } else {
      mCapacity.Enable(first + i);
    }
  }
}

void PlacementState::DrainServer(int aServer)
{
  SetServerState(aServer, ServerState::eOutOfService);
}

void PlacementState::ReturnServer(int aServer)
{
  SetServerState(aServer, ServerState::eInService);
}

std::vector<Preemption> PlacementState::LoseServer(int aServer)
{
  SetServerState(aServer, ServerState::eOutOfService);
  std::vector<Block> lost;
  std::set<Index> indices;
  const int first = mLayout.FirstPositionOfServer(aServer);
  for (int i = 0; i < mLayout.AcceleratorsPerServer(); ++i) {
    lost.push_back({ first + i, 0 });
    if (const Index index = mTable.OwnerOf(first + i);
        index != AllocationTable::kNone) {
      indices.insert(index);
    }
  }
  std::vector<Preemption> stopped;
  for (const Index index : indices) {
    stopped.push_back(StopAllocation(index, lost));
    stopped.back().mMethod = PreemptionMethod::eStop;
  }
  return stopped;
}

double PlacementState::Fragmentation(int aWaitingShape) const
{
  int level = kLevels - 1;
  while (level >= 0 && mTotalGuarantees[level] == 0 &&
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

Allocation PlacementState::ToAllocation(Index aIndex) const
{
  const AllocationTable::Entry& entry = mTable.At(aIndex);
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
  std::vector<Allocation> heldBlocks;
  heldBlocks.reserve(mTable.size());
  for (const auto& [request, index] : mTable.IndexByRequest()) {
    heldBlocks.push_back(ToAllocation(index));
  }
  return heldBlocks;
}

std::optional<Allocation> PlacementState::FindAllocation(
  const base::RequestId& aRequest) const
{
  const Index index = mTable.Find(aRequest);
  if (index == AllocationTable::kNone) {
    return std::nullopt;
  }
  return ToAllocation(index);
}

std::size_t PlacementState::MemoryBytes() const
{
  return sizeof(*this) + mCapacity.MemoryBytes() + mTable.MemoryBytes() +
         mGuarantees.capacity() * sizeof(LevelCounts) +
         mServerStates.capacity() * sizeof(ServerState);
}

} // namespace flamingoloom::placement
