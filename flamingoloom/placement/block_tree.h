// Tracks which aligned blocks of one data centre are free.
//
// The accelerators are the leaves of binary trees with 128 leaves each. A tree
// is stored as bit masks of its leaves; the free blocks of each level are
// derived from the masks with a few shifts.
//
//   BlockTree tree(layout);
//   tree.Allocate({ 0, 4 });
//   int largest = BlocksAt(tree.FreeBlocks(), 7);
//
// A value type without synchronisation: one thread at a time.
#pragma once

#include <array>
#include <bit>
#include <cstdint>
#include <vector>

#include "flamingoloom/placement/layout.h"

namespace flamingoloom::placement {

// A block of 2^mLevel consecutive positions from mPosition on. mPosition is a
// multiple of 2^mLevel.
struct Block
{
  int mPosition = 0;
  int mLevel = 0;

  int Size() const { return ShapeAt(mLevel); }
  int End() const { return mPosition + Size(); }
  // The block of aLevel that contains this one. Precondition: aLevel >= mLevel.
  Block Enclosing(int aLevel) const
  {
    return { mPosition & ~(ShapeAt(aLevel) - 1), aLevel };
  }
  bool Contains(const Block& aOther) const
  {
    return aOther.mPosition >= mPosition && aOther.End() <= End();
  }
  bool Overlaps(const Block& aOther) const
  {
    return Contains(aOther) || aOther.Contains(*this);
  }

  friend auto operator<=>(const Block&, const Block&) = default;
  friend bool operator==(const Block&, const Block&) = default;
};

class BlockTree
{
public:
  // Initially, all accelerators of the layout are free.
  explicit BlockTree(const Layout& aLayout);

  bool IsFree(const Block& aBlock) const;
  // Returns whether the position is allocated, even if it is disabled.
  bool IsAllocated(int aPosition) const;
  // The number of free accelerators in the block.
  int FreeWithin(const Block& aBlock) const;
  // Returns the number of free accelerators of each larger block that contains
  // aBlock, one byte for each. The smallest of these blocks is in the highest
  // of the bytes used, the one of kMaxShape in the lowest.
  std::uint64_t FreeInEnclosingBlocks(const Block& aBlock) const;
  // The maximal free blocks of the whole tree, by level.
  const LevelCounts& FreeBlocks() const { return mFreeBlocks; }
  // The level of the maximal free block that contains aBlock. Precondition:
  // aBlock is free.
  int MaximalFreeLevel(const Block& aBlock) const;
  // Returns what FreeBlocks() would return with all of aBlock allocated.
  LevelCounts FreeBlocksWithout(const Block& aBlock) const;
  int FreeAccelerators() const;

  // Marks all positions of the block as allocated, whatever their state was.
  void Allocate(const Block& aBlock);
  // Marks all positions of the block as not allocated, whatever their state
  // was.
  void Release(const Block& aBlock);
  // Takes the position out of service. A disabled position is not free, whether
  // it is allocated or not.
  void Disable(int aPosition);
  void Enable(int aPosition);

  // Calls aVisit with each free block of aLevel, in ascending order of
  // position.
  template <class Visit>
  void ForEachFree(int aLevel, Visit aVisit) const;
  // Does the same for the blocks inside of the tree of kMaxShape leaves with
  // the number aTree.
  template <class Visit>
  void ForEachFreeInTree(int aTree, int aLevel, Visit aVisit) const;
  int TreeCount() const { return static_cast<int>(mTrees.size()); }

  std::size_t MemoryBytes() const { return mTrees.capacity() * sizeof(Tree); }

private:
  using Words = std::array<std::uint64_t, 2>;

  struct Tree
  {
    Words mAllocated{};
    Words mDisabled{};
    // The maximal free blocks of this tree, by level.
    std::array<std::uint8_t, kLevels> mFreeBlocks{};
    std::uint8_t mFreeAccelerators = 0;

    Words Free() const;
  };

  // Returns a mask with bit i set when the block of aLevel from position i on
  // is free.
  static Words FreeStarts(const Words& aFree, int aLevel);
  static LevelCounts CountMaximal(const Words& aFree);
  static Words Mask(const Block& aBlock);
  const Tree& TreeOf(int aPosition) const;
  Tree& TreeOf(int aPosition);
  // Updates the counts after a change of the masks in aTree.
  void Recount(Tree& aTree);

  std::vector<Tree> mTrees;
  LevelCounts mFreeBlocks{};
};

template <class Visit>
void BlockTree::ForEachFree(int aLevel, Visit aVisit) const
{
  for (int tree = 0; tree < TreeCount(); ++tree) {
    ForEachFreeInTree(tree, aLevel, aVisit);
  }
}

template <class Visit>
void BlockTree::ForEachFreeInTree(int aTree, int aLevel, Visit aVisit) const
{
  const Words starts = FreeStarts(mTrees[aTree].Free(), aLevel);
  for (int word = 0; word < 2; ++word) {
    for (std::uint64_t bits = starts[word]; bits != 0; bits &= bits - 1) {
      const int offset = word * 64 + std::countr_zero(bits);
      aVisit(Block{ aTree * kMaxShape + offset, aLevel });
    }
  }
}

} // namespace flamingoloom::placement
