// Shapes, which are block sizes that are powers of two from 1 to 128
// accelerators, and counts of blocks by size.
//
// Blocks are aligned, so two blocks are either nested or disjoint. Packing the
// largest blocks first is therefore optimal, and whether a set of blocks fits
// depends only on the number of blocks of each size:
//
//   LevelCounts free{};
//   free[LevelOf(64)] = 2;
//   LevelCounts wanted{};
//   wanted[LevelOf(16)] = 8;
//   bool fits = Packs(free, wanted);
//
// Pure functions; thread-safe.
#pragma once

#include <array>

namespace flamingoloom::placement {

constexpr int kMaxShape = 128;
// The number of block sizes: 1, 2, 4, and so on to kMaxShape.
constexpr int kLevels = 8;

// The entry at index l is the number of blocks of 2^l accelerators.
using LevelCounts = std::array<int, kLevels>;

// Returns aAccelerators rounded up to a power of two, or 0 when aAccelerators
// is outside of 1 to kMaxShape, because no block has that size.
int ShapeOf(int aAccelerators);

// Returns the base 2 logarithm of aShape. Precondition: aShape is a power of
// two from 1 to kMaxShape.
int LevelOf(int aShape);

constexpr int ShapeAt(int aLevel)
{
  return 1 << aLevel;
}

// Returns the number of accelerators of all blocks together.
int Accelerators(const LevelCounts& aBlocks);

// Returns the blocks of aWanted that do not fit into the maximal free blocks
// aFree when the largest are packed first; all zero when everything fits.
LevelCounts Shortfall(const LevelCounts& aFree, const LevelCounts& aWanted);

bool Packs(const LevelCounts& aFree, const LevelCounts& aWanted);

// Returns how many disjoint blocks of aLevel the maximal free blocks contain.
int BlocksAt(const LevelCounts& aFree, int aLevel);

// Removes aCount blocks of aLevel, splitting the smallest larger blocks where
// needed. Precondition: BlocksAt(aFree, aLevel) >= aCount.
void Remove(LevelCounts& aFree, int aLevel, int aCount);

} // namespace flamingoloom::placement
