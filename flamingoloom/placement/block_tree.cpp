#include "flamingoloom/placement/block_tree.h"

namespace flamingoloom::placement {

namespace {

constexpr int kWordBits = 64;
constexpr int kWordLevel = 6;
constexpr std::uint64_t kAllBits = ~std::uint64_t{ 0 };

// The bits at multiples of 2^level, where blocks of the level start.
constexpr std::array<std::uint64_t, kWordLevel + 1> kAlignedStarts{
  kAllBits,           0x5555555555555555, 0x1111111111111111,
  0x0101010101010101, 0x0001000100010001, 0x0000000100000001,
  0x0000000000000001
};

// Masks that select every second field of 2^level bits.
constexpr std::array<std::uint64_t, kWordLevel> kEvenFields{
  0x5555555555555555, 0x3333333333333333, 0x0f0f0f0f0f0f0f0f,
  0x00ff00ff00ff00ff, 0x0000ffff0000ffff, 0x00000000ffffffff
};

// Returns the starts of the free blocks of aLevel + 1 in one word, given those
// of aLevel.
std::uint64_t NextLevelStarts(std::uint64_t aStarts, int aLevel)
{
  return aStarts & (aStarts >> ShapeAt(aLevel)) & kAlignedStarts[aLevel + 1];
}

} // namespace

BlockTree::BlockTree(const Layout& aLayout)
  : mTrees(aLayout.Positions() / kMaxShape)
{
  for (int position = 0; position < aLayout.Positions(); ++position) {
    if (!aLayout.HasAccelerator(position)) {
      const Words mask = Mask({ position, 0 });
      TreeOf(position).mDisabled[0] |= mask[0];
      TreeOf(position).mDisabled[1] |= mask[1];
    }
  }
  for (Tree& tree : mTrees) {
    Recount(tree);
  }
}

BlockTree::Words BlockTree::Tree::Free() const
{
  return { ~(mAllocated[0] | mDisabled[0]), ~(mAllocated[1] | mDisabled[1]) };
}

BlockTree::Words BlockTree::FreeStarts(const Words& aFree, int aLevel)
{
  if (aLevel > kWordLevel) {
    const bool free = aFree[0] == kAllBits && aFree[1] == kAllBits;
    return { free ? 1U : 0U, 0 };
  }
  Words starts = aFree;
  for (int level = 0; level < aLevel; ++level) {
    starts = { NextLevelStarts(starts[0], level),
               NextLevelStarts(starts[1], level) };
  }
  return starts;
}

LevelCounts BlockTree::CountMaximal(const Words& aFree)
{
  LevelCounts counts{};
  Words starts = aFree;
  for (int level = 0; level <= kWordLevel; ++level) {
    counts[level] = std::popcount(starts[0]) + std::popcount(starts[1]);
    if (level < kWordLevel) {
      starts = { NextLevelStarts(starts[0], level),
                 NextLevelStarts(starts[1], level) };
    }
  }
  counts[kWordLevel + 1] = counts[kWordLevel] == 2 ? 1 : 0;
  for (int level = 0; level <= kWordLevel; ++level) {
    counts[level] -= 2 * counts[level + 1];
  }
  return counts;
}

BlockTree::Words BlockTree::Mask(const Block& aBlock)
{
  if (aBlock.mLevel > kWordLevel) {
    return { kAllBits, kAllBits };
  }
  const std::uint64_t ones = aBlock.mLevel == kWordLevel
                               ? kAllBits
                               : (std::uint64_t{ 1 } << aBlock.Size()) - 1;
  const int offset = aBlock.mPosition % kMaxShape;
  Words mask{};
  mask[offset / kWordBits] = ones << (offset % kWordBits);
  return mask;
}

const BlockTree::Tree& BlockTree::TreeOf(int aPosition) const
{
  return mTrees[aPosition / kMaxShape];
}

BlockTree::Tree& BlockTree::TreeOf(int aPosition)
{
  return mTrees[aPosition / kMaxShape];
}

void BlockTree::Recount(Tree& aTree)
{
  const LevelCounts counts = CountMaximal(aTree.Free());
  for (int level = 0; level < kLevels; ++level) {
    mFreeBlocks[level] += counts[level] - aTree.mFreeBlocks[level];
    aTree.mFreeBlocks[level] = static_cast<std::uint8_t>(counts[level]);
  }
  aTree.mFreeAccelerators = static_cast<std::uint8_t>(Accelerators(counts));
}

bool BlockTree::IsFree(const Block& aBlock) const
{
  const Words free = TreeOf(aBlock.mPosition).Free();
  const Words mask = Mask(aBlock);
  return (free[0] & mask[0]) == mask[0] && (free[1] & mask[1]) == mask[1];
}

bool BlockTree::IsAllocated(int aPosition) const
{
  const Words& allocated = TreeOf(aPosition).mAllocated;
  const int offset = aPosition % kMaxShape;
  return (allocated[offset / kWordBits] >> (offset % kWordBits) & 1) != 0;
}

int BlockTree::FreeWithin(const Block& aBlock) const
{
  const Words free = TreeOf(aBlock.mPosition).Free();
  const Words mask = Mask(aBlock);
  return std::popcount(free[0] & mask[0]) + std::popcount(free[1] & mask[1]);
}

int BlockTree::MaximalFreeLevel(const Block& aBlock) const
{
  int level = aBlock.mLevel;
  while (level + 1 < kLevels && IsFree(aBlock.Enclosing(level + 1))) {
    ++level;
  }
  return level;
}

std::uint64_t BlockTree::FreeInEnclosingBlocks(const Block& aBlock) const
{
  constexpr int kBitsPerLevel = 8;
  constexpr std::uint64_t kByte = 0xff;
  const Tree& tree = TreeOf(aBlock.mPosition);
  const int offset = aBlock.mPosition % kMaxShape;
  // Adds up adjacent fields until one field is the whole word.
  std::uint64_t sums = tree.Free()[offset / kWordBits];
  std::uint64_t packed = 0;
  for (int level = 1; level <= kWordLevel; ++level) {
    const std::uint64_t even = kEvenFields[level - 1];
    sums = (sums & even) + ((sums >> ShapeAt(level - 1)) & even);
    if (level > aBlock.mLevel) {
      const int field = offset % kWordBits & ~(ShapeAt(level) - 1);
      const std::uint64_t width = (std::uint64_t{ 2 } << level) - 1;
      packed = packed << kBitsPerLevel | ((sums >> field) & width & kByte);
    }
  }
  if (aBlock.mLevel > kWordLevel) {
    return packed;
  }
  return packed << kBitsPerLevel | tree.mFreeAccelerators;
}

LevelCounts BlockTree::FreeBlocksWithout(const Block& aBlock) const
{
  const Tree& tree = TreeOf(aBlock.mPosition);
  Words free = tree.Free();
  const Words mask = Mask(aBlock);
  free = { free[0] & ~mask[0], free[1] & ~mask[1] };
  const LevelCounts after = CountMaximal(free);
  LevelCounts counts = mFreeBlocks;
  for (int level = 0; level < kLevels; ++level) {
    counts[level] += after[level] - tree.mFreeBlocks[level];
  }
  return counts;
}

int BlockTree::FreeAccelerators() const
{
  return Accelerators(mFreeBlocks);
}

void BlockTree::Allocate(const Block& aBlock)
{
  Tree& tree = TreeOf(aBlock.mPosition);
  const Words mask = Mask(aBlock);
  tree.mAllocated[0] |= mask[0];
  tree.mAllocated[1] |= mask[1];
  Recount(tree);
}

void BlockTree::Release(const Block& aBlock)
{
  Tree& tree = TreeOf(aBlock.mPosition);
  const Words mask = Mask(aBlock);
  tree.mAllocated[0] &= ~mask[0];
  tree.mAllocated[1] &= ~mask[1];
  Recount(tree);
}

void BlockTree::Disable(int aPosition)
{
  Tree& tree = TreeOf(aPosition);
  const Words mask = Mask({ aPosition, 0 });
  tree.mDisabled[0] |= mask[0];
  tree.mDisabled[1] |= mask[1];
  Recount(tree);
}

void BlockTree::Enable(int aPosition)
{
  Tree& tree = TreeOf(aPosition);
  const Words mask = Mask({ aPosition, 0 });
  tree.mDisabled[0] &= ~mask[0];
  tree.mDisabled[1] &= ~mask[1];
  Recount(tree);
}

} // namespace flamingoloom::placement
