// Shapes: block sizes that are powers of two from 1 to 128 accelerators, and
// counts of blocks by size.
//
// Blocks are aligned, so two blocks either nest or are disjoint. Packing the
// largest blocks first is therefore exact, and whether a set of blocks fits
// depends only on how many there are of each size:
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
// Number of block sizes: 1, 2, 4, ... kMaxShape.
constexpr int kLevels = 8;

// Entry l counts blocks of 2^l accelerators.
using LevelCounts = std::array<int, kLevels>;

// aAccelerators rounded up to a power of two; 0 when aAccelerators lies
// outside of 1 to kMaxShape, because no block has that size.
int ShapeOf(int aAccelerators);

// Base 2 logarithm of aShape. Precondition: aShape is a shape.
int LevelOf(int aShape);

constexpr int ShapeAt(int aLevel)
{
  return 1 << aLevel;
}

// Sum of the accelerators of all blocks.
int Accelerators(const LevelCounts& aBlocks);

// The blocks of aWanted that do not fit into the maximal free blocks aFree
// when the largest are packed first; all zero when everything fits.
LevelCounts Shortfall(const LevelCounts& aFree, const LevelCounts& aWanted);

bool Packs(const LevelCounts& aFree, const LevelCounts& aWanted);

// How many blocks of the size of aLevel the maximal free blocks contain.
int BlocksAt(const LevelCounts& aFree, int aLevel);

// Removes aCount blocks of the size of aLevel, splitting the smallest larger
// blocks where needed. Precondition: BlocksAt(aFree, aLevel) >= aCount.
void Remove(LevelCounts& aFree, int aLevel, int aCount);

} // namespace flamingoloom::placement
